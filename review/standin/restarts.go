package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// The machines are restarted in turn, one each restartGap.
	restartGap = time.Second
	// longAfter is the time after SIGTERM from which a request that is cut off counts, even if its leaf is at work in the last sixth
	// of the grace period.
	longAfter = 3 * time.Second
	// checkClients is the number of clients in each of two zones. A client opens a new connection for each request.
	checkClients = 24
	checkLimit   = 15 * time.Second
	// checkWork, checkSpread and maxCheckWork are those of cert-check.
	checkWork    = 220 * time.Millisecond
	checkSpread  = 0.5
	maxCheckWork = 1300 * time.Millisecond
	// checkPause is the mean pause of a client between two requests. It makes about 38 requests a second.
	checkPause = 410 * time.Millisecond
	// maxRounds is how often all machines are restarted in turn, in a random order, unless the rule is broken before.
	maxRounds  = 4
	roundPause = 6 * time.Second
)

type (
	// stop is one SIGTERM of a front machine.
	stop struct {
		front string
		at    time.Time
	}

	// restartCase is the state of the case.
	restartCase struct {
		record   *record
		leafs    *leafs
		mu       sync.Mutex
		outcomes []outcome
		stops    []stop
	}
)

// runRestarts restarts all front machines in turn, 1 s apart, while the clients of two zones go on.
func runRestarts(r *record, hasTrouble bool) error {
	zones := []string{"inv-a", "inv-b", "inv-c"}
	d, err := newDeployment(r, zones, []string{"inv-a", "inv-a", "inv-a", "inv-b", "inv-b", "inv-b", "inv-c", "inv-c"})
	if err != nil {
		return err
	}
	defer d.close()
	set := newLeafs(r)
	work := func(*http.Request) time.Duration { return logNormal(checkWork, checkSpread, maxCheckWork) }
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
		"routes": []any{map[string]any{
			"name": "r-check", "host": "pupu76.example", "pathPrefix": "/check/", "kind": "safe", "timeoutMs": checkLimit.Milliseconds(),
			"targetLatencyMs": 800, "priority": 2, "service": "cert-audit", "maxAttempts": 2,
		}},
	}); err != nil {
		return err
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	stopping := make(chan struct{})
	b := newBalancer(r, d.fronts, stopping)
	time.Sleep(2 * time.Second)

	c := &restartCase{record: r, leafs: set}
	var clients sync.WaitGroup
	for i := range 2 * checkClients {
		clients.Go(func() { c.runClient(b, zones[i%2], i, stopping) })
	}
	time.Sleep(5 * time.Second)
	for round := 0; round < maxRounds && c.cutCount() == 0; round++ {
		if hasTrouble {
			c.restartAll(d)
		}
		time.Sleep(roundPause)
	}
	close(stopping)
	clients.Wait()
	c.reportCut()
	if cut := c.cutCount(); cut > 0 {
		return fmt.Errorf("%w: LOST: %d requests that had been passed on to a leaf were cut off by a planned stop", errBroken, cut)
	}
	return nil
}

// restartAll restarts all front machines in turn, in a random order.
func (c *restartCase) restartAll(d *deployment) {
	var restarts sync.WaitGroup
	for _, i := range rand.Perm(len(d.fronts)) {
		m := d.fronts[i]
		c.mu.Lock()
		c.stops = append(c.stops, stop{front: m.name, at: time.Now()})
		c.mu.Unlock()
		restarts.Go(func() {
			if err := d.restart(m); err != nil {
				c.record.addAndPrint("restart %s: %v", m.name, err)
			}
		})
		time.Sleep(restartGap)
	}
	restarts.Wait()
}

// runClient sends requests, each on a new connection, until stopping.
func (c *restartCase) runClient(b *balancer, zone string, client int, stopping <-chan struct{}) {
	for try := 0; ; try++ {
		select {
		case <-stopping:
			return
		case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(checkPause))):
		}
		m := b.choose(zone, client, try)
		conn, err := connect(m)
		if err != nil {
			c.record.add("client %d cannot connect to %s", client, m.name)
			continue
		}
		o := conn.send(c.record, m, newRequestID("check"), http.MethodGet, "/check/1", nil, checkLimit)
		conn.close()
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mu.Unlock()
	}
}

// stopBefore returns the last SIGTERM of the machine before the request was sent, if it counts for the request.
func (c *restartCase) stopBefore(o outcome) (stop, bool) {
	for i := len(c.stops) - 1; i >= 0; i-- {
		s := c.stops[i]
		if s.front == o.front && s.at.Before(o.sentAt) {
			return s, o.sentAt.Sub(s.at) > longAfter && o.sentAt.Sub(s.at) < graceS*time.Second
		}
	}
	return stop{}, false
}

// cut returns the requests that a planned stop cut off after they had been passed on to a leaf. Requests that were sent no later than
// 3 s after the SIGTERM, or whose time limit was reached, are left out.
func (c *restartCase) cut() map[stop][]outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := map[stop][]outcome{}
	for _, o := range c.outcomes {
		if o.err == nil || o.endedAt.Sub(o.sentAt) >= checkLimit || len(c.leafs.runsOf(o.id)) == 0 {
			continue
		}
		if s, counts := c.stopBefore(o); counts {
			found[s] = append(found[s], o)
		}
	}
	return found
}

func (c *restartCase) cutCount() int {
	count := 0
	for _, outcomes := range c.cut() {
		count += len(outcomes)
	}
	return count
}

func (c *restartCase) reportCut() {
	for s, outcomes := range c.cut() {
		for _, o := range outcomes {
			run := c.leafs.runsOf(o.id)[0]
			c.record.addAndPrint("request %s was sent to %s %.3f s after its SIGTERM, began to run at leaf %s at %.3f s, and its connection ended without an answer at %.3f s: %v",
				o.id, o.front, o.sentAt.Sub(s.at).Seconds(), run.leaf, run.at.Sub(s.at).Seconds(), o.endedAt.Sub(s.at).Seconds(), o.err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.addAndPrint("%d requests sent, %d stops", len(c.outcomes), len(c.stops))
}
