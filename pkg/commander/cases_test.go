// A case is a folder: cmd has the arguments, and expected what the program
// prints, to both outputs, and its exit code:
//
//	cases/explain/refused-at-start/{cmd,expected,instances.log}
//
// After a wanted change of the output, write the new one and read the difference:
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

var write = flag.Bool("write", false, "write what the cases print into their folders")

func TestCases(t *testing.T) {
	found, err := filepath.Glob(filepath.Join("cases", "*", "*", "cmd"))
	if err != nil || len(found) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, file := range found {
		folder, err := filepath.Abs(filepath.Dir(file))
		if err != nil {
			t.Fatal(err)
		}
		t.Run(filepath.Dir(file), func(t *testing.T) { runCase(t, folder) })
	}
}

func runCase(t *testing.T, folder string) {
	t.Chdir(folder)
	cmd, err := os.ReadFile("cmd")
	if err != nil {
		t.Fatal(err)
	}
	var output bytes.Buffer
	code := Main(append([]string{programName}, strings.Fields(string(cmd))...), &output, &output)
	got := output.String() + fmt.Sprintf("exit code %d\n", code)
	if *write {
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
		t.Errorf("lovagedeck %s prints\n%s\nwant\n%s", strings.TrimSpace(string(cmd)), got, want)
	}
}
