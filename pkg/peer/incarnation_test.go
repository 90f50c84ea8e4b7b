package peer

import "testing"

// Guards against a changed text: a sender of another build compares it to detect that the receiver has restarted.
func TestWrongIncarnationText(t *testing.T) {
	if want := "wrong incarnation"; wrongIncarnation != want {
		t.Errorf("got %q, want %q", wrongIncarnation, want)
	}
}
