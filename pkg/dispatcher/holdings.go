package dispatcher

import (
	"context"
	"time"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/fellow"
	"lovagedeck/pkg/tabulator"
)

// knowHoldings asks owners for holdings until each service has some or the deadline is near.
func (d *Dispatcher) knowHoldings(ctx context.Context, services []string, deadline time.Duration) bool {
	for range holdingsRounds {
		groups, known := d.missingHoldings(services)
		if len(groups) == 0 {
			return known
		}
		for owner, leafs := range groups {
			if holdings, err := d.config.Transport.FetchHoldings(owner, leafs); err == nil {
				d.learn(holdings)
			}
		}
		if d.anyHoldings(services) {
			return true
		}
		if ctx.Err() != nil || d.config.Now()+holdingsPause >= deadline {
			return false
		}
		time.Sleep(holdingsPause)
	}
	return false
}

// missingHoldings groups the leafs with unknown holdings by owner, where a service has none that is known.
func (d *Dispatcher) missingHoldings(services []string) (map[tabulator.Member][]string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	groups := map[tabulator.Member][]string{}
	known := true
	for _, service := range services {
		unknown := d.catalogue.Unknown([]string{service})
		if len(unknown) < len(d.catalogue.LeafsOf(service)) {
			continue
		}
		known = false
		for _, id := range unknown {
			record, _ := d.catalogue.Leaf(id)
			if owner, ok := d.owner(record); ok {
				groups[owner] = append(groups[owner], string(id))
			}
		}
	}
	return groups, known
}

func (d *Dispatcher) anyHoldings(services []string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, service := range services {
		if len(d.catalogue.Unknown([]string{service})) == len(d.catalogue.LeafsOf(service)) {
			return false
		}
	}
	return true
}

func (d *Dispatcher) learn(holdings map[string][]fellow.Holding) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, held := range holdings {
		d.catalogue.Learn(assigner.LeafID(id), toHoldings(held))
	}
}
