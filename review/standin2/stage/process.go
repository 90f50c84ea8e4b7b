package stage

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is one program of the deploy file.
type Process struct {
	Name     string
	IP       string
	command  []string
	settings string
	output   *os.File
	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
	waitErr  error
}

// Settings are the fields of a settings file.
type Settings map[string]any

func (s *Stage) newProcess(name, ip, role string, settings Settings) (*Process, error) {
	path := filepath.Join(s.folder, name+".json")
	content, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(s.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	return &Process{Name: name, IP: ip, command: []string{"target/lovagedeckd", role}, settings: path, output: output}, nil
}

// Start starts the program.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LOVAGEDECK_CONFIG=" + p.settings}
	cmd.Stdout, cmd.Stderr = p.output, p.output
	// A process group of its own keeps signals of a terminal away; the kernel ends the process with the stage.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.waitErr = err
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Signal(signal)
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	p.Wait(5 * time.Second)
}

// Wait waits for the end of the process and reports whether it came in time.
func (p *Process) Wait(timeout time.Duration) bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Ended reports whether the process has ended, and how.
func (p *Process) Ended() (bool, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.ended:
		return true, fmt.Sprint(p.waitErr)
	default:
		return false, ""
	}
}

// MemoryMB returns the resident memory of the process now and at its peak.
func (p *Process) MemoryMB() (now, peak float64) {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(content), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kilobytes, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "VmRSS:":
			now = kilobytes / 1024
		case "VmHWM:":
			peak = kilobytes / 1024
		}
	}
	return now, peak
}

// Log returns what the process has written.
func (p *Process) Log() string {
	content, _ := os.ReadFile(p.output.Name())
	return string(content)
}
