package retrier

// History is what is known of all attempts at a request. The zero value is that of a request that was never sent.
type History struct {
	used           int
	mayHaveArrived bool
}

// With returns the history with one more attempt.
func (h History) With(p Progress) History { return h.WithAttempts(p, 1) }

// WithAttempts returns the history with attempts of which the given number may have run, for each shard. At least one counts as
// used if p says that an upstream may have run the request.
func (h History) WithAttempts(p Progress, used int) History {
	h.mayHaveArrived = h.mayHaveArrived || p.MayHaveArrived()
	if p.MayHaveRun() {
		h.used += max(1, used)
	}
	return h
}

// Used returns the number of attempts, for each shard, that upstreams may have run.
func (h History) Used() int { return h.used }

// MayHaveRun reports whether an upstream may have run the request.
func (h History) MayHaveRun() bool { return h.used > 0 }

// MayHaveArrived reports whether an upstream may have received the request.
func (h History) MayHaveArrived() bool { return h.mayHaveArrived }

// Progress returns what is known of the request as a whole.
func (h History) Progress() Progress {
	switch {
	case h.MayHaveRun():
		return Unknown
	case h.mayHaveArrived:
		return Refused
	}
	return NotSent
}

// Allows reports whether the request may be sent once more.
func (h History) Allows(isIdempotent bool, maxAttempts int) bool {
	return h.used < maxAttempts && (isIdempotent || !h.MayHaveRun())
}
