package arbiter

import (
	"math"
	"time"
)

const (
	// minRankShare is the smallest chance of a lower rank in terms of that of the highest, so that no kind of request starves.
	minRankShare = 1.0 / 3
	// minRetryAfter prevents a busy loop.
	minRetryAfter = 50 * time.Millisecond
	// returnShare is the part of the time left after which a caller is asked back at the latest, so that it still has time for an answer.
	returnShare = 0.3
	// higherRankReturn scales the wait of the highest rank, which returns before the others.
	higherRankReturn = 0.5
)

type (
	// Query is what is known of a query when it arrives.
	Query struct {
		// Rank is the difference of its priority to the highest one that competes for the same leafs. 0 is the highest.
		Rank int
		// Usage is the part of its allowance that its tenant has used lately, or 0 without an allowance.
		Usage float64
		// Left is the time that the caller still waits.
		Left time.Duration
	}

	// Verdict is the decision on a query or a plain request. RetryAfter is when one that is turned away can be repeated.
	Verdict struct {
		IsAdmitted bool
		RetryAfter time.Duration
		// Chance is that of a query to be admitted.
		Chance float64
		// IsTooLate is set if a plain request is not expected to be served in the time left, and MaxWait is the longest wait with which it
		// is admitted.
		IsTooLate bool
		MaxWait   time.Duration
	}
)

// Judge decides on a query while the leafs have room for a share of all. The samples are uniform in [0,1).
func Judge(share float64, query Query, sample, spread float64) Verdict {
	if share >= 1 {
		return Verdict{IsAdmitted: true, Chance: 1}
	}
	chance := chanceOf(share, query)
	if sample < chance {
		return Verdict{IsAdmitted: true, Chance: chance}
	}
	return Verdict{Chance: chance, RetryAfter: returnTime(recoveryTime(share), query.Rank, query.Left, spread)}
}

// recoveryTime returns the time in which the share is expected to recover.
func recoveryTime(share float64) time.Duration {
	return time.Duration((1 - share) / recoveryPerSecond * float64(time.Second))
}

// returnTime returns when a caller is asked back that should wait for the given time. The highest rank returns earlier, and all while they
// have time left.
func returnTime(wait time.Duration, rank int, left time.Duration, spread float64) time.Duration {
	longest := float64(wait)
	if rank <= 0 {
		longest *= higherRankReturn
	}
	longest = min(longest, returnShare*float64(left)) * (1 + spread) / 2
	return max(minRetryAfter, time.Duration(longest))
}

// chanceOf returns the chance of a query. The share is a power of it that grows with the priority: what the highest rank keeps beyond the
// share, the others lose, and the share that the gatherers measure falls until both fit. A tenant that uses much of its allowance
// pays before one that uses little.
func chanceOf(share float64, query Query) float64 {
	highest := math.Sqrt(share)
	chance := highest
	if query.Rank > 0 {
		chance = max(minRankShare*highest, math.Pow(share, float64(min(query.Rank, 2))))
	}
	if query.Usage > 0 {
		chance *= math.Pow(share, min(1, query.Usage)/2)
	}
	return chance
}
