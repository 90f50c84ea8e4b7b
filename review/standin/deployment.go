package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	controlCount  = 5
	peerPort      = 7380
	lastPort      = 7395
	frontPort     = 8104
	controlPort   = 8106
	readinessPort = 8108
	leafPort      = 8526
	listPort      = 8102

	graceS         = 6
	drainMs        = 3000
	configApplyMs  = 3000
	restartDelay   = 500 * time.Millisecond
	startupTimeout = 20 * time.Second
)

type (
	// machine is one process of the project on a loopback address of its own.
	machine struct {
		name     string
		role     string
		zone     string
		ip       string
		settings string
		mu       sync.Mutex
		command  *exec.Cmd
		exited   chan struct{}
		// isClosing is set once the process must not be started again.
		isClosing bool
	}

	// deployment runs the processes of the project.
	deployment struct {
		record   *record
		folder   string
		program  string
		subnet   int
		zones    []string
		platform *platform
		controls []*machine
		fronts   []*machine
	}
)

// newDeployment returns a deployment with the given number of front machines, by zone. Nothing is started yet.
func newDeployment(r *record, zones []string, frontZones []string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/lovagedeckd")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	d := &deployment{record: r, folder: folder, program: program, zones: zones}
	if err := d.chooseSubnet(); err != nil {
		return nil, err
	}
	if d.platform, err = newPlatform(r, d.address(200, listPort)); err != nil {
		return nil, err
	}
	for i := range controlCount {
		zone := zones[i%len(zones)]
		d.controls = append(d.controls, &machine{name: fmt.Sprintf("core-%s-%d", zone, i+1), role: "control", zone: zone, ip: d.ip(1 + i)})
	}
	for i, zone := range frontZones {
		d.fronts = append(d.fronts, &machine{name: fmt.Sprintf("front-%s-%d", zone, i+1), role: "entry", zone: zone, ip: d.ip(20 + i)})
	}
	return d, nil
}

func (d *deployment) ip(host int) string { return fmt.Sprintf("127.77.%d.%d", d.subnet, host) }

func (d *deployment) address(host, port int) string { return fmt.Sprintf("%s:%d", d.ip(host), port) }

// chooseSubnet finds loopback addresses that no other run uses.
func (d *deployment) chooseSubnet() error {
	for range 50 {
		d.subnet = 1 + rand.IntN(250)
		listener, err := net.Listen("tcp", d.address(200, listPort))
		if err != nil {
			continue
		}
		_ = listener.Close()
		return nil
	}
	return fmt.Errorf("no free loopback addresses")
}

// writeSettings writes the settings file of a machine. The flag bootstrap is set only for the first start.
func (d *deployment) writeSettings(m *machine, bootstrap bool) error {
	seeds := []string{}
	for _, c := range d.controls[:3] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, controlPort))
	}
	zones := map[string]string{}
	for _, zone := range d.zones {
		zones[zone] = "area"
	}
	class, serves, listen := "front", "front", map[string]string{
		"front": fmt.Sprintf("%s:%d", m.ip, frontPort), "readiness": fmt.Sprintf("%s:%d", m.ip, readinessPort),
	}
	var dataDir any
	if m.role == "control" {
		class, serves, listen = "core", "control", map[string]string{"control": fmt.Sprintf("%s:%d", m.ip, controlPort)}
		folder := filepath.Join(d.folder, m.name)
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return err
		}
		dataDir = folder
	}
	content, err := json.MarshalIndent(map[string]any{
		"nodeName": m.name, "role": m.role, "machineClass": class, "serves": []string{serves}, "ip": m.ip, "zone": m.zone, "region": "area",
		"zones": zones, "listen": listen, "internalPortRange": []int{peerPort, lastPort}, "seeds": seeds, "bootstrap": bootstrap,
		"faultCounted": m.role == "control", "limits": map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": dataDir, "discovery": "cloud_api", "entry": "vip", "heartbeatMs": 1200,
		"invariants":     []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addressReuseS": 2, "contactWindowMs": 4000, "ackTimeoutMs": 5000, "catchUpS": 4, "drainMs": drainMs, "graceS": graceS,
			"lossSlackMs": 200, "configApplyMs": configApplyMs, "rollbackSlackMs": 250, "outerBoundMs": 12000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
			"retryBudgetSlack": 56, "warmupOvershoot": 1.5, "warmupSlack": 5, "evacuationMs": 5000, "recoveryS": 12,
		},
		"config_mode": "highest",
		"cloudApi":    map[string]any{"address": d.platform.address, "ratePerS": 55.0, "duties": []string{}, "listLagMs": 800},
	}, "", "  ")
	if err != nil {
		return err
	}
	m.settings = filepath.Join(d.folder, m.name+".json")
	return os.WriteFile(m.settings, content, 0o600)
}

// start starts all machines.
func (d *deployment) start() error {
	for _, m := range append(append([]*machine{}, d.controls...), d.fronts...) {
		if err := d.writeSettings(m, true); err != nil {
			return err
		}
		if err := d.startMachine(m); err != nil {
			return err
		}
	}
	return nil
}

// startMachine starts the process of a machine with the command of the deploy file.
func (d *deployment) startMachine(m *machine) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isClosing {
		return nil
	}
	output, err := os.OpenFile(filepath.Join(d.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(d.program, m.role)
	command.Env = []string{"LOVAGEDECK_CONFIG=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "LANG=C"}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.command, m.exited = command, exited
	go func() {
		_ = command.Wait()
		_ = output.Close()
		d.record.add("process of %s ended", m.name)
		close(exited)
	}()
	d.record.add("process of %s started", m.name)
	return nil
}

// signal sends a signal to the process of a machine.
func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil && m.command.Process != nil {
		_ = m.command.Process.Signal(sig)
	}
}

// restart stops a machine with SIGTERM, with SIGKILL after the grace period, and starts it again.
func (d *deployment) restart(m *machine) error {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	d.record.addAndPrint("SIGTERM to %s", m.name)
	m.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(graceS * time.Second):
		d.record.addAndPrint("SIGKILL to %s", m.name)
		m.signal(syscall.SIGKILL)
		<-exited
	}
	time.Sleep(restartDelay)
	if err := d.writeSettings(m, false); err != nil {
		return err
	}
	return d.startMachine(m)
}

// close ends all processes and removes the files of the deployment.
func (d *deployment) close() {
	machines := append(append([]*machine{}, d.controls...), d.fronts...)
	for _, m := range machines {
		m.mu.Lock()
		m.isClosing = true
		m.mu.Unlock()
		m.signal(syscall.SIGKILL)
	}
	for _, m := range machines {
		if m.exited != nil {
			<-m.exited
		}
	}
	d.platform.close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs are in", d.folder)
		return
	}
	_ = os.RemoveAll(d.folder)
}

// isReady asks the readiness address of a machine, as the platform does once a second.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", m.ip, readinessPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all front machines are ready.
func (d *deployment) awaitReady() error {
	deadline := time.Now().Add(startupTimeout)
	for _, m := range d.fronts {
		for !m.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
