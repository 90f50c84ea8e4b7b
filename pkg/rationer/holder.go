package rationer

import "time"

const (
	// maxAdvance is the most tokens that an instance asks for in advance.
	maxAdvance = 64
	// demandPeriod is the time over which the requests of a tenant are counted. What came in one of them is held for the next.
	demandPeriod = 500 * time.Millisecond
	// holdingRetention is how long the demand of a tenant is remembered.
	holdingRetention = 10 * time.Second
)

type (
	// Holder keeps the tokens that one instance has got in advance, and how often it asks. It is not safe for concurrent use.
	Holder struct {
		holdings  map[string]*holding
		cleanedAt time.Duration
	}

	holding struct {
		version   uint64
		tokens    int
		used      int
		expiresAt time.Duration
		// isRefilling is set from a demand for tokens until its answer or its end at refillUntil.
		isRefilling bool
		refillUntil time.Duration
		// requests counts those of the period that began at since, and before those of the previous period.
		since    time.Duration
		requests int
		before   int
	}
)

// NewHolder returns a Holder without tokens.
func NewHolder() *Holder { return &Holder{holdings: map[string]*holding{}} }

// Take counts a request of a tenant and uses a token for it, if one of this version of the allowance is held. If further tokens are
// needed, it makes the demand one for them, or adds them to that for the request.
func (h *Holder) Take(demand *Demand, now time.Duration) (isTaken, needsMore bool) {
	tenant, version := demand.Tenant, demand.Allowance.Version
	h.removeUnused(now)
	entry := h.holdings[tenant]
	if entry == nil {
		entry = &holding{since: now}
		h.holdings[tenant] = entry
	}
	entry.count(now)
	if isTaken = entry.tokens > 0 && entry.version == version && now < entry.expiresAt; isTaken {
		entry.tokens--
		entry.used++
	} else {
		entry.tokens = 0
	}
	isRefilling := entry.isRefilling && now < entry.refillUntil
	if entry.tokens > 0 || isTaken && isRefilling {
		return isTaken, false
	}
	demand.Used, demand.IsRefill, entry.used = entry.used, isTaken, 0
	if !isRefilling {
		demand.Advance = min(maxAdvance, max(1, entry.before-1))
		entry.isRefilling, entry.refillUntil = true, now+demandPeriod
	}
	return isTaken, true
}

// Held returns the number of tokens of a version of the allowance that are held for a tenant.
func (h *Holder) Held(tenant string, version uint64, now time.Duration) int {
	if entry := h.holdings[tenant]; entry != nil && entry.version == version && now < entry.expiresAt {
		return entry.tokens
	}
	return 0
}

// Put adds tokens that an instance handed out in advance to a request sent at sentAt.
func (h *Holder) Put(tenant string, version uint64, count int, sentAt, now time.Duration) {
	entry := h.holdings[tenant]
	if entry == nil {
		return
	}
	entry.isRefilling = false
	if count <= 0 {
		return
	}
	expiresAt := sentAt + AdvanceValidity
	switch {
	case entry.tokens == 0 || now >= entry.expiresAt || entry.version < version:
		entry.tokens, entry.version, entry.expiresAt = count, version, expiresAt
	case entry.version == version:
		entry.tokens, entry.expiresAt = entry.tokens+count, min(entry.expiresAt, expiresAt)
	}
}

func (e *holding) count(now time.Duration) {
	switch age := now - e.since; {
	case age >= 2*demandPeriod:
		e.since, e.before, e.requests = now, 0, 0
	case age >= demandPeriod:
		e.since, e.before, e.requests = e.since+demandPeriod, e.requests, 0
	}
	e.requests++
}

func (h *Holder) removeUnused(now time.Duration) {
	if now-h.cleanedAt < holdingRetention {
		return
	}
	h.cleanedAt = now
	for tenant, entry := range h.holdings {
		if now-entry.since > holdingRetention {
			delete(h.holdings, tenant)
		}
	}
}
