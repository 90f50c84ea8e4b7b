package linker

import "github.com/pkg/errors"

// RecoverAs turns a panic into the error of a call. Receivers defer it in methods whose failure must not end the process, since net/rpc
// does not recover from panics.
func RecoverAs(err *error) {
	if reason := recover(); reason != nil {
		*err = errors.Errorf("the call failed: %v", reason)
	}
}
