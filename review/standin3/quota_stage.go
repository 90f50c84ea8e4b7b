package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	quotaTenants = 3
	// settleTime is longer than the window of the allowances.
	settleTime = 8 * time.Second
)

// startQuota starts three control and three entry instances, and puts a configuration with tenants. The calls to control instances pass
// through the proxies of the cut, unless it is nil.
func startQuota(s *stage, each allowance, c *cut) (b *quotaBook, tenants []string, entries []*process, clients map[*process]*http.Client, err error) {
	b = newQuotaBook(s, each)
	for i := range 4 {
		if err = s.platform.addLeaf("card", string("abc"[i%3]), 6, 2*time.Millisecond, b.onRun); err != nil {
			return
		}
	}
	var controls []*process
	for i := range 3 {
		var p *process
		if p, err = s.addControl(i+1, string("abc"[i])); err != nil {
			return
		}
		if c != nil {
			if err = c.guard(p); err != nil {
				return
			}
		}
		controls = append(controls, p)
	}
	for i := range 3 {
		var p *process
		if p, err = s.addEntry(i+1, string("abc"[i])); err != nil {
			return
		}
		entries = append(entries, p)
	}
	for _, p := range s.processes {
		if err = p.start(true); err != nil {
			return
		}
	}
	for i := range quotaTenants {
		tenants = append(tenants, fmt.Sprint("tenant-", i+1))
	}
	if err = s.putConfig(controls, quotaConfig(1, tenants, each), readyTimeout); err != nil {
		return
	}
	if err = awaitReady(entries); err != nil {
		return
	}
	clients = map[*process]*http.Client{}
	for _, p := range entries {
		clients[p] = newClient(20 * time.Second)
	}
	time.Sleep(settleTime)
	return
}
