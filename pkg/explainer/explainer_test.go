package explainer

import (
	"strings"
	"testing"
)

func TestReadMergesLogsByTime(t *testing.T) {
	requestLog := New("q1")
	logs := []string{
		`  37.52 entry-2 {"ts":"2026-12-04T04:00:02Z","msg":"gatekeeper: answered","instance":"entry-2","request":"q1","took-ms":40,"parts":3,"missing":["s2(i-7)"]}`,
		`{"ts":"2026-12-04T04:00:01Z","msg":"gatekeeper: attempt ended","instance":"entry-1","request":"q1","outcome":"failed","leaf":"i-7"}
{"ts":"2026-12-04T04:00:00Z","msg":"gatekeeper: refused","instance":"entry-1","request":"q2"}
not a log line, but with "q1"
{"broken "q1"`,
	}
	for _, log := range logs {
		if err := requestLog.Read(strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
	}
	if len(requestLog.Entries()) != 2 || requestLog.Entries()[0].Instance() != "entry-1" {
		t.Fatalf("got entries %+v, want 2 with that of entry-1 first", requestLog.Entries())
	}
	want := "request q1 at entry-2: answered after 40 ms with 3 parts; left out, with the leafs that were asked: s2(i-7); attempts that brought nothing: failed: i-7"
	if got := requestLog.Summary(); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
	if lines := requestLog.Lines(); len(lines) != 2 || !strings.Contains(lines[0], "outcome=failed") {
		t.Errorf("got lines %q, want 2 with the failed attempt first", lines)
	}
	if got := New("q3").Summary(); !strings.Contains(got, "0 lines") {
		t.Errorf("unknown request: got %q, want 0 lines reported", got)
	}
}
