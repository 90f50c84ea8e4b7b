package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	orderLimit = 15 * time.Second
	// orderWork is what a cert-check takes at most.
	orderWork  = 1300 * time.Millisecond
	lookupWork = 10 * time.Millisecond
	// detectionTime is the time in which the first machine finds out that it reaches no leaf.
	detectionTime = 500 * time.Millisecond
	// secondCutDelay is how long an order has run when the machine that sent it is partitioned.
	secondCutDelay = 100 * time.Millisecond
	// lookupPause is the mean pause between two lookups of a client, of which each front machine has lookupClients until the partition.
	lookupPause   = 30 * time.Millisecond
	lookupClients = 3
)

// runRelay partitions two of five front machines from all leafs for up to 2.5 s. A client sends an unsafe request to the first one, which has
// another machine serve it. That is the second one, which is partitioned while the leaf works on the request; its connections hang
// and are reset at the end. The leafs can refuse new connections of all machines only, so that the case counts as not run if one of the
// other three was refused a connection.
func runRelay(r *record, hasTrouble bool) error {
	zones := []string{"inv-a", "inv-b", "inv-c"}
	d, err := newDeployment(r, zones, []string{"inv-a", "inv-a", "inv-b", "inv-b", "inv-c"})
	if err != nil {
		return err
	}
	defer d.close()
	set := newLeafs(r)
	work := func(request *http.Request) time.Duration {
		if request.Method == http.MethodPost {
			return orderWork
		}
		return lookupWork
	}
	for i := range 9 {
		if _, err := set.add(d, fmt.Sprintf("i-%d", i+1), "cert-audit", zones[i%3], 100+i, 6, 24, 51, work); err != nil {
			return err
		}
	}
	if err := d.start(); err != nil {
		return err
	}
	if err := d.putConfig(map[string]any{
		"version": 7, "limits": limits(), "services": []any{service("cert-audit", 51)},
		"routes": []any{
			map[string]any{
				"name": "r-order", "host": "pupu76.example", "pathPrefix": "/order/", "kind": "unsafe", "timeoutMs": orderLimit.Milliseconds(),
				"targetLatencyMs": 800, "priority": 2, "service": "cert-audit", "maxAttempts": 2,
			},
			map[string]any{
				"name": "r-lookup", "host": "pupu76.example", "pathPrefix": "/lookup/", "kind": "safe", "timeoutMs": 3000,
				"targetLatencyMs": 200, "priority": 1, "service": "cert-audit", "maxAttempts": 2,
			},
		},
	}); err != nil {
		return err
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, m := range d.fronts {
		for range lookupClients {
			clients.Go(func() { lookUp(r, m, stop) })
		}
	}
	time.Sleep(6 * time.Second)
	close(stop)
	clients.Wait()

	first := d.fronts[0]
	served := make(chan string, 1)
	set.setOnRun(func(run *run) {
		if frontOf(run.request) == "" {
			select {
			case served <- run.front:
			default:
			}
		}
	})
	refusedBefore := map[string]int{}
	for _, m := range d.fronts {
		if refusedBefore[m.name], err = m.refusedConnections(); err != nil {
			return err
		}
	}
	if hasTrouble {
		r.addAndPrint("%s is partitioned from all leafs: its connections are reset, new ones refused", first.name)
		for _, l := range set.all {
			l.refuse()
		}
		for _, c := range append(set.conns(first.name), set.conns("")...) {
			c.breakOff()
		}
		go lookUpOnce(r, first)
		time.Sleep(detectionTime)
	}
	answered := make(chan outcome, 1)
	go func() { answered <- order(r, first) }()
	second := ""
	if hasTrouble {
		select {
		case second = <-served:
		case <-time.After(3 * time.Second):
			return fmt.Errorf("no machine served the order for %s", first.name)
		}
		if second == "" || second == first.name {
			return fmt.Errorf("the order was sent by %q, not by another machine", second)
		}
		time.Sleep(secondCutDelay)
		cut := set.conns(second)
		r.addAndPrint("%s, which has sent the order to a leaf, is partitioned from all leafs: nothing passes on its %d connections, new ones are refused", second, len(cut))
		for _, c := range cut {
			c.startHang()
		}
		time.Sleep(orderWork - secondCutDelay)
		for _, l := range set.all {
			if err := l.listen(); err != nil {
				return err
			}
		}
		for _, c := range cut {
			c.breakOff()
		}
		r.addAndPrint("both partitions end, and the connections of %s that hung are reset", second)
	}
	o := <-answered
	runs := set.runsOf(o.id)
	r.addAndPrint("order %s: answered %d, error %v, after %.1f s, runs %d", o.id, o.status, o.err, o.endedAt.Sub(o.sentAt).Seconds(), len(runs))
	for _, run := range runs {
		r.addAndPrint("    run at leaf %s, sent by %s, from %.3f s", run.leaf, run.front, run.at.Sub(r.startedAt).Seconds())
	}
	for _, m := range d.fronts {
		refused, err := m.refusedConnections()
		if err != nil {
			return err
		}
		refused -= refusedBefore[m.name]
		r.addAndPrint("%s was refused %d connections to leafs", m.name, refused)
		if refused > 0 && m != first && m.name != second {
			return fmt.Errorf("%s, which is not partitioned, was refused a connection", m.name)
		}
	}
	if len(runs) > 1 {
		return fmt.Errorf("%w: TWICE: one unsafe request ran %d times", errBroken, len(runs))
	}
	return nil
}

// order sends one unsafe request on a connection of its own.
func order(r *record, m *machine) outcome {
	id := newRequestID("order:" + m.name)
	c, err := connect(m)
	if err != nil {
		return outcome{id: id, err: err, sentAt: time.Now(), endedAt: time.Now()}
	}
	defer c.close()
	return c.send(r, m, id, http.MethodPost, "/order/1", []byte("certificate 1\n"), orderLimit)
}

// lookUp sends safe requests to a machine on a kept connection until stop.
func lookUp(r *record, m *machine, stop <-chan struct{}) {
	var c *callerConn
	for {
		select {
		case <-stop:
			if c != nil {
				c.close()
			}
			return
		case <-time.After(lookupPause):
		}
		if c == nil {
			var err error
			if c, err = connect(m); err != nil {
				c = nil
				continue
			}
		}
		if o := c.send(r, m, newRequestID("b:"+m.name), http.MethodGet, "/lookup/1", nil, 3*time.Second); o.err != nil || o.closes {
			c.close()
			c = nil
		}
	}
}

// lookUpOnce sends one safe request to a machine.
func lookUpOnce(r *record, m *machine) {
	c, err := connect(m)
	if err != nil {
		r.add("cannot connect to %s", m.name)
		return
	}
	defer c.close()
	_ = c.send(r, m, newRequestID("b:"+m.name), http.MethodGet, "/lookup/1", nil, 3*time.Second)
}

// refusedConnections returns how many connections to leafs the machine has tried to open in vain, as its metrics state.
func (m *machine) refusedConnections() (int, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/metrics", m.ip, lastPort))
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(content), "\n") {
		if value, ok := strings.CutPrefix(line, "gatekeeper_connections_failed_total "); ok {
			return strconv.Atoi(value)
		}
	}
	return 0, fmt.Errorf("%s states no failed connections", m.name)
}
