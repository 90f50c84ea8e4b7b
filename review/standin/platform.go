package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const listPageSize = 50

type (
	// listEntry is one leaf of the platform's list.
	listEntry struct {
		ID           string `json:"id"`
		Service      string `json:"service"`
		Address      string `json:"address"`
		Zone         string `json:"zone"`
		Version      string `json:"version"`
		Slots        int    `json:"slots"`
		State        string `json:"state"`
		WarmupLeftMs int64  `json:"warmupLeftMs"`
	}

	// platform serves the list of leafs.
	platform struct {
		record  *record
		address string
		server  *http.Server
		mu      sync.Mutex
		entries []listEntry
	}
)

func newPlatform(r *record, address string) (*platform, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &platform{record: r, address: address}
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve)}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

func (p *platform) close() { _ = p.server.Close() }

func (p *platform) add(entry listEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = append(p.entries, entry)
}

// setState changes the state of a leaf in the list and returns the time from which the list shows it.
func (p *platform) setState(id, state string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.entries {
		if p.entries[i].ID == id {
			p.entries[i].State = state
		}
	}
	p.record.addAndPrint("the list shows leaf %s as %s", id, state)
	return time.Now()
}

// remove takes a leaf off the list.
func (p *platform) remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = slices.DeleteFunc(p.entries, func(e listEntry) bool { return e.ID == id })
	p.record.addAndPrint("the list shows leaf %s no more", id)
}

func (p *platform) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		http.NotFound(w, r)
		return
	}
	zone := r.URL.Query().Get("zone")
	start, _ := strconv.Atoi(r.URL.Query().Get("pageToken"))
	p.mu.Lock()
	entries := []listEntry{}
	for _, entry := range p.entries {
		if zone == "" || entry.Zone == zone {
			entries = append(entries, entry)
		}
	}
	p.mu.Unlock()
	start = min(max(0, start), len(entries))
	end := min(start+listPageSize, len(entries))
	page := map[string]any{"instances": entries[start:end], "nextPageToken": nil}
	if end < len(entries) {
		page["nextPageToken"] = strconv.Itoa(end)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}

// putConfig sends a configuration to the control machines in turn until one acknowledges it.
func (d *deployment) putConfig(config map[string]any) error {
	content, err := json.Marshal(config)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: 3 * time.Second}
	deadline := time.Now().Add(startupTimeout)
	for i := 0; time.Now().Before(deadline); i++ {
		m := d.controls[i%len(d.controls)]
		response, err := client.Post(fmt.Sprintf("http://%s:%d/-/Config.Put", m.ip, controlPort), "application/json", bytes.NewReader(content))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				d.record.addAndPrint("configuration %v acknowledged by %s", config["version"], m.name)
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("no control machine acknowledged the configuration")
}

// service returns the entry of a service in a configuration.
func service(name string, maxConnections int) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/health", "maxConnections": maxConnections, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 0.0,
	}
}

// limits returns the limits of a configuration.
func limits() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}
