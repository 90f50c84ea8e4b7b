package promoter

type (
	// Tally counts the answers that the leafs of one version gave to the requests of one route.
	Tally struct {
		// Answers counts all attempts that ended with an answer or a failure of the leaf.
		Answers uint64
		// Failures counts the answers that are failures, broken or missing.
		Failures uint64
		// Slow counts the successes that took several times as long as is usual on the old version.
		Slow uint64
	}

	// RouteEvidence compares the two versions on one route.
	RouteEvidence struct {
		Route string
		Old   Tally
		New   Tally
	}

	// Evidence is what one instance has seen of a roll-out since it learned of it. The counts only grow, so that reports may be
	// lost and repeated.
	Evidence struct {
		Service string
		// Order is the revision at which the roll-out was ordered.
		Order uint64
		// Sent and SentNew count the requests that were sent to the service and to its new version, extra attempts included.
		Sent    uint64
		SentNew uint64
		// OldInProgress is the number of requests in progress at leafs of other versions than the new one.
		OldInProgress int
		Routes        []RouteEvidence
	}
)

// Add returns the sum of two tallies.
func (t Tally) Add(other Tally) Tally {
	return Tally{Answers: t.Answers + other.Answers, Failures: t.Failures + other.Failures, Slow: t.Slow + other.Slow}
}

// failureShare returns the share of the answers that are failures, 0 without answers.
func (t Tally) failureShare() float64 {
	return float64(t.Failures) / float64(max(1, t.Answers))
}

// add returns the sum of the tallies.
func (r RouteEvidence) add(other RouteEvidence) RouteEvidence {
	return RouteEvidence{Route: r.Route, Old: r.Old.Add(other.Old), New: r.New.Add(other.New)}
}
