package leaf

import "fmt"

const (
	// StepConnect is the opening of a connection.
	StepConnect Step = "connect"
	// StepGate is the check just before the request is written.
	StepGate Step = "gate"
	// StepWrite is the sending of the request.
	StepWrite Step = "write"
	// StepRead is the receipt of the response.
	StepRead Step = "read"
	// StepDecode is the decoding of the response.
	StepDecode Step = "decode"
	// StepCheck is the comparison of the response with the request.
	StepCheck Step = "check"
)

type (
	// Step is the part of an exchange at which an error arose.
	Step string

	// Error carries the step and the peer at which it arose.
	Error struct {
		step    Step
		peer    string
		timeout bool
		cause   error
	}
)

// Step returns the step at which the error arose.
func (e *Error) Step() Step { return e.step }

// Timeout tells whether the time ran out.
func (e *Error) Timeout() bool { return e.timeout }

// NotSent tells whether no byte of the request can have left.
func (e *Error) NotSent() bool { return e.step == StepConnect || e.step == StepGate }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

func (e *Error) Error() string {
	return fmt.Sprintf("leaf %s: %s: %v", e.peer, e.step, e.cause)
}
