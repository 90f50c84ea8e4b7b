package rationer

import "time"

// The shares of the tolerance. They add up to one, so that the sum over all instances stays within the bounds while one of each kind of
// failure lasts.
const (
	burstShare    = 3.0 / 8
	advanceShare  = 1.0 / 4
	takeoverShare = 1.0 / 8
	standbyShare  = 1.0 / 8
	aloneShare    = 1.0 / 8
	// aloneInstances is the share of the instances that may be cut off at the same time and still keep aloneShare together.
	aloneInstances = 1.0 / 32
)

type (
	// Bounds are the tolerance of a deployment: within any Window, the requests of a tenant may reach its limit times one plus
	// Overshoot, plus Slack requests.
	Bounds struct {
		Window    time.Duration
		Overshoot float64
		Slack     float64
	}

	// Allowance is what a routing document of the given version grants a tenant, in requests a second and requests. A rate of 0 means
	// no limit.
	Allowance struct {
		PerSecond float64
		Burst     float64
		Version   uint64
	}
)

// defaultWindow applies to deployments whose settings have none.
const defaultWindow = 5 * time.Second

func (b Bounds) withDefaults() Bounds {
	if b.Window <= 0 {
		b.Window = defaultWindow
	}
	return b
}

// IsLimited reports whether the tenant has a limit.
func (a Allowance) IsLimited() bool { return a.PerSecond > 0 }

// tolerance returns the number of requests that may exceed the limit within a window.
func (b Bounds) tolerance(a Allowance) float64 {
	return b.Overshoot*(a.PerSecond*b.Window.Seconds()+a.Burst) + b.Slack
}

// regular returns the rate and the capacity of the bucket at the responsible instance. It fills by the limit of a window in each window
// if the burst is small. A larger one is kept in the bucket, so that it may come at once.
func (b Bounds) regular(a Allowance) (perSecond, capacity float64) {
	spare := burstShare * b.tolerance(a)
	return a.PerSecond + min(a.Burst, spare)/b.Window.Seconds(), max(1, a.Burst, spare)
}

// standby returns the rate and the capacity of the bucket at the standby.
func (b Bounds) standby(a Allowance) (perSecond, capacity float64) {
	half := standbyShare * b.tolerance(a) / 2
	return min(a.PerSecond, half/b.Window.Seconds()), max(1, half)
}

// alone returns the rate and the capacity of the bucket of an instance that reaches no other, one of the given number of members. The
// capacity may be less than a token.
func (b Bounds) alone(a Allowance, members int) (perSecond, capacity float64) {
	half := aloneShare * b.tolerance(a) / 2 / max(1, aloneInstances*float64(members))
	return min(a.PerSecond, half/b.Window.Seconds()), half
}
