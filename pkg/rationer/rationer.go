package rationer

import (
	"slices"
	"time"
)

const (
	// AdvanceValidity is how long a token may be held by the instance that got it in advance. A caller that sends a request a second over
	// a kept connection mostly finds one.
	AdvanceValidity = 3 * time.Second
	// maxAccounts bounds the tenants that other instances may name, and maxNameBytes the length of their names together.
	maxAccounts  = 1 << 16
	maxNameBytes = 4 << 20
)

type (
	// Rationer decides on the requests of the tenants that one instance is responsible for. It is not safe for concurrent use.
	Rationer struct {
		bounds    Bounds
		accounts  map[string]*account
		nameBytes int
		// changedAt is when the members last changed, so that another instance may have decided before.
		changedAt time.Duration
		cleanedAt time.Duration
	}

	// Demand asks whether a request of a tenant may be sent.
	Demand struct {
		Tenant string
		// Allowance is what the asking instance knows of the allowance.
		Allowance Allowance
		// Advance is how many further tokens the asking instance could use soon.
		Advance int
		// Used is how many tokens handed out in advance the asking instance has used since its last demand.
		Used int
		// IsRefill is set if no request waits, and only tokens in advance are wanted.
		IsRefill bool
		// IsStandby is set if the asking instance could not reach the responsible one.
		IsStandby bool
		// Members is the number of instances if the asking instance reached neither that one nor its standby, else 0.
		Members int
		// Sample is uniform in [0,1). It decides whether an instance whose share is less than a token has one.
		Sample float64
	}

	// Grant is the answer to a Demand.
	Grant struct {
		IsGranted bool
		// Advance is the number of further tokens, valid for AdvanceValidity.
		Advance int
		// RetryAfter is the time until a token is expected if the request may not be sent.
		RetryAfter time.Duration
		// Allowance is the one that decided.
		Allowance Allowance
		// Usage is the part of the allowance that the tenant has used lately, from 0 to 1, or 0 if the decider does not know it.
		Usage float64
	}

	account struct {
		allowance Allowance
		regular   *bucket
		// standby and alone are nil until they are needed. members is the number of instances that alone was made for.
		standby *bucket
		alone   *bucket
		members int
		// advances are the tokens handed out in advance that may still be used.
		advances []advance
		usedAt   time.Duration
	}

	advance struct {
		count     int
		expiresAt time.Duration
	}
)

// New returns a Rationer of an instance that has just started.
func New(bounds Bounds, now time.Duration) *Rationer {
	return &Rationer{bounds: bounds.withDefaults(), accounts: map[string]*account{}, changedAt: now}
}

// OnMembersChanged records that another instance may have been responsible until now.
func (r *Rationer) OnMembersChanged(now time.Duration) { r.changedAt = now }

// SetAllowance applies the allowance of a tenant that has an account.
func (r *Rationer) SetAllowance(tenant string, allowance Allowance, now time.Duration) {
	if entry := r.accounts[tenant]; entry != nil {
		r.apply(entry, allowance, now)
	}
}

// Decide answers a demand.
func (r *Rationer) Decide(demand Demand, now time.Duration) Grant {
	r.removeUnused(now)
	entry := r.accounts[demand.Tenant]
	if entry == nil {
		if !demand.Allowance.IsLimited() {
			return Grant{IsGranted: true, Allowance: demand.Allowance}
		}
		if len(r.accounts) >= maxAccounts || r.nameBytes+len(demand.Tenant) > maxNameBytes {
			return Grant{RetryAfter: r.bounds.Window, Allowance: demand.Allowance}
		}
		entry = r.newAccount(demand.Allowance, now)
		r.accounts[demand.Tenant] = entry
		r.nameBytes += len(demand.Tenant)
	}
	r.apply(entry, demand.Allowance, now)
	entry.usedAt = now
	grant := Grant{Allowance: entry.allowance}
	if !entry.allowance.IsLimited() {
		grant.IsGranted = true
		return grant
	}
	from := r.bucketFor(entry, demand, now)
	if demand.IsRefill {
		if from == entry.regular {
			grant.Advance = r.advance(entry, demand, now)
		}
		grant.IsGranted = true
		return grant
	}
	if !from.take(1, now) {
		grant.RetryAfter = from.promise(r.bounds.Window, now)
		return grant
	}
	grant.IsGranted, grant.Usage = true, from.usage(now)
	if from == entry.regular {
		grant.Advance = r.advance(entry, demand, now)
	}
	return grant
}

// Level returns the number of tokens that a tenant has and the most that it can have, and false if the tenant has asked for none lately. It
// changes nothing.
func (r *Rationer) Level(tenant string, now time.Duration) (level, capacity float64, isKnown bool) {
	entry := r.accounts[tenant]
	if entry == nil {
		return 0, 0, false
	}
	regular := *entry.regular
	return regular.level(now), regular.capacity, true
}

// newAccount returns an account with a full bucket, unless another instance may have emptied its own within the window.
func (r *Rationer) newAccount(allowance Allowance, now time.Duration) *account {
	perSecond, capacity := r.bounds.regular(allowance)
	level, settled := capacity, now-r.changedAt
	if settled < r.bounds.Window {
		level = max(1, min(capacity, takeoverShare*r.bounds.tolerance(allowance)+perSecond*settled.Seconds()))
	}
	return &account{allowance: allowance, regular: newBucket(perSecond, capacity, level, now)}
}

// apply takes over an allowance of a newer version.
func (r *Rationer) apply(entry *account, allowance Allowance, now time.Duration) {
	if allowance.Version <= entry.allowance.Version {
		return
	}
	isSame := allowance.PerSecond == entry.allowance.PerSecond && allowance.Burst == entry.allowance.Burst
	entry.allowance = allowance
	if isSame || !allowance.IsLimited() {
		return
	}
	perSecond, capacity := r.bounds.regular(allowance)
	entry.regular.setRate(perSecond, capacity, now)
	if entry.standby != nil {
		perSecond, capacity = r.bounds.standby(allowance)
		entry.standby.setRate(perSecond, capacity, now)
	}
	entry.alone = nil
}

// bucketFor returns the bucket that decides on a demand.
func (r *Rationer) bucketFor(entry *account, demand Demand, now time.Duration) *bucket {
	switch {
	case demand.Members > 0:
		if entry.alone == nil || entry.members != demand.Members {
			perSecond, capacity := r.bounds.alone(entry.allowance, demand.Members)
			level := capacity
			if capacity < 1 {
				level = 0
				if demand.Sample < capacity {
					level = 1
				}
			}
			entry.alone, entry.members = newBucket(perSecond, max(1, capacity), level, now), demand.Members
		}
		return entry.alone
	case demand.IsStandby:
		if entry.standby == nil {
			perSecond, capacity := r.bounds.standby(entry.allowance)
			entry.standby = newBucket(perSecond, capacity, capacity, now)
		}
		return entry.standby
	}
	return entry.regular
}

// advance takes up to the wanted number of further tokens. The lower half of the bucket is kept for requests that come now.
func (r *Rationer) advance(entry *account, demand Demand, now time.Duration) int {
	outstanding, used := 0, demand.Used
	for i := range entry.advances {
		a := &entry.advances[i]
		isUsed := min(used, a.count)
		a.count, used = a.count-isUsed, used-isUsed
		if now < a.expiresAt {
			outstanding += a.count
		}
	}
	entry.advances = slices.DeleteFunc(entry.advances, func(a advance) bool { return a.count == 0 || now >= a.expiresAt })
	spare := entry.regular.level(now) - entry.regular.capacity/2
	most := min(spare, advanceShare*r.bounds.tolerance(entry.allowance)-float64(outstanding))
	count := min(demand.Advance, int(max(0, most)))
	if count <= 0 || !entry.regular.take(float64(count), now) {
		return 0
	}
	entry.advances = append(entry.advances, advance{count: count, expiresAt: now + AdvanceValidity})
	return count
}

// removeUnused drops the accounts that a new one would not differ from.
func (r *Rationer) removeUnused(now time.Duration) {
	if now-r.cleanedAt < r.bounds.Window {
		return
	}
	r.cleanedAt = now
	for tenant, entry := range r.accounts {
		isFull := entry.regular.level(now) >= entry.regular.capacity
		if now-entry.usedAt > r.bounds.Window && (isFull || !entry.allowance.IsLimited()) {
			delete(r.accounts, tenant)
			r.nameBytes -= len(tenant)
		}
	}
}
