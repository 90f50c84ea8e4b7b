package dispatcher

import (
	"context"
	"time"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/fellow"
	"lovagedeck/pkg/tabulator"
)

// knowHoldings asks owners for holdings until each service has some or the deadline is near. Where some are known but a
// shard has no known replica, it asks once and goes on with what is known.
func (d *Dispatcher) knowHoldings(ctx context.Context, services []string, deadline time.Duration) bool {
	for range holdingsRounds {
		known := d.anyHoldings(services)
		groups := d.missingHoldings(services, known)
		for owner, leafs := range groups {
			if holdings, err := d.config.Transport.FetchHoldings(owner, leafs); err == nil {
				d.learn(holdings)
			}
		}
		if known || d.anyHoldings(services) {
			return true
		}
		if ctx.Err() != nil || d.config.Now()+holdingsPause >= deadline {
			return false
		}
		time.Sleep(holdingsPause)
	}
	return false
}

// missingHoldings groups the leafs with unknown holdings by owner. Where the services are known in part, it names some
// only when a shard lacks a known replica, and not more often than the pause allows.
func (d *Dispatcher) missingHoldings(services []string, known bool) map[tabulator.Member][]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	unknown := d.catalogue.LeafsWithoutHoldings(services)
	if len(unknown) == 0 || (known && !d.askForMore(services)) {
		return nil
	}
	groups := map[tabulator.Member][]string{}
	for _, id := range unknown {
		record, _ := d.catalogue.Leaf(id)
		if owner, ok := d.owner(record); ok {
			groups[owner] = append(groups[owner], string(id))
		}
	}
	return groups
}

// askForMore tells whether a shard of the services lacks a known replica and owners were not asked just now.
func (d *Dispatcher) askForMore(services []string) bool {
	now := d.config.Now()
	if now < d.askedAt+askPause {
		return false
	}
	plan, ok := d.catalogue.PlanQuery(services, d.view)
	if ok && plan.IsComplete() {
		return false
	}
	d.askedAt = now
	return true
}

func (d *Dispatcher) anyHoldings(services []string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, service := range services {
		if len(d.catalogue.LeafsWithoutHoldings([]string{service})) == len(d.catalogue.LeafsOf(service)) {
			return false
		}
	}
	return true
}

func (d *Dispatcher) learn(holdings map[string][]fellow.Holding) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, held := range holdings {
		d.catalogue.SetHoldings(assigner.LeafID(id), toHoldings(held))
	}
}
