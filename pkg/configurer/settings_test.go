package configurer

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestExamplesAreGood(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.jsonc")
	if err != nil || len(files) == 0 {
		t.Fatal("no examples", err)
	}
	for _, file := range files {
		if _, err := Read(file); err != nil {
			t.Error(err)
		}
	}
}

func TestFaultsNameKeyAndLine(t *testing.T) {
	content, err := os.ReadFile("../../examples/control-1.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	good := string(content)
	tests := []struct {
		name string
		old  string
		new  string
		key  string
	}{
		{"bad name", `"control-1",`, `"Control 1",`, "instance"},
		{"no IP number", `"127.0.0.1:8101"`, `"here:8101"`, "listen/caller"},
		{"unknown key", `"cluster":`, `"clutser":`, "clutser"},
		{"wrong type", `"127.0.0.1:8201",
    "operator"`, `17,
    "operator"`, "listen/fellow"},
		{"short hash", `"read-sha256": "`, `"read-sha256": "x`, "tokens/read-sha256"},
		{"bad word", `"format": "text"`, `"format": "prose"`, "log/format"},
		{"no JSON", `"cluster": "example",`, `"cluster" "example",`, "(syntax)"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			at := strings.Index(good, test.old)
			if at < 0 {
				t.Fatalf("the example has no %s", test.old)
			}
			_, err := Parse("file", []byte(strings.Replace(good, test.old, test.new, 1)))
			var faults *FaultsError
			if !errors.As(err, &faults) {
				t.Fatalf("error %v", err)
			}
			line := 1 + strings.Count(good[:at], "\n")
			for _, fault := range faults.Faults() {
				if fault.Key() == test.key && fault.Line() >= line-1 && fault.Line() <= line+1 {
					return
				}
			}
			t.Fatalf("faults %v, want key %s at line %d", err, test.key, line)
		})
	}
}
