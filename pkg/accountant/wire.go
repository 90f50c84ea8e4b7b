// A call has the demands that gathered while the previous call to the same
// instance was in progress:
//
//	Ration {Demands:[{Tenant:"ralo620" Version:7 PerSecond:19 Burst:19 Advance:2}]}
//	       {Grants:[{IsGranted:true Advance:2 Version:7 PerSecond:19 Burst:19}]}

package accountant

import (
	"math"
	"slices"
	"time"

	"lovagedeck/pkg/rationer"
)

type (
	// RationQuery asks whether requests may be sent.
	RationQuery struct {
		Demands []DemandFields
		// IsStandby is set if the instance responsible for the tenants could not be reached.
		IsStandby bool
	}

	// DemandFields is one demand, with the allowance in the routing document of the sender.
	DemandFields struct {
		Tenant    string
		Version   uint64
		PerSecond float64
		Burst     float64
		// Advance is how many further tokens the sender could use soon.
		Advance int
		// Used is how many tokens that it had got in advance the sender has used since its last demand.
		Used int
		// IsRefill is set if no request waits, and only tokens in advance are wanted.
		IsRefill bool
	}

	// RationReply has a grant for each demand, in the same order.
	RationReply struct {
		Grants []GrantFields
	}

	// GrantFields is the answer to one demand, with the allowance that decided.
	GrantFields struct {
		IsGranted  bool
		Advance    int
		RetryAfter time.Duration
		Version    uint64
		PerSecond  float64
		Burst      float64
		Usage      float64
	}
)

func toDemandFields(d rationer.Demand) DemandFields {
	return DemandFields{Tenant: d.Tenant, Version: d.Allowance.Version, PerSecond: d.Allowance.PerSecond, Burst: d.Allowance.Burst, Advance: d.Advance, Used: d.Used, IsRefill: d.IsRefill}
}

func (f DemandFields) toDemand(isStandby bool) rationer.Demand {
	return rationer.Demand{
		Tenant: f.Tenant, Allowance: rationer.Allowance{PerSecond: f.PerSecond, Burst: f.Burst, Version: f.Version}, Advance: f.Advance, Used: f.Used, IsRefill: f.IsRefill, IsStandby: isStandby,
	}
}

// isValid reports whether the demand has usable numbers.
func (f DemandFields) isValid() bool {
	return isCount(f.PerSecond) && isCount(f.Burst) && f.Advance >= 0 && f.Used >= 0
}

func isCount(value float64) bool { return value >= 0 && !math.IsInf(value, 1) }

func toGrantFields(g rationer.Grant) GrantFields {
	return GrantFields{
		IsGranted: g.IsGranted, Advance: g.Advance, RetryAfter: g.RetryAfter,
		Version: g.Allowance.Version, PerSecond: g.Allowance.PerSecond, Burst: g.Allowance.Burst, Usage: g.Usage,
	}
}

func (f GrantFields) toGrant() rationer.Grant {
	return rationer.Grant{
		IsGranted: f.IsGranted, Advance: max(0, f.Advance), RetryAfter: max(0, f.RetryAfter),
		Allowance: rationer.Allowance{PerSecond: f.PerSecond, Burst: f.Burst, Version: f.Version},
		Usage:     max(0, min(1, f.Usage)),
	}
}

// isValid reports whether the reply answers the given number of demands with usable numbers.
func (r RationReply) isValid(demands int) bool {
	return len(r.Grants) == demands && !slices.ContainsFunc(r.Grants, func(f GrantFields) bool { return !isCount(f.PerSecond) || !isCount(f.Burst) || !isCount(f.Usage) })
}
