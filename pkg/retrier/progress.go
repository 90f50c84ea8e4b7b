package retrier

const (
	// Unknown means that an upstream may have run the request. Builds that state no progress are read as Unknown.
	Unknown Progress = iota
	// NotSent means that no byte of the request left the process, and none will.
	NotSent
	// Refused means that the upstream stated that it did not run the request.
	Refused
	// Sent means that the request is being sent or was sent, and has not ended.
	Sent
	// Ran means that the upstream answered the request and did not state that it had not run it.
	Ran
)

// Progress is what is known of one attempt at a request. Instances send it to each other, so that the numbers keep their meaning.
type Progress int

// MayHaveRun reports whether the upstream may have run the request, or may still run it.
func (p Progress) MayHaveRun() bool { return p != NotSent && p != Refused }

// MayHaveArrived reports whether the upstream may have received the request. It then counts for the retry budget.
func (p Progress) MayHaveArrived() bool { return p != NotSent }

// String returns the name of the progress for logs.
func (p Progress) String() string {
	switch p {
	case NotSent:
		return "not sent"
	case Refused:
		return "refused"
	case Sent:
		return "sent"
	case Ran:
		return "ran"
	}
	return "unknown"
}
