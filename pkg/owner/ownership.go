// Ownership follows the table and the membership: leafs are taken over from
// their former owner, and handed over to the next one.

package owner

import (
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/fellow"
	"lovagedeck/pkg/tabulator"
)

// reconcile starts and ends ownerships so that they follow the assignment; o.mu is held.
func (o *Owner) reconcile() {
	for id, owned := range o.leafs {
		record, known := o.roster[id]
		if known && o.owns(record) {
			owned.update(record, o.row(record))
			continue
		}
		delete(o.leafs, id)
		o.ceded[id] = cededLeaf{released: owned.endOwnership(), at: o.config.Now()}
		o.group.Go(func() { owned.retire(fellow.ReasonNotOwner) })
	}
	for id, record := range o.roster {
		if o.leafs[id] != nil || !o.owns(record) || o.assignment.Epoch() <= o.releasedAt[id] {
			continue
		}
		if row, ok := o.view.Row(tabulator.Key{Service: record.Service, DataCentre: record.DataCentre}); ok {
			o.acquire(record, row)
		}
	}
}

func (o *Owner) owns(record coordinator.LeafRecord) bool {
	if o.config.SplitOver > 0 {
		return true
	}
	member, ok := o.assignment.Owner(assigner.NewLeaf(record.ID, record.DataCentre))
	return ok && member.ID() == o.config.Self
}

func (o *Owner) row(record coordinator.LeafRecord) tabulator.Row {
	row, _ := o.view.AcceptsRequests(tabulator.Key{Service: record.Service, DataCentre: record.DataCentre})
	return row
}

func (o *Owner) acquire(record coordinator.LeafRecord, row tabulator.Row) {
	owned := newOwnedLeaf(o, record, row)
	delete(o.ceded, record.ID)
	o.leafs[record.ID] = owned
	if o.config.SplitOver > 0 {
		owned.open()
		return
	}
	former, ok := o.assignment.Former(assigner.NewLeaf(record.ID, record.DataCentre), o.config.Self)
	epoch := o.assignment.Epoch()
	o.group.Go(func() { owned.seekRelease(former, ok, epoch) })
}

func (o *Owner) release(id assigner.LeafID, query fellow.ReleaseQuery) fellow.Released {
	o.mu.Lock()
	owned := o.leafs[id]
	ceded, wasCeded := o.ceded[id]
	delete(o.leafs, id)
	delete(o.ceded, id)
	o.releasedAt[id] = max(o.releasedAt[id], query.Epoch)
	o.mu.Unlock()
	switch {
	case owned != nil:
		released := owned.endOwnership()
		owned.retire(fellow.ReasonNotOwner)
		o.config.Note("leaf-released", string(id), "handed over to "+query.From.String())
		return released
	case wasCeded:
		o.config.Note("leaf-released", string(id), "handed over to "+query.From.String())
		return ceded.remaining(o.config.Now())
	}
	return fellow.Released{Leaf: string(id)}
}

// remaining returns what is handed over once some time has passed since the ownership ended.
func (c cededLeaf) remaining(now time.Duration) fellow.Released {
	released := c.released
	released.RunningUntil = max(0, released.RunningUntil-(now-c.at))
	return released
}

func (o *Owner) takesWork(record coordinator.LeafRecord) error {
	o.mu.RLock()
	defer o.mu.RUnlock()
	if !o.config.LeaseHeld(o.config.Now()) {
		return errors.New(fellow.ReasonNoLease)
	}
	_, takes := o.view.AcceptsRequests(tabulator.Key{Service: record.Service, DataCentre: record.DataCentre})
	current, listed := o.roster[record.ID]
	if !takes || !listed || current.IsDraining {
		return errors.New(fellow.ReasonTakenOut)
	}
	return nil
}
