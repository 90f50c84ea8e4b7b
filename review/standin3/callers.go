package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// operatorTimeout is how long the operator waits for an answer before it asks another node.
	operatorTimeout = time.Second
	routedHost      = "desk.example"
)

// newClient returns a client that keeps connections to one address.
func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256, MaxConnsPerHost: 256}}
}

// putConfig sends a configuration to the nodes in turn until it is acknowledged.
func (s *stage) putConfig(nodes []*process, config map[string]any, timeout time.Duration) error {
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	client := newClient(operatorTimeout)
	deadline := time.Now().Add(timeout)
	for i := 0; time.Now().Before(deadline); i++ {
		node := nodes[i%len(nodes)]
		response, err := client.Post("http://"+node.address+"/-/Config.Put", "application/json", bytes.NewReader(body))
		if err == nil {
			answer, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			s.record.note("operator: version %v to %s: %d", config["version"], node.name, response.StatusCode)
			switch response.StatusCode {
			case http.StatusOK:
				return nil
			case http.StatusBadRequest:
				return fmt.Errorf("the configuration was refused: %s", answer)
			}
		} else {
			s.record.note("operator: version %v to %s: no answer", config["version"], node.name)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("version %v was not acknowledged within %v", config["version"], timeout)
}

// readConfig asks the nodes in turn for the configuration until one answers with 200, and returns its version, or 0 if none does.
func (s *stage) readConfig(nodes []*process, timeout time.Duration) uint64 {
	client := newClient(operatorTimeout)
	deadline := time.Now().Add(timeout)
	for i := 0; time.Now().Before(deadline); i++ {
		node := nodes[i%len(nodes)]
		response, err := client.Get("http://" + node.address + "/-/Config.Get")
		if err != nil {
			s.record.note("operator: read at %s: no answer", node.name)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		var config struct {
			Version uint64 `json:"version"`
		}
		content, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		s.record.note("operator: read at %s: %d", node.name, response.StatusCode)
		if response.StatusCode == http.StatusOK && json.Unmarshal(content, &config) == nil {
			return config.Version
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0
}

// awaitReady waits until the readiness address of each process answers with 200.
func awaitReady(entries []*process) error {
	client := newClient(time.Second)
	deadline := time.Now().Add(readyTimeout)
	for _, p := range entries {
		for {
			response, err := client.Get("http://" + p.ready + "/-/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// send sends one request to an entry and returns the status, or 0 without an answer.
func send(client *http.Client, entry *process, method, path, id, key string, deadline time.Duration) (int, http.Header) {
	request, err := http.NewRequest(method, "http://"+entry.address+path, nil)
	if err != nil {
		return 0, nil
	}
	request.Host = routedHost
	request.Header.Set("X-Lovagedeck-Request-Id", id)
	request.Header.Set("X-Lovagedeck-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		request.Header.Set("Api-Key", key)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode, response.Header
}
