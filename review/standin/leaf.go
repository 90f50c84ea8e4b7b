package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

type (
	// run is one execution of a request at a leaf.
	run struct {
		leaf    string
		request string
		// front is the machine that the connection belongs to, as far as it is known.
		front string
		// arrivedAt is when the leaf had read the request, at is when it began to run it.
		arrivedAt time.Time
		at        time.Time
		endedAt   time.Time
	}

	// leafs are all leafs of a case.
	leafs struct {
		record *record
		mu     sync.Mutex
		all    []*leaf
		runs   []*run
		// onRun, unless nil, is called with each run when it begins.
		onRun func(r *run)
	}

	// leaf serves one request at a time on a connection and runs as many as it has slots. Beyond these it queues requests, and
	// rejects them once the queue is full.
	leaf struct {
		set      *leafs
		id       string
		address  string
		slots    chan struct{}
		queue    chan struct{}
		maxConns int
		work     func(r *http.Request) time.Duration
		mu       sync.Mutex
		listener net.Listener
		conns    map[*leafConn]bool
	}

	// leafConn is a connection to a leaf. While it hangs, nothing passes in either direction.
	leafConn struct {
		raw   net.Conn
		mu    sync.Mutex
		front string
		hang  chan struct{}
		ended chan struct{}
	}
)

func newLeafs(r *record) *leafs { return &leafs{record: r} }

// add starts a leaf and puts it on the platform's list.
func (s *leafs) add(d *deployment, id, service, zone string, host, slots, queue, maxConns int, work func(r *http.Request) time.Duration) (*leaf, error) {
	l := &leaf{
		set: s, id: id, address: d.address(host, leafPort), slots: make(chan struct{}, slots), queue: make(chan struct{}, slots+queue),
		maxConns: maxConns, work: work, conns: map[*leafConn]bool{},
	}
	if err := l.listen(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.all = append(s.all, l)
	s.mu.Unlock()
	d.platform.add(listEntry{ID: id, Service: service, Address: l.address, Zone: zone, Version: "v1", Slots: slots, State: "ready"})
	return l, nil
}

// listen accepts connections.
func (l *leaf) listen() error {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	go func() {
		for {
			raw, err := listener.Accept()
			if err != nil {
				return
			}
			l.accept(raw)
		}
	}()
	return nil
}

// refuse makes the leaf refuse new connections. Those that are open stay open.
func (l *leaf) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
}

func (l *leaf) accept(raw net.Conn) {
	c := &leafConn{raw: raw, ended: make(chan struct{})}
	l.mu.Lock()
	if len(l.conns) >= l.maxConns {
		l.mu.Unlock()
		c.reset()
		return
	}
	l.conns[c] = true
	l.mu.Unlock()
	go func() {
		defer func() {
			l.mu.Lock()
			delete(l.conns, c)
			l.mu.Unlock()
			close(c.ended)
			_ = raw.Close()
		}()
		l.serve(c)
	}()
}

func (c *leafConn) reset() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.raw.Close()
}

// owner returns the front machine that opened the connection, or an empty name before it is known.
func (c *leafConn) owner() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.front
}

func (c *leafConn) setOwner(front string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.front = front
}

// startHang lets nothing pass any more, until the connection is reset.
func (c *leafConn) startHang() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hang == nil {
		c.hang = make(chan struct{})
	}
}

// awaitPassage waits while the connection hangs, and reports whether it can be used.
func (c *leafConn) awaitPassage() bool {
	c.mu.Lock()
	hang := c.hang
	c.mu.Unlock()
	if hang == nil {
		return true
	}
	<-hang
	return false
}

// breakOff resets the connection, also one that hangs.
func (c *leafConn) breakOff() {
	c.mu.Lock()
	if c.hang != nil {
		close(c.hang)
	} else {
		c.hang = make(chan struct{})
		close(c.hang)
	}
	c.mu.Unlock()
	c.reset()
}

// end closes the leaf, with all its connections.
func (l *leaf) end() {
	l.refuse()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.reset()
	}
}

// conns returns the open connections of the front machine at all leafs.
func (s *leafs) conns(front string) []*leafConn {
	s.mu.Lock()
	all := append([]*leaf(nil), s.all...)
	s.mu.Unlock()
	var found []*leafConn
	for _, l := range all {
		l.mu.Lock()
		for c := range l.conns {
			if c.owner() == front {
				found = append(found, c)
			}
		}
		l.mu.Unlock()
	}
	return found
}

// frontOf returns the front machine to which a client sent the request, from an ID such as "b:front-a-1:17". Only these name it.
func frontOf(id string) string {
	if parts := strings.Split(id, ":"); len(parts) == 3 && parts[0] == "b" {
		return parts[1]
	}
	return ""
}

func (l *leaf) serve(c *leafConn) {
	reader := bufio.NewReader(c.raw)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !c.awaitPassage() {
			return
		}
		arrivedAt := time.Now()
		id := request.Header.Get("X-Lovagedeck-Request-Id")
		if c.owner() == "" {
			c.setOwner(frontOf(id))
		}
		if expected := request.Header.Get("X-Lovagedeck-Expect-Instance"); expected != "" && expected != l.id {
			if !c.answer(id, 421, "X-Lovagedeck-Not-Executed: 1\r\n", nil) {
				return
			}
			continue
		}
		select {
		case l.queue <- struct{}{}:
		default:
			l.set.record.add("leaf %s is full and rejects request %s", l.id, id)
			if !c.answer(id, 503, "X-Lovagedeck-Not-Executed: 1\r\n", nil) {
				return
			}
			continue
		}
		l.slots <- struct{}{}
		done := l.set.begin(l, c, id, arrivedAt)
		time.Sleep(l.work(request))
		done()
		<-l.slots
		<-l.queue
		if !c.awaitPassage() {
			return
		}
		stamp := fmt.Sprintf("X-Lovagedeck-Server-Stamp: %08x.%s\r\n", checksum(id+string(body)), l.id)
		if !c.answer(id, 200, stamp, []byte("answer of "+l.id+" to "+id+"\n")) {
			return
		}
	}
}

func checksum(text string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	return h.Sum32()
}

// answer writes a response and reports whether the connection can be used further.
func (c *leafConn) answer(id string, status int, headers string, body []byte) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Lovagedeck-Request-Id: %s\r\n%sKeep-Alive: timeout=60\r\nContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), id, headers, len(body))
	_, err := c.raw.Write(append([]byte(head), body...))
	return err == nil
}

// begin records a run and returns a function that ends it.
func (s *leafs) begin(l *leaf, c *leafConn, id string, arrivedAt time.Time) func() {
	r := &run{leaf: l.id, request: id, front: c.owner(), arrivedAt: arrivedAt, at: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, r)
	onRun := s.onRun
	s.mu.Unlock()
	s.record.add("leaf %s runs request %s, which came from %s", l.id, id, r.front)
	if onRun != nil {
		onRun(r)
	}
	return func() {
		s.mu.Lock()
		r.endedAt = time.Now()
		s.mu.Unlock()
		s.record.add("leaf %s ends request %s", l.id, id)
	}
}

// runsOf returns the runs of a request.
func (s *leafs) runsOf(id string) []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []run
	for _, r := range s.runs {
		if r.request == id {
			found = append(found, *r)
		}
	}
	return found
}

func (s *leafs) setOnRun(onRun func(r *run)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onRun = onRun
}

// logNormal returns a random duration with the given mean, spread and maximum.
func logNormal(mean time.Duration, spread float64, most time.Duration) time.Duration {
	value := float64(mean) * math.Exp(spread*rand.NormFloat64()-spread*spread/2)
	return min(time.Duration(value), most)
}
