// Each test case is a folder. The file cmd holds the arguments, and the file
// expected holds the combined standard output and standard error and the exit code:
//
//	cases/explain/refused-at-start/{cmd,expected,instances.log}
//
// After an intended change of the output, update the files and review the difference:
//
//	go test ./pkg/commander -run TestCases -args -write

package commander

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var updateExpected = flag.Bool("write", false, "update the expected files with the actual output")

func TestCases(t *testing.T) {
	commandFiles, err := filepath.Glob(filepath.Join("cases", "*", "*", "cmd"))
	if err != nil || len(commandFiles) == 0 {
		t.Fatalf("no test cases found: %v", err)
	}
	for _, file := range commandFiles {
		folder, err := filepath.Abs(filepath.Dir(file))
		if err != nil {
			t.Fatal(err)
		}
		t.Run(filepath.Dir(file), func(t *testing.T) { runCase(t, folder) })
	}
}

func runCase(t *testing.T, folder string) {
	t.Chdir(folder)
	arguments, err := os.ReadFile("cmd")
	if err != nil {
		t.Fatal(err)
	}
	var output bytes.Buffer
	code := Main(append([]string{programName}, strings.Fields(string(arguments))...), &output, &output)
	got := output.String() + fmt.Sprintf("exit code %d\n", code)
	if *updateExpected {
		if err := os.WriteFile("expected", []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile("expected")
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("output of lovagedeck %s:\ngot\n%s\nwant\n%s", strings.TrimSpace(string(arguments)), got, want)
	}
}
