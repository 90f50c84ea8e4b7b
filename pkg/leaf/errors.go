package leaf

import "fmt"

const (
	// StepConnect is opening or preparing the connection, before any byte is written.
	StepConnect Step = "connect"
	// StepSendCheck is the check just before the request is written.
	StepSendCheck Step = "gate"
	// StepWrite is writing the request.
	StepWrite Step = "write"
	// StepRead is reading the response.
	StepRead Step = "read"
	// StepDecode is decoding the response body.
	StepDecode Step = "decode"
	// StepCheck is comparing the response ID with the request ID.
	StepCheck Step = "check"
)

type (
	// Step is the step of an exchange that failed.
	Step string

	// Error is the failure of an exchange, with the address of the leaf and the step that failed.
	Error struct {
		step    Step
		address string
		timeout bool
		cause   error
	}
)

// Step returns the step that failed.
func (e *Error) Step() Step { return e.step }

// Timeout reports whether the exchange timed out.
func (e *Error) Timeout() bool { return e.timeout }

// NotSent reports whether it is certain that no byte of the request was sent.
func (e *Error) NotSent() bool { return e.step == StepConnect || e.step == StepSendCheck }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.cause }

func (e *Error) Error() string {
	return fmt.Sprintf("leaf %s: %s: %v", e.address, e.step, e.cause)
}
