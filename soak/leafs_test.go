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
	"sync/atomic"
	"time"
)

const (
	leafSlots       = 4
	leafServiceTime = 4 * time.Millisecond
	recordsPerPart  = 12
	listPageSize    = 7
)

type (
	// leaf is a simulated leaf that reports every request it executes to the checker.
	leaf struct {
		id      string
		service string
		zone    string
		version string
		// flaw is what is wrong with a bad version, or nil.
		flaw    *flaw
		checker *checker
		server  *http.Server
		proxy   *proxy
		slots   chan bool
		mu      sync.Mutex
		// fault is the kind of fault that the leaf simulates, or empty.
		fault string
		// statedRates are the rate limits that the leaf states in its responses, none if empty.
		statedRates []string
		// rest is the Retry-After of refusals with fault "rest".
		rest string
		// statesLeaving makes the leaf state in its responses that it is leaving.
		statesLeaving bool
		isDraining    bool
		warmUpEnd     time.Time
		// retiredAt is when a roll-out to another version was read as completed, or zero.
		retiredAt time.Time
	}

	// fleet holds the simulated leafs and serves the platform's list of them.
	fleet struct {
		checker *checker
		mu      sync.Mutex
		leafs   []*leaf
		// versions are those that new leafs of a service get, firstVersion if none is given.
		versions    map[string]string
		nextID      int
		listServer  *http.Server
		listAddress string
		host        string
		// isListEndless makes the list of leafs a page that never ends.
		isListEndless atomic.Bool
		// brokenListKind is the kind of broken answer that the list is, or empty, and decoy the address of the leafs in it.
		brokenListKind, decoy string
	}
)

func newFleet(c *checker, host string) (*fleet, error) {
	f := &fleet{checker: c, host: host, versions: map[string]string{}}
	listener, err := net.Listen("tcp", f.freeAddress())
	if err != nil {
		return nil, err
	}
	f.listAddress = listener.Addr().String()
	f.listServer = &http.Server{Handler: http.HandlerFunc(f.serveList)}
	go func() { _ = f.listServer.Serve(listener) }()
	return f, nil
}

// freeAddress returns an address to listen on with a free port.
func (f *fleet) freeAddress() string { return net.JoinHostPort(f.host, "0") }

// add starts a leaf on the given address, or on a free one if it is empty. A given address is that of a removed leaf.
func (f *fleet) add(service, zone, address string) (*leaf, error) {
	return f.addVersion(service, zone, address, f.versionOf(service), nil)
}

// addVersion starts a leaf of a version like add.
func (f *fleet) addVersion(service, zone, address, version string, flaw *flaw) (*leaf, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextID++
	l := &leaf{id: fmt.Sprintf("i-%04d", f.nextID), service: service, zone: zone, version: version, flaw: flaw, checker: f.checker, slots: make(chan bool, slotsOf(service))}
	listener, err := net.Listen("tcp", f.freeAddress())
	if err != nil {
		return nil, err
	}
	l.server = &http.Server{Handler: http.HandlerFunc(l.serve), ErrorLog: discardLog}
	go func() { _ = l.server.Serve(listener) }()
	if address == "" {
		address = f.freeAddress()
	}
	if l.proxy, err = newProxy(address, listener.Addr().String()); err != nil {
		_ = l.server.Close()
		return nil, err
	}
	f.leafs = append(f.leafs, l)
	return l, nil
}

// remove stops a leaf immediately and returns its address.
func (f *fleet) remove(l *leaf) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, other := range f.leafs {
		if other == l {
			f.leafs = append(f.leafs[:i], f.leafs[i+1:]...)
		}
	}
	f.checker.recordLeafBreakOff(l)
	_ = l.server.Close()
	l.proxy.close()
	return l.proxy.address()
}

func (f *fleet) byService(service string) []*leaf {
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
	_ = f.listServer.Close()
	for _, l := range f.all() {
		f.remove(l)
	}
}

// serveList serves the list in pages. It starts with malformed entries, as other writers of the list could add them.
func (f *fleet) serveList(w http.ResponseWriter, r *http.Request) {
	if f.isListEndless.Load() {
		_, _ = io.WriteString(w, `{"instances":[`)
		writeEndlessly(w)
		return
	}
	if f.serveBrokenList(w) {
		return
	}
	entries := []any{map[string]any{"id": 7, "service": nil}, "nonsense"}
	zone := r.URL.Query().Get("zone")
	for _, l := range f.all() {
		if zone == "" || zone == l.zone {
			entries = append(entries, l.listEntry())
		}
	}
	start, _ := strconv.Atoi(r.URL.Query().Get("pageToken"))
	start = min(start, len(entries))
	end := min(start+listPageSize, len(entries))
	page := map[string]any{"instances": entries[start:end], "nextPageToken": nil}
	if end < len(entries) {
		page["nextPageToken"] = strconv.Itoa(end)
	}
	_ = json.NewEncoder(w).Encode(page)
}

func (l *leaf) listEntry() map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := "ready"
	if l.isDraining {
		state = "draining"
	}
	return map[string]any{
		"id": l.id, "service": l.service, "zone": l.zone, "address": l.proxy.address(), "slots": cap(l.slots), "state": state,
		"warmupLeftMs": max(0, time.Until(l.warmUpEnd).Milliseconds()), "version": l.version,
	}
}

func (l *leaf) setFault(fault string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
}

func (l *leaf) drain() {
	l.mu.Lock()
	l.isDraining = true
	l.mu.Unlock()
	l.checker.recordDraining(l.id)
}

func (l *leaf) currentFault() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault
}

func (l *leaf) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Lovagedeck-Request-Id")
	w.Header().Set("X-Lovagedeck-Request-Id", id)
	if expected := r.Header.Get("X-Lovagedeck-Expect-Instance"); expected != "" && expected != l.id {
		reject(w, http.StatusMisdirectedRequest)
		return
	}
	if id == crowdID {
		l.serveCrowd(w, r)
		return
	}
	run := l.checker.beginRun(l, id)
	defer l.checker.endRun(run)
	l.checker.checkArrival(l.id, id)
	l.checker.checkVersion(l, id)
	l.checker.checkRest(l.id, id)
	fault := l.currentFault()
	isBroken := brokenFormatOf(fault) != ""
	if !isBroken {
		l.stateLeaving(w, id)
	}
	select {
	case l.slots <- true:
		defer func() { <-l.slots }()
	case <-time.After(20 * leafServiceTime):
		l.stateRates(w, id)
		reject(w, http.StatusServiceUnavailable)
		return
	}
	if fault == "rest" {
		l.refuseForRest(w, id)
		return
	}
	if fault == "shed" {
		l.stateRates(w, id)
		reject(w, http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	l.checker.checkExecution(l, id, r.Method, r.RequestURI, body)
	if l.checker.tenants != nil {
		l.checker.tenants.checkArrival(l.checker, l.id, id, r.Header)
	}
	l.checker.recordExecution(run)
	if flawFault := l.flaw.faultOf(l, id, r.RequestURI); flawFault != "" && fault == "" {
		fault = flawFault
		l.checker.recordBadAnswer(l)
	}
	if isBroken {
		l.sendBroken(w, id, fault, run)
		return
	}
	l.respond(w, r, id, fault, run)
}

// setRates makes the leaf state rate limits. The checker judges the lowest one, unless it is negative.
func (l *leaf) setRates(judged float64, rates ...string) {
	l.mu.Lock()
	l.statedRates = rates
	l.mu.Unlock()
	l.checker.setRateLimit(l.id, judged)
}

// stateRates adds the rate limits to a response.
func (l *leaf) stateRates(w http.ResponseWriter, requestID string) {
	l.mu.Lock()
	rates := l.statedRates
	l.mu.Unlock()
	for _, rate := range rates {
		w.Header().Add("Server-Limit", rate)
	}
	if len(rates) > 0 {
		l.checker.recordStatedRate(l.id, requestID)
	}
}

func reject(w http.ResponseWriter, status int) {
	w.Header().Set("X-Lovagedeck-Not-Executed", "1")
	w.WriteHeader(status)
}

func (l *leaf) respond(w http.ResponseWriter, r *http.Request, id, fault string, run *leafRun) {
	switch fault {
	case "slow":
		time.Sleep(30 * leafServiceTime)
	case "drag":
		time.Sleep(draggedWorkFor(id))
	case "hang":
		select {
		case <-r.Context().Done():
		case <-time.After(2 * time.Second):
		}
		l.breakOff(run)
	case "lose":
		l.breakOff(run)
	default:
		time.Sleep(l.serviceTime(id))
	}
	if fault == "endless" {
		writeEndlessly(w)
		return
	}
	if write, ok := endlessFaults[fault]; ok {
		writeRaw(w, id, write)
		return
	}
	l.stateRates(w, id)
	stamp := l.stamp(id)
	w.Header().Set("X-Lovagedeck-Server-Stamp", stamp)
	if fault == "fail" {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	part := partForStamp(stamp)
	w.Header().Set("Content-Length", strconv.Itoa(len(part)))
	if fault == "truncate" {
		_, _ = w.Write(part[:len(part)/2])
		l.breakOff(run)
	}
	_, _ = w.Write(part)
}

// breakOff ends the connection of a request without a complete response.
func (l *leaf) breakOff(run *leafRun) {
	l.checker.recordBreakOff(run)
	panic(http.ErrAbortHandler)
}

func (l *leaf) serviceTime(requestID string) time.Duration {
	if contains(slowServices, l.service) {
		return workFor(requestID)
	}
	return leafServiceTime
}

func slotsOf(service string) int {
	if contains(slowServices, service) {
		return slowLeafSlots
	}
	return leafSlots
}

// resetConnections resets the connections of the leaf.
func (l *leaf) resetConnections() {
	l.checker.recordLeafBreakOff(l)
	l.proxy.resetConnections()
}

// writeEndlessly writes a body until the connection is closed.
func writeEndlessly(w http.ResponseWriter) {
	chunk := make([]byte, 32<<10)
	for {
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}

// stamp returns a text that names service, leaf and request, from which the checker derives the expected part.
func (l *leaf) stamp(requestID string) string { return l.service + "." + l.id + "." + requestID }

// partForStamp returns the records that a leaf sends with the given stamp, followed by an incomplete record.
func partForStamp(stamp string) []byte {
	var part bytes.Buffer
	for i := range recordsPerPart {
		sum := sha256.Sum256([]byte(stamp + strconv.Itoa(i)))
		part.Write(sum[:16])
	}
	part.WriteString(hex.EncodeToString(part.Bytes()[:4])[:5])
	return part.Bytes()
}
