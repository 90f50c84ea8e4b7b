package main

import (
	"sync"
	"syscall"
	"time"
)

func init() { cases["12"] = quotaAfterRestart }

const (
	// cutTime is how long the responsible instance is partitioned from the control instances, and restartAfter the time from the begin of
	// the cut to the stop of another instance.
	cutTime      = 5500 * time.Millisecond
	restartAfter = 1600 * time.Millisecond
	restartPause = 500 * time.Millisecond
)

// quotaAfterRestart has all tenants send more than their allowances to all entry instances, while one of them is partitioned from the
// control instances and another one restarts.
func quotaAfterRestart(s *stage) ([]string, error) {
	c := newCut("front-1")
	defer c.close()
	b, tenants, entries, clients, err := startQuota(s, allowance{rate: 50, burst: 50}, c)
	if err != nil {
		return nil, err
	}
	var group sync.WaitGroup
	until := time.Now().Add(9 * time.Second)
	for _, tenant := range tenants {
		for _, p := range entries {
			group.Go(func() { b.press(tenant, []*process{p}, clients, 80, until, &group) })
		}
	}
	time.Sleep(time.Second)
	if s.troubled {
		s.record.note("front-1 is cut off from all control instances")
		c.isActive.Store(true)
		time.Sleep(restartAfter)
		entries[2].signal(syscall.SIGKILL)
		entries[2].await()
		time.Sleep(restartPause)
		if err := entries[2].start(false); err != nil {
			return nil, err
		}
		time.Sleep(cutTime - restartAfter - restartPause)
		c.isActive.Store(false)
		s.record.note("the cut is over")
	}
	group.Wait()
	return b.check(), nil
}
