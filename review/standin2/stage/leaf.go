package stage

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Headers of the users' pages.
const (
	RequestID      = "X-Lovagedeck-Request-Id"
	DeadlineMs     = "X-Lovagedeck-Deadline-Ms"
	ExpectInstance = "X-Lovagedeck-Expect-Instance"
	ServerStamp    = "X-Lovagedeck-Server-Stamp"
	NotExecuted    = "X-Lovagedeck-Not-Executed"
	InstanceID     = "X-Lovagedeck-Instance-Id"
	// Leaving marks the answers of a leaf that is leaving.
	Leaving  = "Server-Leaving"
	WarmupMs = "X-Lovagedeck-Warmup-Ms"
)

// Arrival is a request at a leaf.
type Arrival struct {
	Leaf    *Leaf
	Conn    net.Conn
	Request *http.Request
	Body    []byte
	ID      string
	At      time.Time
	// OnConn is the number of requests that the connection has carried, this one included.
	OnConn int
}

// Leaf is a leaf with its own listener.
type Leaf struct {
	Instance Instance
	record   *Record
	listener net.Listener
	// Handle, unless nil, answers a request itself and reports whether the connection may be used again. If it returns handled false, the
	// leaf runs the request as usual.
	handle func(a *Arrival) (handled, keep bool)
	work   time.Duration
	mu     sync.Mutex
	runs   map[string]int
	conns  map[net.Conn]bool
	closed bool
}

// NewLeaf starts a leaf that is not cold and adds it to the list.
func (s *Stage) NewLeaf(service, zone, id, ip string, work time.Duration) (*Leaf, error) {
	return s.NewColdLeaf(service, zone, id, ip, work, 0)
}

// NewColdLeaf starts a leaf that is cold for the given time and adds it to the list.
func (s *Stage) NewColdLeaf(service, zone, id, ip string, work, coldFor time.Duration) (*Leaf, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	l := &Leaf{
		Instance: Instance{ID: id, Service: service, Address: listener.Addr().String(), Zone: zone, Version: "v1", Slots: 6, State: "ready", ColdUntil: time.Now().Add(coldFor)},
		record:   s.Record, listener: listener, work: work, runs: map[string]int{}, conns: map[net.Conn]bool{},
	}
	go l.serve(listener)
	s.List.Set(l.Instance)
	return l, nil
}

// SetHandler sets the function that answers requests in place of the leaf.
func (l *Leaf) SetHandler(handle func(a *Arrival) (handled, keep bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handle = handle
}

// CountRun records that the leaf began to work on a request.
func (l *Leaf) CountRun(id string) {
	l.mu.Lock()
	l.runs[id]++
	l.mu.Unlock()
	l.record.Log("leaf %s: runs %s", l.Instance.ID, id)
}

// Runs returns how often the leaf ran each request.
func (l *Leaf) Runs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := make(map[string]int, len(l.runs))
	for id, count := range l.runs {
		runs[id] = count
	}
	return runs
}

// Stop ends the leaf and resets its connections.
func (l *Leaf) Stop() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for conn := range l.conns {
		Reset(conn)
	}
}

// StartAgain starts a leaf that was stopped at its old address and under its old identifier, cold for the given time.
func (l *Leaf) StartAgain(coldFor time.Duration) error {
	listener, err := net.Listen("tcp", l.Instance.Address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listener, l.closed, l.Instance.ColdUntil = listener, false, time.Now().Add(coldFor)
	l.mu.Unlock()
	go l.serve(listener)
	return nil
}

// Reset closes a connection with a reset.
func Reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (l *Leaf) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.conns[conn] = true
		l.mu.Unlock()
		go func() {
			l.serveConn(conn)
			_ = conn.Close()
			l.mu.Lock()
			delete(l.conns, conn)
			l.mu.Unlock()
		}()
	}
}

func (l *Leaf) serveConn(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for count := 1; ; count++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		a := &Arrival{Leaf: l, Conn: conn, Request: request, Body: body, ID: request.Header.Get(RequestID), At: time.Now(), OnConn: count}
		if !l.answer(a) {
			return
		}
	}
}

func (l *Leaf) answer(a *Arrival) (keep bool) {
	if a.Request.URL.Path == "/health" {
		left := max(0, time.Until(l.Instance.ColdUntil)).Milliseconds()
		return Respond(a.Conn, 200, "ok", InstanceID, l.Instance.ID, WarmupMs, strconv.FormatInt(left, 10))
	}
	if expected := a.Request.Header.Get(ExpectInstance); expected != "" && expected != l.Instance.ID {
		return Respond(a.Conn, 421, "", InstanceID, l.Instance.ID, NotExecuted, "1")
	}
	l.mu.Lock()
	handle := l.handle
	l.mu.Unlock()
	if handle != nil {
		if handled, keep := handle(a); handled {
			return keep
		}
	}
	return l.Run(a)
}

// Run runs the request and answers it.
func (l *Leaf) Run(a *Arrival) (keep bool) {
	l.CountRun(a.ID)
	time.Sleep(l.work)
	return Respond(a.Conn, 200, "body of "+a.ID, RequestID, a.ID, ServerStamp, l.Stamp(a.ID))
}

// Stamp returns the proof that this leaf answered a request.
func (l *Leaf) Stamp(id string) string { return "stamp." + l.Instance.ID + "." + id }

// Respond writes an answer with the given header lines and reports whether that succeeded.
func Respond(conn net.Conn, status int, body string, headers ...string) bool {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for i := 0; i+1 < len(headers); i += 2 {
		_, _ = fmt.Fprintf(&b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	_, _ = fmt.Fprintf(&b, "\r\n%s", body)
	_, err := conn.Write([]byte(b.String()))
	return err == nil
}
