package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	controlCount = 5
	entryCount   = 3
	// graceTime is the time between SIGTERM and SIGKILL.
	graceTime = 4 * time.Second
	// restartPause is the time between the end of a process and its next start.
	restartPause = 100 * time.Millisecond
	// memoryMB is the memory of the smallest entry instances today, in MiB.
	memoryMB = 184
)

var quietLog = log.New(io.Discard, "", 0)

type (
	// process is one instance that the stage keeps running.
	process struct {
		name     string
		verb     string
		settings string
		folder   string
		host     string
		link     *proxy
		front    string
		ready    string
		control  string
		mu       sync.Mutex
		command  *exec.Cmd
		boots    int
		stopping time.Time
		touched  time.Time
		closed   bool
		ended    chan bool
		// whileDown is done once, between the end of one run and the start of the next.
		whileDown []func()
	}

	// stage is a whole deployment on loopback addresses.
	stage struct {
		t         *testing.T
		folder    string
		binary    string
		network   int
		port      int
		fleet     *fleet
		judge     *judge
		processes []*process
		seeds     []string
	}
)

func newStage(t *testing.T, binary string, network int, j *judge) *stage {
	t.Helper()
	s := &stage{t: t, folder: t.TempDir(), binary: binary, network: network, judge: j}
	var err error
	if s.fleet, err = newFleet(j); err != nil {
		t.Fatal(err)
	}
	s.port = freePort(t, s.hostOf(0))
	for i := range controlCount + entryCount {
		s.processes = append(s.processes, s.newProcess(i))
	}
	for _, p := range s.processes {
		s.writeSettings(p, true)
	}
	return s
}

// addLeafs starts three leafs of each service, one a data centre.
func (s *stage) addLeafs(services []string) {
	s.t.Helper()
	for _, name := range services {
		for k := range 3 {
			if _, err := s.fleet.add(name, string("abc"[k]), ""); err != nil {
				s.t.Fatal(err)
			}
		}
	}
}

func (s *stage) hostOf(i int) string { return fmt.Sprintf("127.0.%d.%d", s.network, i+1) }

func freePort(t *testing.T, host string) int {
	t.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

func (s *stage) newProcess(i int) *process {
	host := s.hostOf(i)
	address := func() string { return fmt.Sprintf("%s:%d", host, freePort(s.t, host)) }
	if i >= controlCount {
		return &process{name: fmt.Sprint("entry-", i-controlCount+1), verb: "entry", host: host, front: address(), ready: address()}
	}
	p := &process{name: fmt.Sprint("control-", i+1), verb: "control", host: host, control: address(), folder: filepath.Join(s.folder, fmt.Sprint("disk-", i))}
	var err error
	if p.link, err = newProxy(fmt.Sprintf("%s:%d", host, s.port), fmt.Sprintf("127.0.%d.%d:%d", s.network+100, i+1, s.port)); err != nil {
		s.t.Fatal(err)
	}
	if i < 3 {
		s.seeds = append(s.seeds, fmt.Sprintf("%s:%d", host, s.port))
	}
	return p
}

func (s *stage) writeSettings(p *process, bootstrap bool) {
	listen := map[string]string{}
	var dataDir any
	if p.verb == "control" {
		listen["control"], listen["links"], dataDir = p.control, p.link.target, p.folder
		if err := os.MkdirAll(p.folder, 0o700); err != nil {
			s.t.Fatal(err)
		}
	} else {
		listen["front"], listen["readiness"] = p.front, p.ready
	}
	zone := string("abc"[len(p.name)*7%3])
	content, err := json.Marshal(map[string]any{
		"nodeName": p.name, "ip": p.host, "zone": zone, "listen": listen, "internalPortRange": []int{s.port, 0},
		"seeds": s.seeds, "bootstrap": bootstrap, "dataDir": dataDir, "faultTolerance": map[string]int{"machines": 2},
		"bounds":   map[string]any{"graceS": graceTime.Seconds(), "retryBudgetRatio": 0.2, "retryBudgetSlack": 54, "budgetWindowS": 10},
		"zones":    map[string]string{"a": "r", "b": "r", "c": "r"},
		"cloudApi": map[string]any{"address": s.fleet.at, "ratePerS": 42}, "limits": map[string]any{"memoryMb": memoryMB},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	p.settings = filepath.Join(s.folder, p.name+".json")
	if err := os.WriteFile(p.settings, content, 0o600); err != nil {
		s.t.Fatal(err)
	}
}

func (s *stage) start() {
	for _, p := range s.processes {
		p.ended = make(chan bool)
		go s.keepRunning(p)
	}
}

// keepRunning starts the process again whenever it ends.
func (s *stage) keepRunning(p *process) {
	defer close(p.ended)
	for {
		output, err := os.OpenFile(filepath.Join(s.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			s.t.Errorf("log of %s: %v", p.name, err)
			return
		}
		command := exec.Command(s.binary, p.verb)
		command.Env = []string{"LOVAGEDECK_CONFIG=" + p.settings, "GOMAXPROCS=1"}
		command.Stdout, command.Stderr = output, output
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			_ = output.Close()
			return
		}
		p.runWhileDown()
		err = command.Start()
		p.command, p.stopping, p.touched = command, time.Time{}, time.Now()
		p.boots++
		p.mu.Unlock()
		if err != nil {
			s.t.Errorf("start %s: %v", p.name, err)
			return
		}
		_ = command.Wait()
		_ = output.Close()
		time.Sleep(restartPause)
	}
}

func (s *stage) close() {
	for _, p := range s.processes {
		p.mu.Lock()
		p.closed = true
		p.mu.Unlock()
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range s.processes {
		<-p.ended
		if p.link != nil {
			p.link.close()
		}
	}
	s.fleet.close()
}

// signal reaches only the process that the stage started last under this name.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return
	}
	_ = p.command.Process.Signal(signal)
	p.touched = time.Now()
	if signal == syscall.SIGTERM {
		p.stopping = time.Now()
	}
}

// killAnd kills the process, does the work after its proved end and before its next start, and returns once it is done.
func (p *process) killAnd(work func()) {
	done := make(chan bool)
	p.mu.Lock()
	p.whileDown = append(p.whileDown, func() {
		defer close(done)
		work()
	})
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	select {
	case <-done:
	case <-p.ended:
	}
}

// runWhileDown does what waits for the process to be down; the caller holds the lock, so that no run has begun.
func (p *process) runWhileDown() {
	for _, work := range p.whileDown {
		work()
	}
	p.whileDown = nil
}

// touch notes a fault beside the process, such as one of its connections.
func (p *process) touch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.touched = time.Now()
}

// boot names the present run of the process.
func (p *process) boot() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%s run %d", p.name, p.boots)
}

// isStopping tells whether the process was asked to stop and has its grace.
func (p *process) isStopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stopping.IsZero() && time.Since(p.stopping) < graceTime
}

// calmFor tells how long nothing was done to the process.
func (p *process) calmFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.touched)
}

func (s *stage) controls() []*process { return s.processes[:controlCount] }

func (s *stage) entries() []*process { return s.processes[controlCount:] }

// awaitReady waits until every entry instance is ready.
func (s *stage) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, p := range s.entries() {
		for !isReady(p) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v", p.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func isReady(p *process) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
