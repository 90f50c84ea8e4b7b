package ticketer

import (
	"testing"

	"lovagedeck/pkg/tabulator"
)

func TestRequestRunsOncePerTicket(t *testing.T) {
	self := tabulator.MemberID{Instance: "entry-1", Incarnation: 0x5f3a}
	ticketer := New(self)
	ticket, err := ticketer.Grant(0)
	if err != nil {
		t.Fatal(err)
	}
	steps := []struct {
		name   string
		finish bool
		want   Phase
	}{
		{"first request", false, PhaseNew},
		{"resend while running", true, PhaseRunning},
		{"first resend after the end", false, PhaseDone},
		{"second resend after the end", false, PhaseDone},
	}
	for _, step := range steps {
		phase, outcome, err := ticketer.Begin(ticket, 1)
		if err != nil || phase != step.want {
			t.Fatalf("%s: got phase %d and error %v, want phase %d and no error", step.name, phase, err, step.want)
		}
		if phase == PhaseDone && string(outcome) != "outcome" {
			t.Fatalf("%s: got outcome %q, want %q", step.name, outcome, "outcome")
		}
		if step.finish {
			ticketer.Finish(ticket, []byte("outcome"))
		}
	}
	if phase, _, _ := ticketer.Begin(ticket, Lifetime); phase != PhaseExpired {
		t.Fatalf("at the end of the lifetime: got phase %d, want %d", phase, PhaseExpired)
	}
}

func TestBeginRejectsInvalidTickets(t *testing.T) {
	ticketer := New(tabulator.MemberID{Instance: "entry-1", Incarnation: 7})
	tests := []struct {
		name     string
		ticket   string
		wantsErr bool
	}{
		{"empty", "", true},
		{"no incarnation", "entry-1.x.1.1", true},
		{"no sequence", "entry-1.7.x.1", true},
		{"granted by another incarnation", "entry-1.8.1.1", true},
		{"granted by another instance", "entry-2.7.1.1", true},
		{"never granted", "entry-1.7.99.1", false},
	}
	for _, test := range tests {
		phase, _, err := ticketer.Begin(test.ticket, 0)
		if (err != nil) != test.wantsErr || phase != PhaseExpired {
			t.Errorf("%s: got phase %d and error %v, want phase %d and an error: %t", test.name, phase, err, PhaseExpired, test.wantsErr)
		}
	}
}
