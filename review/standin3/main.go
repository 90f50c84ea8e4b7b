package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by the name of their folder. Each returns what broke the rule, or nothing if it held.
var cases = map[string]func(s *stage) ([]string, error){}

func main() { os.Exit(run()) }

// run plays the case that the first argument names. The second one is the folder for record.txt.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE FOLDER")
		return exitFailed
	}
	s, err := newStage(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitFailed
	}
	defer s.close()
	broken, err := cases[os.Args[1]](s)
	switch {
	case err != nil:
		s.record.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitFailed
	case len(broken) > 0:
		for _, line := range broken {
			s.record.note("BROKEN: %s", line)
			fmt.Println("broken:", line)
		}
		return exitBroken
	}
	s.record.note("the rule held")
	fmt.Println("held")
	return exitHeld
}
