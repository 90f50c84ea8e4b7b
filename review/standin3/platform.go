package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// listPageSize is the number of entries of one page of the list.
const listPageSize = 50

type (
	// platform serves the list of leafs.
	platform struct {
		address string
		server  *http.Server
		mu      sync.Mutex
		leafs   []*leaf
		stage   *stage
	}

	// leaf is a sound leaf.
	leaf struct {
		id, service, zone, address string
		slots                      int
		work                       time.Duration
		server                     *http.Server
		stage                      *stage
		served                     atomic.Int64
		// onRun is called when the leaf begins to work on a request.
		onRun func(l *leaf, r *http.Request)
	}
)

func newPlatform(s *stage) (*platform, error) {
	l, err := net.Listen("tcp", s.host(200)+":0")
	if err != nil {
		return nil, err
	}
	p := &platform{address: l.Addr().String(), stage: s}
	p.server = &http.Server{Handler: http.HandlerFunc(p.serveList)}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

func (p *platform) serveList(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	zone, start := r.URL.Query().Get("zone"), 0
	if token := r.URL.Query().Get("pageToken"); token != "" {
		start, _ = strconv.Atoi(strings.TrimPrefix(token, "p-"))
	}
	var matching []map[string]any
	for _, l := range p.leafs {
		if zone == "" || l.zone == zone {
			matching = append(matching, map[string]any{
				"id": l.id, "service": l.service, "address": l.address, "zone": l.zone, "version": "v1", "slots": l.slots, "state": "ready", "warmupLeftMs": 0,
			})
		}
	}
	end := min(len(matching), start+listPageSize)
	page := map[string]any{"instances": append([]map[string]any{}, matching[min(start, end):end]...), "nextPageToken": nil}
	if end < len(matching) {
		page["nextPageToken"] = fmt.Sprint("p-", end)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}

// addLeaf starts a leaf and lists it.
func (p *platform) addLeaf(service, zone string, slots int, work time.Duration, onRun func(*leaf, *http.Request)) error {
	listener, err := net.Listen("tcp", p.stage.host(201)+":0")
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &leaf{
		id: fmt.Sprintf("i-%s-%d", service, len(p.leafs)), service: service, zone: zone, address: listener.Addr().String(), slots: slots, work: work,
		stage: p.stage, onRun: onRun,
	}
	l.server = &http.Server{Handler: http.HandlerFunc(l.serve)}
	go func() { _ = l.server.Serve(listener) }()
	p.leafs = append(p.leafs, l)
	return nil
}

func (p *platform) close() {
	_ = p.server.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.leafs {
		_ = l.server.Close()
	}
}

func (l *leaf) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Lovagedeck-Instance-Id", l.id)
		return
	}
	id := r.Header.Get("X-Lovagedeck-Request-Id")
	w.Header().Set("X-Lovagedeck-Request-Id", id)
	if id == "" {
		w.Header().Set("X-Lovagedeck-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("X-Lovagedeck-Expect-Instance"); expected != "" && expected != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if l.onRun != nil {
		l.onRun(l, r)
	}
	time.Sleep(l.work)
	w.Header().Set("X-Lovagedeck-Server-Stamp", fmt.Sprintf("%s.%d", l.id, l.served.Add(1)))
	_, _ = io.WriteString(w, "card of "+id)
}
