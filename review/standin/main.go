package main

import (
	"errors"
	"fmt"
	"os"
)

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

var cases = map[string]func(r *record, hasTrouble bool) error{
	"relay":    runRelay,
	"restarts": runRestarts,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	err = cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	status := 0
	switch {
	case errors.Is(err, errBroken):
		r.addAndPrint("BROKEN: %v", err)
		status = 1
	case err != nil:
		r.addAndPrint("the case could not run: %v", err)
		status = 2
	default:
		r.addAndPrint("the rule held")
	}
	r.close()
	os.Exit(status)
}
