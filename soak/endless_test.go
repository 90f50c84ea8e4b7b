package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"
)

// All leafs of a third of the shards send bodies without end to the real programs. The entry instances keep to the memory of
// the smallest machines and go on answering.
func TestMemoryWithLeafsThatSendWithoutEnd(t *testing.T) {
	const shards, endless, span = 60, 20, 8 * time.Second
	j := newJudge()
	s := newStage(t, build(t), firstNetwork+int(nextNetwork.Add(1)%40), j)
	defer s.close()
	tr := newTraffic(s, 1)
	tr.shards = nil
	for i := range shards {
		tr.shards = append(tr.shards, fmt.Sprint("t", i))
	}
	s.addLeafs(append([]string{"once", "safe"}, tr.shards...))
	s.start()
	random := rand.New(rand.NewPCG(1, 7))
	for begun := time.Now(); !tr.put(random); {
		if time.Since(begun) > startLimit {
			t.Fatal("the first document was not accepted")
		}
	}
	if err := s.awaitReady(startLimit); err != nil {
		t.Fatal(err)
	}
	for _, name := range tr.shards[:endless] {
		for _, l := range s.fleet.of(name) {
			l.fail("endless")
		}
	}
	tr.start()
	time.Sleep(span)
	for _, p := range s.entries() {
		if peak := peakMemory(t, p); peak > memoryMB {
			t.Errorf("%s took %d MiB, more than %d", p.name, peak, memoryMB)
		}
	}
	tr.end()
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, fault := range j.faults {
		t.Error(fault)
	}
	if j.partial < 50 {
		t.Errorf("only %d partial answers", j.partial)
	}
	t.Logf("%d served (%d partial), %d refused, %d failed", j.served, j.partial, j.refusals, j.failed)
}

// peakMemory returns the most memory that the present run of a process had, in MiB.
func peakMemory(t *testing.T, p *process) int {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		var kilobytes int
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); n == 1 {
			return kilobytes >> 10
		}
	}
	t.Fatalf("no peak of %s", p.name)
	return 0
}
