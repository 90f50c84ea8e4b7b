package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["12"] = quotaAfterLoss }

const (
	quotaTenants = 3
	// settleTime is longer than the window of the allowances.
	settleTime = 8 * time.Second
	darkTime   = 3500 * time.Millisecond
)

// startQuota starts three control and three entry instances, and puts a configuration with tenants.
func startQuota(s *stage) (b *quotaBook, tenants []string, entries []*process, clients map[*process]*http.Client, err error) {
	b = newQuotaBook(s)
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
	if err = s.putConfig(controls, quotaConfig(1, tenants), readyTimeout); err != nil {
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

// quotaAfterLoss has all tenants send more than their allowances to two entry instances, while the third one loses power.
func quotaAfterLoss(s *stage) ([]string, error) {
	b, tenants, entries, clients, err := startQuota(s)
	if err != nil {
		return nil, err
	}
	var group sync.WaitGroup
	until := time.Now().Add(7 * time.Second)
	for _, tenant := range tenants {
		group.Go(func() { b.press(tenant, entries[1:], clients, 150, until, &group) })
	}
	time.Sleep(1200 * time.Millisecond)
	if s.troubled {
		entries[0].signal(syscall.SIGKILL)
		entries[0].await()
		time.Sleep(darkTime)
		if err := entries[0].start(false); err != nil {
			return nil, err
		}
	}
	group.Wait()
	return b.check(), nil
}
