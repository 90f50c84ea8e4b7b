package limiter

import "time"

const (
	// MinPerSecond replaces lower rates, 0 among them: one request in 4 s finds out when the limit ends.
	MinPerSecond = 0.25
	// standbyShare is the share of the rate that the standby of an allocator hands out while some instances cannot reach
	// the allocator. Others still may, and both together must stay below one and a half times the rate.
	standbyShare = 0.15
	// takeoverPeriod is how long an instance that has become the allocator of a leaf hands out only takeoverShare of the rate,
	// because some instances still ask the former one.
	takeoverPeriod = 2 * time.Second
	takeoverShare  = 0.4
	// allocationRetention is how long the allocation of a leaf is kept without a request for it.
	allocationRetention = time.Minute
	// maxAllocations bounds the leafs that other instances may name, and maxNameBytes the length of their names together, which
	// leaves 64 bytes for each.
	maxAllocations = 1 << 16
	maxNameBytes   = 4 << 20
)

type (
	// Allocator hands out the permits for the leafs that one instance is responsible for. It is not safe for concurrent use.
	Allocator struct {
		leafs map[string]*allocation
		// nameBytes is the length of the names of the leafs together.
		nameBytes int
		cleanedAt time.Duration
	}

	// Demand is a request for one permit.
	Demand struct {
		Leaf string
		// Limit is what the demanding instance knows of the leaf.
		Limit Limit
		// MaxWait is how long the permit may take to become valid.
		MaxWait time.Duration
		// IsStandby is set if the demanding instance could not reach the allocator of the leaf.
		IsStandby bool
		// IsReport is set if the demanding instance needs no permit and only reports what the leaf has stated.
		IsReport bool
		// Instances is the number of instances among which the share of the standby is divided, because the demanding instance
		// could reach neither; 0 or 1 otherwise.
		Instances int
	}

	// Grant is the answer to a Demand.
	Grant struct {
		IsGranted bool
		// Wait is the time until the permit is valid, or without a permit the time until the next free slot.
		Wait time.Duration
		// Limit is what the allocator knows of the leaf.
		Limit Limit
	}

	allocation struct {
		limit   Limit
		regular *Pacer
		standby *Pacer
		since   time.Duration
		usedAt  time.Duration
	}
)

// NewAllocator returns an allocator that knows no leafs.
func NewAllocator() *Allocator { return &Allocator{leafs: map[string]*allocation{}} }

// Allocate answers a demand. Once the leaf has ended its limit, all demands are granted, and so are reports, which use no permit.
func (a *Allocator) Allocate(demand Demand, now time.Duration) Grant {
	a.removeUnused(now)
	entry := a.leafs[demand.Leaf]
	if entry == nil {
		if len(a.leafs) >= maxAllocations || a.nameBytes+len(demand.Leaf) > maxNameBytes {
			return Grant{Wait: allocationRetention, Limit: demand.Limit}
		}
		rate := max(MinPerSecond, demand.Limit.perSecond)
		entry = &allocation{limit: demand.Limit, regular: NewPacer(takeoverRate(rate), now), standby: NewPacer(demand.standbyRate(rate), now), since: now}
		a.leafs[demand.Leaf] = entry
		a.nameBytes += len(demand.Leaf)
	}
	entry.usedAt = now
	entry.limit.Apply(demand.Limit)
	if !entry.limit.isLimited || demand.IsReport {
		return Grant{IsGranted: true, Limit: entry.limit}
	}
	rate := max(MinPerSecond, entry.limit.perSecond)
	pacer := entry.regular
	switch {
	case demand.IsStandby:
		pacer, rate = entry.standby, demand.standbyRate(rate)
	case now-entry.since < takeoverPeriod:
		rate = takeoverRate(rate)
	}
	pacer.SetRate(rate)
	wait, ok := pacer.Reserve(demand.MaxWait, now)
	return Grant{IsGranted: ok, Wait: wait, Limit: entry.limit}
}

func takeoverRate(rate float64) float64 { return max(MinPerSecond, takeoverShare*rate) }

// standbyRate returns the part of the rate of a leaf that is handed out without its allocator.
func (d Demand) standbyRate(rate float64) float64 {
	return standbyShare * rate / float64(max(1, d.Instances))
}

// Observe records what another instance knows of a leaf that has an allocation.
func (a *Allocator) Observe(leaf string, limit Limit) {
	if entry := a.leafs[leaf]; entry != nil {
		entry.limit.Apply(limit)
	}
}

func (a *Allocator) removeUnused(now time.Duration) {
	if now-a.cleanedAt < allocationRetention {
		return
	}
	a.cleanedAt = now
	for leaf, entry := range a.leafs {
		if now-entry.usedAt > allocationRetention {
			delete(a.leafs, leaf)
			a.nameBytes -= len(leaf)
		}
	}
}
