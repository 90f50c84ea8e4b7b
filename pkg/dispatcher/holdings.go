package dispatcher

import (
	"context"
	"time"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/peer"
	"lovagedeck/pkg/tabulator"
)

// ensureHoldings requests holdings from the owners until at least one leaf of each service has known holdings, and returns
// false if the deadline is near or ctx ends before that. If each service has known holdings but a shard has no known replica,
// it requests the missing holdings once and continues without them.
func (d *Dispatcher) ensureHoldings(ctx context.Context, services []string, deadline time.Duration) bool {
	for range maxHoldingsRounds {
		isKnown := d.hasHoldings(services)
		leafsByOwner := d.leafsToQuery(services, isKnown)
		for owner, leafs := range leafsByOwner {
			if holdings, err := d.config.Transport.FetchHoldings(owner, leafs); err == nil {
				d.setHoldings(holdings)
			}
		}
		if isKnown || d.hasHoldings(services) {
			return true
		}
		if ctx.Err() != nil || d.config.Now()+holdingsRetryInterval >= deadline {
			return false
		}
		time.Sleep(holdingsRetryInterval)
	}
	return false
}

// leafsToQuery returns the leafs whose holdings must be requested, grouped by owner. If each service already has known
// holdings, it returns leafs only if a shard has no known replica, and at most once per missingHoldingsInterval.
func (d *Dispatcher) leafsToQuery(services []string, isKnown bool) map[tabulator.Member][]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	unknown := d.catalogue.LeafsWithoutHoldings(services)
	if len(unknown) == 0 || (isKnown && !d.shouldRequestMissing(services)) {
		return nil
	}
	leafsByOwner := map[tabulator.Member][]string{}
	for _, id := range unknown {
		record, _ := d.catalogue.Leaf(id)
		if owner, ok := d.ownerOf(record); ok {
			leafsByOwner[owner] = append(leafsByOwner[owner], string(id))
		}
	}
	return leafsByOwner
}

// shouldRequestMissing reports whether a shard of the services has no known replica and the last request for missing holdings
// is at least missingHoldingsInterval ago. It records the time of the new request.
func (d *Dispatcher) shouldRequestMissing(services []string) bool {
	now := d.config.Now()
	if now < d.holdingsRequestedAt+missingHoldingsInterval {
		return false
	}
	plan, ok := d.catalogue.PlanQuery(services, d.view)
	if ok && plan.IsComplete() {
		return false
	}
	d.holdingsRequestedAt = now
	return true
}

// hasHoldings reports whether each service has at least one leaf with known holdings.
func (d *Dispatcher) hasHoldings(services []string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, service := range services {
		if len(d.catalogue.LeafsWithoutHoldings([]string{service})) == len(d.catalogue.LeafsOf(service)) {
			return false
		}
	}
	return true
}

func (d *Dispatcher) setHoldings(holdings map[string][]peer.Holding) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, reported := range holdings {
		d.catalogue.SetHoldings(assigner.LeafID(id), toHoldings(reported))
	}
}
