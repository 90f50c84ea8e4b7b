package soak

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	leafSlots   = 4
	leafWork    = 4 * time.Millisecond
	partRecords = 12
	listPage    = 7
)

type (
	// leaf is a stand-in of one leaf; it tells the judge what it runs.
	leaf struct {
		id      string
		service string
		zone    string
		judge   *judge
		server  *http.Server
		proxy   *proxy
		slots   chan bool
		mu      sync.Mutex
		failing string
		leaving bool
		coldEnd time.Time
	}

	// fleet is all leafs and the platform's list of them.
	fleet struct {
		judge  *judge
		mu     sync.Mutex
		leafs  []*leaf
		nextID int
		list   *http.Server
		at     string
	}
)

func newFleet(j *judge) (*fleet, error) {
	f := &fleet{judge: j}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.at = listener.Addr().String()
	f.list = &http.Server{Handler: http.HandlerFunc(f.serveList)}
	go func() { _ = f.list.Serve(listener) }()
	return f, nil
}

// add starts a leaf; an address that is not empty is that of one that is gone.
func (f *fleet) add(service, zone, address string) (*leaf, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextID++
	l := &leaf{id: fmt.Sprintf("i-%04d", f.nextID), service: service, zone: zone, judge: f.judge, slots: make(chan bool, leafSlots)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.server = &http.Server{Handler: http.HandlerFunc(l.serve), ErrorLog: quietLog}
	go func() { _ = l.server.Serve(listener) }()
	if address == "" {
		address = "127.0.0.1:0"
	}
	if l.proxy, err = newProxy(address, listener.Addr().String()); err != nil {
		_ = l.server.Close()
		return nil, err
	}
	f.leafs = append(f.leafs, l)
	return l, nil
}

// remove ends a leaf at once and returns its address.
func (f *fleet) remove(l *leaf) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, other := range f.leafs {
		if other == l {
			f.leafs = append(f.leafs[:i], f.leafs[i+1:]...)
		}
	}
	_ = l.server.Close()
	l.proxy.close()
	return l.proxy.address()
}

func (f *fleet) of(service string) []*leaf {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []*leaf
	for _, l := range f.leafs {
		if l.service == service {
			found = append(found, l)
		}
	}
	return found
}

func (f *fleet) all() []*leaf {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*leaf(nil), f.leafs...)
}

func (f *fleet) close() {
	_ = f.list.Close()
	for _, l := range f.all() {
		f.remove(l)
	}
}

// serveList answers page by page, with entries of other writers among them.
func (f *fleet) serveList(w http.ResponseWriter, r *http.Request) {
	entries := []any{map[string]any{"id": 7, "service": nil}, "nonsense"}
	zone := r.URL.Query().Get("zone")
	for _, l := range f.all() {
		if zone == "" || zone == l.zone {
			entries = append(entries, l.entry())
		}
	}
	first, _ := strconv.Atoi(r.URL.Query().Get("pageToken"))
	first = min(first, len(entries))
	last := min(first+listPage, len(entries))
	page := map[string]any{"instances": entries[first:last], "nextPageToken": nil}
	if last < len(entries) {
		page["nextPageToken"] = strconv.Itoa(last)
	}
	_ = json.NewEncoder(w).Encode(page)
}

func (l *leaf) entry() map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := "ready"
	if l.leaving {
		state = "draining"
	}
	return map[string]any{
		"id": l.id, "service": l.service, "zone": l.zone, "address": l.proxy.address(), "slots": leafSlots, "state": state,
		"warmupLeftMs": max(0, time.Until(l.coldEnd).Milliseconds()), "version": "v1",
	}
}

func (l *leaf) fail(how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing = how
}

func (l *leaf) leave() {
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	l.judge.onLeaving(l.id)
}

func (l *leaf) how() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failing
}

func (l *leaf) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Lovagedeck-Request-Id")
	w.Header().Set("X-Lovagedeck-Request-Id", id)
	if expected := r.Header.Get("X-Lovagedeck-Expect-Instance"); expected != "" && expected != l.id {
		l.reject(w, http.StatusMisdirectedRequest)
		return
	}
	select {
	case l.slots <- true:
		defer func() { <-l.slots }()
	case <-time.After(20 * leafWork):
		l.reject(w, http.StatusServiceUnavailable)
		return
	}
	how := l.how()
	if how == "shed" {
		l.reject(w, http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	l.judge.onRun(l, id, r.Method, r.RequestURI, body)
	l.work(w, r, id, how)
}

func (l *leaf) reject(w http.ResponseWriter, status int) {
	w.Header().Set("X-Lovagedeck-Not-Executed", "1")
	w.WriteHeader(status)
}

func (l *leaf) work(w http.ResponseWriter, r *http.Request, id, how string) {
	switch how {
	case "slow":
		time.Sleep(30 * leafWork)
	case "hang":
		select {
		case <-r.Context().Done():
		case <-time.After(2 * time.Second):
		}
		panic(http.ErrAbortHandler)
	case "lose":
		panic(http.ErrAbortHandler)
	default:
		time.Sleep(leafWork)
	}
	if how == "endless" {
		writeEndlessly(w)
		return
	}
	proof := l.proof(id)
	w.Header().Set("X-Lovagedeck-Server-Stamp", proof)
	if how == "fail" {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	part := partOf(proof)
	w.Header().Set("Content-Length", strconv.Itoa(len(part)))
	if how == "truncate" {
		_, _ = w.Write(part[:len(part)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(part)
}

// writeEndlessly sends a body until the connection is closed.
func writeEndlessly(w http.ResponseWriter) {
	piece := make([]byte, 32<<10)
	for {
		if _, err := w.Write(piece); err != nil {
			return
		}
	}
}

// proof names service, leaf and request, so that the judge can check whose part it is.
func (l *leaf) proof(requestID string) string { return l.service + "." + l.id + "." + requestID }

// partOf returns the records that belong to a proof.
func partOf(proof string) []byte {
	var part bytes.Buffer
	for i := range partRecords {
		sum := sha256.Sum256([]byte(proof + strconv.Itoa(i)))
		part.Write(sum[:16])
	}
	part.WriteString(hex.EncodeToString(part.Bytes()[:4])[:5])
	return part.Bytes()
}
