// Command frozen stops the leader of five control instances and another one for some seconds, again and again, puts a document that moves
// a route to another service meanwhile, and looks for entry instances that still use the former service. With TROUBLE=0 no process is
// stopped.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"lovagedeck/review/standin2/stage"
)

const (
	controls = 5
	entries  = 24
	rounds   = 9
	work     = 2 * time.Millisecond
	// secondStop is the time between the two stops, changeTime that from the first to the document, and freezeTime that to the end of both.
	secondStop = 500 * time.Millisecond
	changeTime = 900 * time.Millisecond
	freezeTime = 6 * time.Second
	calmTime   = 4500 * time.Millisecond
	askPause   = 50 * time.Millisecond
	askTime    = time.Second
	// configApply and contactWindow are bounds of the site.
	configApply   = 3 * time.Second
	contactWindow = 4 * time.Second
)

// services are the two targets of the route, in turn.
var services = []string{"kafi81c", "huvo11a"}

var leaderPattern = regexp.MustCompile(`leader in term (\d+)`)

type trial struct {
	stage   *stage.Stage
	record  *stage.Record
	version int
	mu      sync.Mutex
	stale   int
	asked   int
}

func main() { os.Exit(run()) }

func run() int {
	record, err := stage.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return stage.NotRun
	}
	defer record.Close()
	s, err := stage.New(record, stage.Options{Controls: controls, Entries: entries})
	if err != nil {
		record.Print("cannot prepare: %v", err)
		return stage.NotRun
	}
	defer s.Close()
	t := &trial{stage: s, record: record, version: 7}
	if err := t.play(); err != nil {
		record.Print("cannot run: %v", err)
		return stage.NotRun
	}
	record.Print("requests judged: %d, run by the service of the former document: %d; rule broken: %v", t.asked, t.stale, t.stale > 0)
	if t.stale > 0 {
		return stage.Broken
	}
	return stage.Held
}

func (t *trial) play() error {
	for i, service := range services {
		if _, err := t.stage.NewLeaf(service, "inv-a", "i-"+service, t.stage.Address(3, i+1), work); err != nil {
			return err
		}
	}
	if err := t.stage.Start(t.document()); err != nil {
		return err
	}
	for range rounds {
		time.Sleep(calmTime)
		if err := t.playRound(); err != nil {
			return err
		}
	}
	return nil
}

// document returns the document of the current version, whose parity decides the service.
func (t *trial) document() map[string]any {
	var fields []map[string]any
	for _, service := range services {
		fields = append(fields, stage.Service(service))
	}
	return stage.Document(t.version, []map[string]any{stage.Route("r-1", "/timi402/", "safe", t.service(), 2)}, fields)
}

func (t *trial) service() string { return services[t.version%len(services)] }

func (t *trial) playRound() error {
	begin := time.Now()
	lastStop := begin
	var stopped []*stage.Process
	if os.Getenv("TROUBLE") != "0" {
		stopped = append(stopped, t.leader())
		t.stop(stopped[0])
		time.Sleep(secondStop)
		other := stopped[0]
		for other == stopped[0] {
			other = t.stage.Controls[rand.IntN(controls)]
		}
		stopped = append(stopped, other)
		t.stop(other)
		lastStop = time.Now()
	}
	time.Sleep(time.Until(begin.Add(changeTime)))
	t.version++
	if err := t.stage.Put(t.document(), freezeTime); err != nil {
		return err
	}
	judgedFrom := time.Now().Add(configApply)
	if stable := lastStop.Add(contactWindow); stable.After(judgedFrom) {
		judgedFrom = stable
	}
	time.Sleep(time.Until(judgedFrom))
	var group sync.WaitGroup
	for _, entry := range t.stage.Entries {
		group.Go(func() { t.ask(entry, begin.Add(freezeTime)) })
	}
	group.Wait()
	for _, p := range stopped {
		t.record.Log("%s continues", p.Name)
		if err := p.Signal(syscall.SIGCONT); err != nil {
			return err
		}
	}
	return nil
}

func (t *trial) stop(p *stage.Process) {
	t.record.Log("%s is stopped", p.Name)
	_ = p.Signal(syscall.SIGSTOP)
}

// leader returns the control instance that was elected last, by what the instances have logged.
func (t *trial) leader() *stage.Process {
	leader, newest := t.stage.Controls[0], 0
	for _, p := range t.stage.Controls {
		for _, match := range leaderPattern.FindAllStringSubmatch(p.Log(), -1) {
			term := 0
			if _, err := fmt.Sscan(match[1], &term); err == nil && term > newest {
				leader, newest = p, term
			}
		}
	}
	return leader
}

// ask sends requests to an entry instance and counts those that the former service runs.
func (t *trial) ask(entry *stage.Process, until time.Time) {
	for number := 1; time.Now().Before(until); number++ {
		id := fmt.Sprintf("v%d-%s-%d", t.version, entry.Name, number)
		answer := stage.Send(t.stage.FrontAddress(entry), http.MethodGet, "/timi402/x", id, nil, askTime)
		proof := answer.Header.Get(stage.ServerStamp)
		isStale := answer.Status == http.StatusOK && !strings.Contains(proof, t.service())
		t.record.Log("caller: %s at %s: status %d, stamp %q, expected service %s, stale: %v", id, entry.Name, answer.Status, proof, t.service(), isStale)
		t.mu.Lock()
		t.asked++
		if isStale {
			t.stale++
		}
		t.mu.Unlock()
		time.Sleep(askPause)
	}
}
