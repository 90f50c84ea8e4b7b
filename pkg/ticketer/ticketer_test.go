package ticketer

import (
	"testing"

	"lovagedeck/pkg/tabulator"
)

func TestOneRunPerTicket(t *testing.T) {
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
	}{{"first send", false, PhaseFirst}, {"resend while it runs", true, PhaseRunning}, {"resend after its end", false, PhaseDone}, {"again", false, PhaseDone}}
	for _, step := range steps {
		phase, outcome, err := ticketer.Begin(ticket, 1)
		if err != nil || phase != step.want {
			t.Fatalf("%s: phase %d, %v; want %d", step.name, phase, err, step.want)
		}
		if phase == PhaseDone && string(outcome) != "outcome" {
			t.Fatalf("%s: outcome %q", step.name, outcome)
		}
		if step.finish {
			ticketer.Finish(ticket, []byte("outcome"))
		}
	}
	if phase, _, _ := ticketer.Begin(ticket, Lifetime); phase != PhaseExpired {
		t.Fatalf("phase %d after the lifetime", phase)
	}
}

func TestBadTickets(t *testing.T) {
	ticketer := New(tabulator.MemberID{Instance: "entry-1", Incarnation: 7})
	tests := []struct {
		name   string
		ticket string
		err    bool
	}{
		{"empty", "", true},
		{"no incarnation", "entry-1.x.1.1", true},
		{"no sequence", "entry-1.7.x.1", true},
		{"of another incarnation", "entry-1.8.1.1", true},
		{"of another instance", "entry-2.7.1.1", true},
		{"never granted", "entry-1.7.99.1", false},
	}
	for _, test := range tests {
		phase, _, err := ticketer.Begin(test.ticket, 0)
		if (err != nil) != test.err || phase != PhaseExpired {
			t.Errorf("%s: phase %d, %v", test.name, phase, err)
		}
	}
}
