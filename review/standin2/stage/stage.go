package stage

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"time"
)

// Options describe a small deployment. It has the limits and bounds of the users' site butt-search.
type Options struct {
	// Controls and Entries are the numbers of instances.
	Controls, Entries int
	// EntryZones are the data centres of the entry instances in turn; inv-a if empty.
	EntryZones []string
	// Change changes the settings of a process before it is written.
	Change func(name string, settings Settings)
}

// Stage is a deployment with its surroundings.
type Stage struct {
	Record   *Record
	Controls []*Process
	Entries  []*Process
	List     *List
	folder   string
	net      byte
	ports    ports
	document map[string]any
	mu       sync.Mutex
}

type ports struct{ front, readiness, control, internal, metrics int }

// FrontAddress returns the address of an entry instance for callers.
func (s *Stage) FrontAddress(p *Process) string { return fmt.Sprintf("%s:%d", p.IP, s.ports.front) }

// ControlAddress returns the address of a control instance for operators.
func (s *Stage) ControlAddress(p *Process) string {
	return fmt.Sprintf("%s:%d", p.IP, s.ports.control)
}

// Address returns a loopback address of this stage. Group 1 is that of control instances, 2 of entry instances, 3 and more of others.
func (s *Stage) Address(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.net, group, number)
}

// New prepares a deployment; Start starts its processes.
func New(record *Record, options Options) (*Stage, error) {
	folder, err := os.MkdirTemp("", "lovagedeck-review-")
	if err != nil {
		return nil, err
	}
	s := &Stage{Record: record, folder: folder, net: byte(64 + os.Getpid()%128)}
	if s.ports, err = s.freePorts(); err != nil {
		return nil, err
	}
	if s.List, err = newList(s.Address(9, 1)); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(3, options.Controls) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.Address(1, i+1), s.ports.control))
	}
	for i := range options.Controls {
		name, ip := fmt.Sprintf("control-%d", i+1), s.Address(1, i+1)
		settings := s.settings(name, ip, "inv-a", "core", seeds)
		settings["listen"] = map[string]any{"control": fmt.Sprintf("%s:%d", ip, s.ports.control)}
		settings["dataDir"] = filepath.Join(folder, name+"-data")
		settings["faultTolerance"] = map[string]any{"machines": (options.Controls - 1) / 2, "zones": 1, "regions": 0}
		if options.Change != nil {
			options.Change(name, settings)
		}
		p, err := s.newProcess(name, ip, "control", settings)
		if err != nil {
			return nil, err
		}
		s.Controls = append(s.Controls, p)
	}
	for i := range options.Entries {
		zone := "inv-a"
		if len(options.EntryZones) > 0 {
			zone = options.EntryZones[i%len(options.EntryZones)]
		}
		name, ip := fmt.Sprintf("entry-%d", i+1), s.Address(2, i+1)
		settings := s.settings(name, ip, zone, "front", seeds)
		settings["listen"] = map[string]any{
			"front": fmt.Sprintf("%s:%d", ip, s.ports.front), "readiness": fmt.Sprintf("%s:%d", ip, s.ports.readiness),
		}
		if options.Change != nil {
			options.Change(name, settings)
		}
		p, err := s.newProcess(name, ip, "entry", settings)
		if err != nil {
			return nil, err
		}
		s.Entries = append(s.Entries, p)
	}
	return s, nil
}

// freePorts finds ports that no other program uses on the loopback addresses.
func (s *Stage) freePorts() (ports, error) {
	var found []int
	var listeners []net.Listener
	for range 5 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return ports{}, err
		}
		listeners = append(listeners, l)
		found = append(found, l.Addr().(*net.TCPAddr).Port)
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	sort.Ints(found)
	return ports{front: found[0], readiness: found[1], control: found[2], internal: found[3], metrics: found[4]}, nil
}

func (s *Stage) settings(name, ip, zone, class string, seeds []string) Settings {
	memory, descriptors, cpu := 284, 4100, 0.4
	if class == "core" {
		memory, descriptors, cpu = 280, 4096, 0.96
	}
	return Settings{
		"nodeName": name, "role": name, "machineClass": class, "ip": ip, "zone": zone, "region": "scot-north",
		"zones":             map[string]string{"inv-a": "scot-north", "inv-b": "scot-north", "inv-c": "scot-north"},
		"internalPortRange": []int{s.ports.internal, s.ports.metrics}, "seeds": seeds, "bootstrap": true, "faultCounted": class == "core",
		"limits":    map[string]any{"cpuShare": cpu, "cores": 1, "memoryMb": memory, "maxFds": descriptors, "linkMbps": 1000.0, "diskMb": 128},
		"discovery": "cloud_api", "entry": "vip", "heartbeatMs": 1200,
		"invariants":     []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places"},
		"faultTolerance": map[string]any{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addressReuseS": 2, "contactWindowMs": 4000, "ackTimeoutMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 6,
			"lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "outerBoundMs": 12000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
			"retryBudgetSlack": 56, "warmupOvershoot": 1.5, "warmupSlack": 5, "evacuationMs": 5000, "recoveryS": 12,
		},
		"config_mode": "highest",
		"cloudApi":    map[string]any{"address": s.List.Address(), "ratePerS": 55.0, "duties": []string{}, "listLagMs": 800},
	}
}

// Start starts all processes, puts the document and waits until all entry instances are ready.
func (s *Stage) Start(document map[string]any) error {
	for _, p := range append(append([]*Process{}, s.Controls...), s.Entries...) {
		if err := p.Start(); err != nil {
			return err
		}
	}
	if err := s.Put(document, 20*time.Second); err != nil {
		return err
	}
	for _, p := range s.Entries {
		if !s.AwaitReady(p, 20*time.Second) {
			return fmt.Errorf("%s is not ready", p.Name)
		}
	}
	return nil
}

// AwaitReady waits until the entry instance says that it is ready.
func (s *Stage) AwaitReady(p *Process, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if s.IsReady(p) {
			return true
		}
	}
	return false
}

// IsReady asks an entry instance whether it is ready.
func (s *Stage) IsReady(p *Process) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", p.IP, s.ports.readiness))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Order sends an operator's call to one control instance and returns the status and the body, or 0 without an answer.
func (s *Stage) Order(p *Process, method, path string, body []byte, timeout time.Duration) (int, []byte) {
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+s.ControlAddress(p)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		s.Record.Log("operator: %s %s at %s: no answer: %v", method, path, p.Name, err)
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	s.Record.Log("operator: %s %s at %s: %d", method, path, p.Name, response.StatusCode)
	return response.StatusCode, answer
}

// Put sends a routing document to the control instances in turn until one acknowledges it.
func (s *Stage) Put(document map[string]any, timeout time.Duration) error {
	body, err := json.Marshal(document)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.document = document
	s.mu.Unlock()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, p := range s.Controls {
			status, _ := s.Order(p, http.MethodPost, "/-/Config.Put", body, time.Second)
			if status == http.StatusOK {
				s.Record.Log("operator: document %v acknowledged", document["version"])
				return nil
			}
		}
	}
	return fmt.Errorf("the document was not acknowledged")
}

// Close ends all processes and removes the temporary folder.
func (s *Stage) Close() {
	for _, p := range append(append([]*Process{}, s.Controls...), s.Entries...) {
		if p.cmd != nil {
			p.Kill()
		}
		_ = p.output.Close()
	}
	s.List.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("kept", s.folder)
	}
}

// Route returns a route to one service.
func Route(name, prefix, kind, service string, maxAttempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "pupu76.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 15000, "targetLatencyMs": 800,
		"priority": 2, "service": service, "maxAttempts": maxAttempts,
	}
}

// Service returns a service of the document.
func Service(name string) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/health", "maxConnections": 51, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 0.0,
	}
}

// Document returns a routing document.
func Document(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
