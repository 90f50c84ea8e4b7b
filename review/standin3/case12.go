package main

import (
	"sync"
	"syscall"
	"time"
)

func init() { cases["12"] = quotaAfterLoss }

// darkTime is how long the entry instance has no power.
const darkTime = 3500 * time.Millisecond

// quotaAfterLoss has all tenants send more than their allowances to two entry instances, while the third one loses power.
func quotaAfterLoss(s *stage) ([]string, error) {
	b, tenants, entries, clients, err := startQuota(s, allowance{rate: 10, burst: 150}, nil)
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
