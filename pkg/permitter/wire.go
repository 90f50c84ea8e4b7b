// A call has the demands that gathered while the previous call to the same
// instance was in progress:
//
//	Reserve {Demands:[{Leaf:"i-7f3a" PerSecond:12.5 Age:40ms MaxWait:50ms}]}
//	        {Grants:[{IsGranted:true Wait:12ms IsLimited:true PerSecond:12.5 Age:38ms}]}

package permitter

import (
	"slices"
	"time"

	"lovagedeck/pkg/limiter"
)

type (
	// ReserveQuery asks for permits.
	ReserveQuery struct {
		Demands []DemandFields
		// IsStandby is set if the instance responsible for the leafs could not be reached.
		IsStandby bool
	}

	// DemandFields is one demand, with what the sender knows of the limit of the leaf.
	DemandFields struct {
		Leaf      string
		IsLimited bool
		// PerSecond is the rate in requests a second, Age the time since the leaf stated it.
		PerSecond float64
		Age       time.Duration
		MaxWait   time.Duration
		// IsReport is set if the sender only reports the limit and needs no permit.
		IsReport bool
	}

	// ReserveReply has a grant for each demand, in the same order.
	ReserveReply struct {
		Grants []GrantFields
	}

	// GrantFields is the answer to one demand, with what the receiver knows of the limit of the leaf.
	GrantFields struct {
		IsGranted bool
		Wait      time.Duration
		IsLimited bool
		PerSecond float64
		Age       time.Duration
	}
)

func toDemandFields(demand limiter.Demand, now time.Duration) DemandFields {
	return DemandFields{
		Leaf: demand.Leaf, IsLimited: demand.Limit.IsLimited(), PerSecond: demand.Limit.PerSecond(), Age: now - demand.Limit.SeenAt(),
		MaxWait: demand.MaxWait, IsReport: demand.IsReport,
	}
}

func (f DemandFields) toDemand(isStandby bool, now time.Duration) limiter.Demand {
	return limiter.Demand{Leaf: f.Leaf, Limit: limiter.NewLimit(f.IsLimited, f.PerSecond, now-max(0, f.Age)), MaxWait: f.MaxWait, IsStandby: isStandby, IsReport: f.IsReport}
}

func toGrantFields(grant limiter.Grant, now time.Duration) GrantFields {
	return GrantFields{
		IsGranted: grant.IsGranted, Wait: grant.Wait, IsLimited: grant.Limit.IsLimited(), PerSecond: grant.Limit.PerSecond(),
		Age: now - grant.Limit.SeenAt(),
	}
}

// isValid reports whether the reply answers the given number of demands with usable rates.
func (r ReserveReply) isValid(demands int) bool {
	return len(r.Grants) == demands && !slices.ContainsFunc(r.Grants, func(f GrantFields) bool { return !limiter.IsValidRate(f.PerSecond) })
}

func (f GrantFields) toGrant(now time.Duration) limiter.Grant {
	return limiter.Grant{IsGranted: f.IsGranted, Wait: max(0, f.Wait), Limit: limiter.NewLimit(f.IsLimited, f.PerSecond, now-max(0, f.Age))}
}
