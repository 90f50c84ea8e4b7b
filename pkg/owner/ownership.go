// The ownership of leafs follows the table and the membership. A leaf that is
// newly assigned to this instance is taken over from its previous owner, and a
// leaf that is assigned to another instance is released to it.

package owner

import (
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/peer"
	"lovagedeck/pkg/tabulator"
)

// reconcile starts and ends ownerships to match the assignment and the list of leafs; o.mu must be held.
func (o *Owner) reconcile() {
	for id, owned := range o.ownedLeafs {
		record, isListed := o.records[id]
		if isListed && o.owns(record) {
			owned.update(record, o.tableRow(record))
			continue
		}
		delete(o.ownedLeafs, id)
		o.unclaimedReleases[id] = unclaimedRelease{released: owned.prepareRelease(), endedAt: o.config.Now()}
		o.group.Go(func() { owned.endOwnership(peer.ReasonNotOwner) })
	}
	for id, record := range o.records {
		if o.ownedLeafs[id] != nil || !o.owns(record) || o.assignment.Epoch() <= o.releasedInEpoch[id] {
			continue
		}
		if row, ok := o.view.Row(tabulator.Key{Service: record.Service, DataCentre: record.DataCentre}); ok {
			o.acquire(record, row)
		}
	}
}

func (o *Owner) owns(record coordinator.LeafRecord) bool {
	if o.config.SplitInstances > 0 {
		return true
	}
	member, ok := o.assignment.Owner(assigner.NewLeaf(record.ID, record.DataCentre))
	return ok && member.ID() == o.config.Self
}

// tableRow returns the table row for the service and data centre of the leaf, or a zero row if there is none.
func (o *Owner) tableRow(record coordinator.LeafRecord) tabulator.Row {
	row, _ := o.view.AcceptsRequests(tabulator.Key{Service: record.Service, DataCentre: record.DataCentre})
	return row
}

func (o *Owner) acquire(record coordinator.LeafRecord, row tabulator.Row) {
	owned := newOwnedLeaf(o, record, row)
	delete(o.unclaimedReleases, record.ID)
	o.ownedLeafs[record.ID] = owned
	if o.config.SplitInstances > 0 {
		owned.open()
		return
	}
	previousOwner, ok := o.assignment.PreviousOwner(assigner.NewLeaf(record.ID, record.DataCentre), o.config.Self)
	epoch := o.assignment.Epoch()
	o.group.Go(func() { owned.requestRelease(previousOwner, ok, epoch) })
}

func (o *Owner) release(id assigner.LeafID, query peer.ReleaseQuery) peer.ReleasedLeaf {
	o.mu.Lock()
	owned := o.ownedLeafs[id]
	unclaimed, isUnclaimed := o.unclaimedReleases[id]
	delete(o.ownedLeafs, id)
	delete(o.unclaimedReleases, id)
	o.releasedInEpoch[id] = max(o.releasedInEpoch[id], query.Epoch)
	o.mu.Unlock()
	switch {
	case owned != nil:
		released := owned.prepareRelease()
		owned.endOwnership(peer.ReasonNotOwner)
		o.config.RecordEvent("leaf-released", string(id), "handed over to "+query.From.String())
		return released
	case isUnclaimed:
		o.config.RecordEvent("leaf-released", string(id), "handed over to "+query.From.String())
		return unclaimed.releaseAt(o.config.Now())
	}
	return peer.ReleasedLeaf{Leaf: string(id)}
}

// releaseAt returns the release with its remaining run time reduced by the time that has passed since the ownership ended.
func (u unclaimedRelease) releaseAt(now time.Duration) peer.ReleasedLeaf {
	released := u.released
	released.RunningUntil = max(0, released.RunningUntil-(now-u.endedAt))
	return released
}

// checkSendAllowed returns an error whose text is the refusal reason if no request may be sent to the leaf at present.
func (o *Owner) checkSendAllowed(record coordinator.LeafRecord) error {
	o.mu.RLock()
	defer o.mu.RUnlock()
	if !o.config.LeaseHeld(o.config.Now()) {
		return errors.New(peer.ReasonNoLease)
	}
	_, isAllowed := o.view.AcceptsRequests(tabulator.Key{Service: record.Service, DataCentre: record.DataCentre})
	current, isListed := o.records[record.ID]
	if !isAllowed || !isListed || current.IsDraining {
		return errors.New(peer.ReasonOutOfService)
	}
	return nil
}
