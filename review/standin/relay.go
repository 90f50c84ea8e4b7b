package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// cutDuration is how long a front machine is partitioned from all leafs.
	cutDuration = 12 * time.Second
	// keepAliveFailure is after how long the TCP keep-alive of the program ends a silent connection: it is set to probe after 5 s of
	// silence and to give up after three probes, 1 s apart. A loopback connection cannot lose packets, so the stand-in resets it then.
	keepAliveFailure = 8 * time.Second
	orderLimit       = 15 * time.Second
	orderWork        = 400 * time.Millisecond
	// secondCutDelay is how long an order has run when the machine that sent it is partitioned.
	secondCutDelay = 100 * time.Millisecond
	lookupWork     = 10 * time.Millisecond
	// lookupPause is the pause between the lookups of one client.
	lookupPause = 50 * time.Millisecond
	// lookupClients is the number of clients of each front machine that send lookups.
	lookupClients = 2
)

// runRelay partitions two of five front machines from all leafs for 12 s. A client sends an unsafe request to the first one, which has
// another machine serve it. That is the second one, which is partitioned while the leaf works on the request.
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
	defer func() { close(stop); clients.Wait() }()
	for _, m := range d.fronts {
		clients.Go(func() { lookUp(r, m, stop) })
	}
	time.Sleep(6 * time.Second)

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
	if hasTrouble {
		r.addAndPrint("%s is partitioned from all leafs: its connections are reset, new ones refused", first.name)
		for _, l := range set.all {
			l.refuse()
		}
		for _, c := range append(set.conns(first.name), set.conns("")...) {
			c.breakOff()
		}
		time.AfterFunc(cutDuration, func() {
			r.addAndPrint("the partitions end")
			for _, l := range set.all {
				if err := l.listen(); err != nil {
					r.addAndPrint("leaf %s: %v", l.id, err)
				}
			}
		})
		time.Sleep(time.Second)
	}
	answered := make(chan outcome, 1)
	go func() { answered <- order(r, first) }()
	if hasTrouble {
		var second string
		select {
		case second = <-served:
		case <-time.After(3 * time.Second):
			return fmt.Errorf("no machine served the order for %s", first.name)
		}
		if second == "" || second == first.name {
			return fmt.Errorf("the order was sent by %q, not by another machine", second)
		}
		time.Sleep(secondCutDelay)
		hung := set.conns(second)
		r.addAndPrint("%s, which has sent the order to a leaf, is partitioned from all leafs: its %d connections hang, new ones are refused", second, len(hung))
		for _, c := range hung {
			c.startHang()
		}
		time.AfterFunc(keepAliveFailure, func() {
			r.addAndPrint("the hanging connections of %s end, as TCP keep-alive has found them dead", second)
			for _, c := range hung {
				c.breakOff()
			}
		})
	}
	o := <-answered
	runs := set.runsOf(o.id)
	r.addAndPrint("order %s: answered %d, error %v, after %.1f s, runs %d", o.id, o.status, o.err, o.endedAt.Sub(o.sentAt).Seconds(), len(runs))
	for _, run := range runs {
		r.addAndPrint("    run at leaf %s, sent by %s, from %.3f s", run.leaf, run.front, run.at.Sub(r.startedAt).Seconds())
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

// lookUp sends safe requests to a machine on kept connections until stop.
func lookUp(r *record, m *machine, stop <-chan struct{}) {
	var clients sync.WaitGroup
	for range lookupClients {
		clients.Go(func() {
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
		})
	}
	clients.Wait()
}
