package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

const (
	// brokenMark stands in the stamps of broken answers.
	brokenMark = "broken"
	// brokenStepTime is for how long one leaf of each service sends broken answers, and brokenKindTimeout limits how long it takes until
	// broken answers of one kind were sent to all kinds of requests. Leafs that send them get few requests.
	brokenStepTime    = 300 * time.Millisecond
	brokenKindTimeout = 10 * time.Second
	// hangUpTimeout limits how long a leaf waits for the other end to close the connection after a broken answer.
	hangUpTimeout = time.Second

	okLine      = "HTTP/1.1 200 OK\r\n"
	sizedBody   = "Content-Length: %[2]d\r\n\r\n%[3]s"
	chunkedBody = "\r\n%[2]x\r\n%[3]s\r\n0\r\n\r\n"
)

// brokenAnswers are answers with an invalid head. The formats are given further lines of the head, the length of the body and the body.
var brokenAnswers = []struct{ kind, format string }{
	{"status 000", "HTTP/1.1 000 OK\r\n%[1]s" + sizedBody},
	{"status 000 after an interim head", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n%[1]s" + sizedBody},
	{"status 099 before an answer", "HTTP/1.1 099 Hint\r\n\r\n" + okLine + "%[1]s" + sizedBody},
	{"status 101 before an answer", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + okLine + "%[1]s" + sizedBody},
	{"status 999", "HTTP/1.1 999 OK\r\n%[1]s" + sizedBody},
	{"other major version", "HTTP/2.0 200 OK\r\n%[1]s" + sizedBody},
	{"carriage return in the reason", "HTTP/1.1 200 OK\rX-Note: 1\r\n%[1]s" + sizedBody},
	{"status line of another answer in a line", okLine + "Content-Type: aHTTP/1.1 500 Fault\r\nContent-Type: a\r\n%[1]s" + sizedBody},
	{"blank in a name", okLine + "%[1]sX Note: 1\r\n" + sizedBody},
	{"blank after a name", okLine + "%[1]sX-Note : 1\r\n" + sizedBody},
	{"control byte in a name", okLine + "%[1]sX\x01Note: 1\r\n" + sizedBody},
	{"line feed before a name", okLine + "%[1]s\nX-Note: 1\r\n" + sizedBody},
	{"blank before a name", okLine + "%[1]sX-Note: a\r\n X-Odd: 1\r\n" + sizedBody},
	{"tab before a name", okLine + "%[1]sX-Note: a\r\n\tX-Odd: 1\r\n" + sizedBody},
	{"blank before a name, interim head", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n X-Odd: 1\r\n\r\n" + okLine + "%[1]s" + sizedBody},
	{"blank in the encoding", okLine + "%[1]sTransfer Encoding: chunked\r\n" + chunkedBody},
	{"blank after the encoding", okLine + "%[1]sTransfer-Encoding : chunked\r\n" + chunkedBody},
	{"blank before the encoding", okLine + "%[1]sX-Note: a\r\n Transfer-Encoding: chunked\r\n" + chunkedBody},
}

// brokenFormatOf returns the format of the broken answers of a kind, or an empty one if fault is another fault.
func brokenFormatOf(fault string) string {
	for _, answer := range brokenAnswers {
		if answer.kind == fault {
			return answer.format
		}
	}
	return ""
}

// brokenCount is how many broken answers were sent, by fault and service.
type brokenCount map[string]map[string]int

// coversAll reports whether broken answers of a kind were sent to plain requests, also those that must not run twice, to queries and to
// requests for the list.
func (b brokenCount) coversAll(kind string) bool {
	sent := b[kind]
	return sent["once"] > 0 && sent["safe"] > 0 && sent["list"] > 0 && slices.ContainsFunc(shardNames, func(shard string) bool { return sent[shard] > 0 })
}

func (b brokenCount) add(fault, service string) {
	if b[fault] == nil {
		b[fault] = map[string]int{}
	}
	b[fault][service]++
}

// sendBroken answers a request with a broken answer.
func (l *leaf) sendBroken(w http.ResponseWriter, id, fault string, run *leafRun) {
	stamp := strings.Join([]string{l.service, l.id, brokenMark, id}, ".")
	lines := fmt.Sprintf("X-Lovagedeck-Request-Id: %s\r\nX-Lovagedeck-Server-Stamp: %s\r\n", id, stamp)
	part := partForStamp(stamp)
	l.checker.recordBreakOff(run)
	l.checker.countBroken(fault, l.service)
	writeRaw(w, id, func(conn net.Conn, _ string) {
		_, _ = fmt.Fprintf(conn, brokenFormatOf(fault), lines, len(part), part)
		awaitHangUp(conn)
	})
}

// awaitHangUp waits until the other end closes the connection.
func awaitHangUp(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(hangUpTimeout))
	_, _ = io.Copy(io.Discard, conn)
}

func (c *checker) countBroken(fault, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken.add(fault, service)
}

func (c *checker) wereBroken(kind string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken.coversAll(kind)
}

// checkBroken reports a response that a leaf's broken answer is, or is a part of; c.mu must be held.
func (c *checker) checkBroken(id string, response *http.Response) {
	for _, name := range []string{"X-Lovagedeck-Server-Stamp", "X-Lovagedeck-Part-Stamps"} {
		for _, stamps := range response.Header.Values(name) {
			if strings.Contains(stamps, "."+brokenMark+".") {
				c.reportViolation("request %s got status %d with a broken answer, stamps %q", id, response.StatusCode, stamps)
			}
		}
	}
}

// breakAnswers makes some leafs of a service send broken answers.
func (f *faultInjector) breakAnswers() {
	services := f.traffic.services()
	leafs := f.deployment.fleet.byService(services[f.random.IntN(len(services))])
	for _, l := range leafs[:1+f.random.IntN(len(leafs))] {
		l.setFault(brokenAnswers[f.random.IntN(len(brokenAnswers))].kind)
		f.schedule(f.shortDuration(), func() { l.setFault("") })
	}
}

// breakOneOfEach makes the leaf with the given index of each service, counted in a circle, send broken answers for brokenStepTime.
func (f *faultInjector) breakOneOfEach(kind string, index int) {
	var broken []*leaf
	for _, service := range f.traffic.services() {
		leafs := f.deployment.fleet.byService(service)
		broken = append(broken, leafs[index%len(leafs)])
	}
	for _, l := range broken {
		l.setFault(kind)
	}
	time.Sleep(brokenStepTime)
	for _, l := range broken {
		l.setFault("")
	}
}

// serveBrokenList sends the list as breakList has set it, and reports whether that is a broken answer.
func (f *fleet) serveBrokenList(w http.ResponseWriter) bool {
	f.mu.Lock()
	kind, decoy := f.brokenListKind, f.decoy
	f.mu.Unlock()
	if kind == "" {
		return false
	}
	var entries []any
	for i, service := range append([]string{"once", "safe"}, shardNames...) {
		entries = append(entries, map[string]any{
			"id": fmt.Sprintf("i-decoy-%d", i), "service": service, "zone": "a", "address": decoy, "slots": leafSlots, "state": "ready",
			"warmupLeftMs": 0, "version": firstVersion,
		})
	}
	page, _ := json.Marshal(map[string]any{"instances": entries, "nextPageToken": nil})
	f.checker.countBroken(kind, "list")
	writeRaw(w, "", func(conn net.Conn, _ string) { _, _ = fmt.Fprintf(conn, brokenFormatOf(kind), "", len(page), page) })
	return true
}

// breakList makes the list of leafs a broken answer whose leafs have the address of a decoy, or a sound one if kind is empty.
func (f *fleet) breakList(kind, decoy string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.brokenListKind, f.decoy = kind, decoy
}

// startDecoy returns an address that no instance may connect to.
func startDecoy(t *testing.T, c *checker, host string) string {
	t.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
			c.mu.Lock()
			c.reportViolation("an instance has taken leafs from a broken answer for the list")
			c.mu.Unlock()
		}
	}()
	return listener.Addr().String()
}

// Operators saw on real processes that callers got an answer of a leaf whose status was 000. Leafs of all services, and the list of leafs,
// send broken answers of each kind in turn, while one instance relays all its requests. No caller may get one, nor an instance a leaf.
func TestProcessesRejectBrokenAnswers(t *testing.T) {
	c := newChecker()
	d := newDeployment(t, *firstSubnet+int(nextSubnet.Add(1)%40), c)
	defer keepLogsOfFailedRun(t, d, 1)
	defer d.close()
	tr, random := startTraffic(t, d, 1, false)
	f := &faultInjector{deployment: d, traffic: tr, random: random}
	f.cutOff(d.entries()[0], "refuse")
	decoy := startDecoy(t, c, d.fleet.host)
	for _, answer := range brokenAnswers {
		d.fleet.breakList(answer.kind, decoy)
		for i, end := 0, time.Now().Add(brokenKindTimeout); !c.wereBroken(answer.kind) && time.Now().Before(end); i++ {
			f.breakOneOfEach(answer.kind, i)
		}
	}
	d.fleet.breakList("", "")
	f.cutOff(d.entries()[0], "")
	if err := d.awaitReady(startTimeout); err != nil {
		t.Error(err)
	}
	tr.finish()
	d.checkStartedOnce()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, violation := range c.violations {
		t.Error(violation)
	}
	for _, answer := range brokenAnswers {
		if !c.broken.coversAll(answer.kind) {
			t.Errorf("%s: got broken answers %v, want some to each kind of request", answer.kind, c.broken[answer.kind])
		}
	}
	if c.servedCount < 500 || c.reachability.cut.served == 0 {
		t.Errorf("%d requests were served, %d of them relayed; want at least 500 and 1", c.servedCount, c.reachability.cut.served)
	}
	t.Logf("%d served (%d partial), %d refused, %d failed, requests of cut-off instances %+v, broken answers %v", c.servedCount, c.partialCount, c.refusedCount, c.failedCount, c.reachability, c.broken)
}
