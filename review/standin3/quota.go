package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The bounds of tpr-dakar-grown.
const (
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20.0
)

// allowance is that of each tenant.
type allowance struct{ rate, burst float64 }

type (
	// quotaBook has the requests of each tenant that ran.
	quotaBook struct {
		stage *stage
		each  allowance
		mu    sync.Mutex
		sent  map[string]time.Time
		runs  map[string][]quotaRun
		// hasRun holds the requests that have run.
		hasRun map[string]bool
	}

	quotaRun struct{ sentAt, arrivedAt time.Time }
)

func newQuotaBook(s *stage, each allowance) *quotaBook {
	return &quotaBook{stage: s, each: each, sent: map[string]time.Time{}, runs: map[string][]quotaRun{}, hasRun: map[string]bool{}}
}

// onRun records a request that a leaf begins to work on.
func (b *quotaBook) onRun(l *leaf, r *http.Request) {
	id, tenant, now := r.Header.Get("X-Lovagedeck-Request-Id"), r.Header.Get("X-Lovagedeck-Tenant"), time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.hasRun[id] {
		// A request that runs once more is still one request.
		b.hasRun[id] = true
		b.runs[tenant] = append(b.runs[tenant], quotaRun{sentAt: b.sent[id], arrivedAt: now})
	}
	b.stage.record.noteAt(now, "leaf %s runs %s of %s", l.id, id, tenant)
}

func (b *quotaBook) onSend(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent[id] = time.Now()
}

// limit is the number of requests of a tenant that may be sent and run within one window.
func (a allowance) limit() float64 {
	return (a.rate*quotaWindow.Seconds()+a.burst)*(1+quotaOvershoot) + quotaSlack
}

// check returns the tenants of which more requests ran in some window than the rule allows.
func (b *quotaBook) check() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var broken []string
	for tenant, runs := range b.runs {
		most, from := 0, time.Time{}
		for _, first := range runs {
			count := 0
			for _, run := range runs {
				if !run.sentAt.Before(first.sentAt) && run.arrivedAt.Sub(first.sentAt) <= quotaWindow {
					count++
				}
			}
			if count > most {
				most, from = count, first.sentAt
			}
		}
		line := fmt.Sprintf("tenant %s: %d requests in the 5 s from %.3f s; allowed are %.0f", tenant, most, b.stage.record.at(from).Seconds(), b.each.limit())
		b.stage.record.note("%s", line)
		if float64(most) > b.each.limit() {
			broken = append(broken, "QUOTA: "+line)
		}
	}
	slices.Sort(broken)
	return broken
}

// quotaConfig returns a configuration with one plain route and the given tenants.
func quotaConfig(version uint64, tenants []string, each allowance) map[string]any {
	holders := make([]map[string]any, 0, len(tenants))
	for _, name := range tenants {
		holders = append(holders, map[string]any{"name": name, "apiKeys": []string{"key-of-" + name}, "priority": 1, "ratePerS": each.rate, "burst": each.burst})
	}
	config := plainConfig(version, "safe", "card")
	config["tenants"] = holders
	return config
}

// plainConfig returns a configuration with one plain route to a service.
func plainConfig(version uint64, kind, service string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-card", "host": routedHost, "pathPrefix": "/card/", "kind": kind, "timeoutMs": 15000, "targetLatencyMs": 800, "priority": 2,
			"service": service, "maxAttempts": 2,
		}},
		"services": []map[string]any{{
			"name": service, "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 0.0,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// press sends requests of a tenant to the entries in turn, at the given rate, until the time is over.
func (b *quotaBook) press(tenant string, entries []*process, clients map[*process]*http.Client, perSecond int, until time.Time, group *sync.WaitGroup) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i := 0; time.Now().Before(until); i++ {
		entry, id := entries[i%len(entries)], fmt.Sprintf("%s-%s-%d-%d", tenant, entry0(entries), until.UnixNano()%1000000, i)
		group.Go(func() {
			b.onSend(id)
			sentAt := time.Now()
			status, _ := send(clients[entry], entry, http.MethodGet, "/card/"+id, id, "key-of-"+tenant, 15*time.Second)
			b.stage.record.note("client: %s sent at %.3f to %s: %d", id, b.stage.record.at(sentAt).Seconds(), entry.name, status)
		})
		<-ticker.C
	}
}

func entry0(entries []*process) string { return entries[0].name }
