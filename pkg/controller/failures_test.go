package controller

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/journaler"
	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/replicator"
	"lovagedeck/pkg/tabulator"
)

// failure is something named in the brief; undo ends it where it lasts.
type failure struct {
	name string
	do   func(tier *testTier, client *Client)
	undo func(tier *testTier, client *Client)
}

func failures() []failure {
	var isolated string
	return []failure{
		{
			"leader killed",
			func(tier *testTier, _ *Client) { isolated = tier.leader(); tier.stop(isolated) },
			func(tier *testTier, _ *Client) {
				for _, name := range tier.names {
					if tier.nodes[name].server == nil {
						tier.start(name)
					}
				}
			},
		},
		{
			"leader silently isolated",
			func(tier *testTier, _ *Client) {
				tier.network.isolate(tier.leader(), true)
				time.Sleep(2 * time.Second)
			},
			func(tier *testTier, _ *Client) {
				for _, name := range tier.names {
					tier.network.isolate(name, false)
				}
			},
		},
		{
			"disk lost and repaired",
			func(tier *testTier, client *Client) {
				name := tier.other(tier.leader())
				lost := tier.nodes[name].journal.Identity().Node()
				tier.repair(client, tier.loseDisk(name), lost)
			},
			func(*testTier, *Client) {},
		},
		{
			"all restarted",
			func(tier *testTier, _ *Client) {
				for _, name := range tier.names {
					tier.stop(name)
				}
				for _, name := range tier.names {
					tier.start(name)
				}
			},
			func(*testTier, *Client) {},
		},
		{
			"operators race",
			func(tier *testTier, client *Client) {
				base := client.View().TableRevision()
				row, _ := client.View().Row(tabulator.Key{Service: "s", DataCentre: "d"})
				accepted := 0
				for i := range 2 {
					id := fmt.Sprintf("race-%d-%d", base, i)
					if tier.put(client, rowChange(id, row.Revision(), 30+i)).Verdict == tabulator.VerdictAccepted {
						accepted++
					}
				}
				if accepted > 1 {
					tier.t.Error("two changes that rest on the same revision were both accepted")
				}
			},
			func(*testTier, *Client) {},
		},
	}
}

// TestFailuresInPairs brings about each pair of failures around changes and looks for a lost, doubled or reverted one.
func TestFailuresInPairs(t *testing.T) {
	for i := range failures() {
		for k := range failures() {
			first, second := failures()[i], failures()[k]
			t.Run(first.name+", then "+second.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runPair(t, first, second) })
			})
		}
	}
}

func runPair(t *testing.T, first, second failure) {
	tier := newTestTier(t, 3)
	defer tier.close()
	tier.leader()
	client := tier.entry("entry-1")
	before := tier.put(client, rowChange("before", 0, 2))
	tier.until("the first change is in force", func() bool { return client.View().TableRevision() >= before.Revision })
	first.do(tier, client)
	between := tier.put(client, tabulator.SetDataCentre{ChangeID: "between", Name: "d2", State: tabulator.StateOut})
	if first.name != second.name {
		first.undo(tier, client)
	}
	tier.leader()
	second.do(tier, client)
	second.undo(tier, client)
	first.undo(tier, client)
	after := tier.put(client, tabulator.SetDataCentre{ChangeID: "after", Name: "d3", State: tabulator.StateOut})
	tier.until("all is in force", func() bool {
		return client.View().TableRevision() >= after.Revision && client.LeaseHeld(tier.now())
	})
	for id, want := range map[string]tabulator.Result{"before": before, "between": between, "after": after} {
		reply, err := client.Lookup(id)
		if err != nil || !reply.Known || reply.Result.Revision != want.Revision || reply.Result.Verdict != tabulator.VerdictAccepted {
			t.Errorf("change %s: %+v, %v; it was accepted at revision %d", id, reply, err, want.Revision)
		}
	}
	if again := tier.put(client, rowChange("before", 0, 2)); !again.Repeated || again.Revision != before.Revision {
		t.Errorf("the change sent again: %+v", again)
	}
	for _, name := range []string{"d2", "d3"} {
		if client.View().DataCentre(name).State != tabulator.StateOut {
			t.Errorf("data centre %s is in again", name)
		}
	}
}

func TestSecondInstanceLostRightAfterARepair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := newTestTier(t, 3)
		defer tier.close()
		client := tier.entry("entry-1")
		leader := tier.leader()
		for i := range 50 {
			tier.put(client, tabulator.SetDataCentre{ChangeID: fmt.Sprintf("c%d", i), Name: fmt.Sprintf("d%d", i), State: tabulator.StateOut})
		}
		lostFirst := tier.other(leader)
		old := tier.nodes[lostFirst].journal.Identity().Node()
		tier.repair(client, tier.loseDisk(lostFirst), old)
		tier.stop(leader)
		history, err := client.History()
		for err != nil {
			history, err = client.History()
		}
		if len(history.Entries) != 50 {
			t.Fatalf("%d of 50 changes are left", len(history.Entries))
		}
	})
}

func TestIsolatedControlInstanceKeepsNobodyOnAnOldTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := newTestTier(t, 3)
		defer tier.close()
		leader := tier.leader()
		captive := tier.entry("entry-1", leader)
		free := tier.entry("entry-2", tier.other(leader))
		tier.until("both hold a lease", func() bool { return captive.LeaseHeld(tier.now()) && free.LeaseHeld(tier.now()) })
		tier.network.isolate(leader, true)
		change := tier.put(free, tabulator.SetDataCentre{ChangeID: "out", Name: "d", State: tabulator.StateOut})
		accepted := tier.now()
		for tier.now() < accepted+time.Hour {
			if captive.LeaseHeld(tier.now()) && captive.View().TableRevision() < change.Revision && tier.now() > accepted+assigner.LeaseLength {
				t.Fatalf("an instance acts on an old table %s after the change", tier.now()-accepted)
			}
			time.Sleep(time.Minute)
		}
		tier.network.isolate(leader, false)
		tier.until("the isolated instance's sessions are fresh again", func() bool {
			return captive.LeaseHeld(tier.now()) && captive.View().TableRevision() >= change.Revision
		})
	})
}

func TestInForceIsSaidOnlyWhenItIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := newTestTier(t, 3)
		defer tier.close()
		leader := tier.leader()
		entries := []*Client{tier.entry("entry-1"), tier.entry("entry-2"), tier.entry("entry-3")}
		tier.until("all hold a lease", func() bool {
			for _, e := range entries {
				if !e.LeaseHeld(tier.now()) {
					return false
				}
			}
			return true
		})
		tier.network.isolate("entry-3", true)
		begun := tier.now()
		change := tier.put(entries[0], tabulator.SetDataCentre{ChangeID: "out", Name: "d", State: tabulator.StateOut})
		tier.until("the change is in force everywhere", func() bool {
			reply, err := entries[0].InForce(change.Revision)
			if err != nil || !reply.Everywhere {
				return false
			}
			for i, e := range entries {
				if e.LeaseHeld(tier.now()) && e.View().TableRevision() < change.Revision {
					t.Fatalf("entry-%d acts on the old table", i+1)
				}
			}
			return true
		})
		if took := tier.now() - begun; took > 3*time.Second {
			t.Errorf("in force after %s", took)
		}
		_ = leader
	})
}

func TestMemberWithoutRenewalsIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := newTestTier(t, 3)
		defer tier.close()
		tier.leader()
		watching, leaving := tier.entry("entry-1"), tier.entry("entry-2")
		tier.until("both are members", func() bool { return len(watching.View().Members()) == 2 })
		tier.network.isolate("entry-2", true)
		tier.until("the silent one is removed", func() bool { return len(watching.View().Members()) == 1 })
		if leaving.LeaseHeld(tier.now()) {
			t.Error("a member was removed while its lease was held")
		}
		tier.network.isolate("entry-2", false)
		tier.until("it joins again", func() bool { return len(watching.View().Members()) == 2 })
	})
}

func TestLeavingMemberIsGoneAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := newTestTier(t, 3)
		defer tier.close()
		tier.leader()
		watching, leaving := tier.entry("entry-1"), tier.entry("entry-2")
		tier.until("both are members", func() bool { return len(watching.View().Members()) == 2 })
		leaving.Leave()
		if leaving.LeaseHeld(tier.now()) {
			t.Error("the lease is held after the leave")
		}
		tier.until("it is removed", func() bool { return len(watching.View().Members()) == 1 })
	})
}

func TestEntriesMoveFromALostControlInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := newTestTier(t, 3)
		defer tier.close()
		leader := tier.leader()
		entry := tier.entry("entry-1")
		tier.until("it holds a lease", func() bool { return entry.LeaseHeld(tier.now()) })
		tier.stop(leader)
		tier.until("it holds a lease through another one", func() bool {
			members := entry.View().Members()
			return entry.LeaseHeld(tier.now()) && len(members) == 1 && members[0].Fields().Via != leader
		})
	})
}

func TestForeignersAreRefused(t *testing.T) {
	tests := []struct {
		name   string
		secret linker.Secret
	}{{"another key", linker.NewSecret(testCluster, []byte("other"))}, {"another cluster", linker.NewSecret("other", []byte("key"))}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tier := newTestTier(t, 1)
				defer tier.close()
				foreign := linker.New(test.secret, linker.WithDial(tier.network.dialer("stranger")))
				if _, err := foreign.Connect("control-1"); err == nil || !strings.Contains(err.Error(), "control-1") {
					t.Fatalf("connect: %v", err)
				}
			})
		})
	}
}

func TestRestartAfterManyChanges(t *testing.T) {
	for _, changes := range []int{1, 300, 3000} {
		t.Run(fmt.Sprint(changes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tier := newTestTier(t, 1)
				defer tier.close()
				tier.leader()
				client := tier.entry("entry-1")
				for i := range changes {
					tier.put(client, tabulator.SetDataCentre{ChangeID: fmt.Sprint(i), Name: fmt.Sprintf("d%d", i), State: tabulator.StateOut})
				}
				tier.stop("control-1")
				tier.start("control-1")
				tier.leader()
				var status StatusReply
				if err := NewService(tier.nodes["control-1"].server).Status(StatusQuery{}, &status); err != nil {
					t.Fatal(err)
				}
				if status.Status.LogLength > 2*snapshotEvery {
					t.Errorf("%d log entries after the restart", status.Status.LogLength)
				}
				reply, err := client.Lookup(fmt.Sprint(changes - 1))
				if err != nil || !reply.Known {
					t.Errorf("the last change is not there: %+v, %v", reply, err)
				}
			})
		})
	}
}

func TestFormatOfAnotherClusterIsRefused(t *testing.T) {
	folder := t.TempDir() + "/data"
	if _, err := journaler.Format(folder, "one", "control-1", true); err != nil {
		t.Fatal(err)
	}
	if _, _, err := journaler.Open(folder, "two", "control-1"); err == nil {
		t.Fatal("the folder of another cluster was opened")
	}
}

// brokenStore is a disk that takes nothing.
type brokenStore struct{}

func (brokenStore) Persist([]replicator.Write) error { return errors.New("no space left on device") }

func TestNothingIsAcknowledgedAfterAFailedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := newTestTier(t, 1)
		defer tier.close()
		tier.leader()
		server := tier.nodes["control-1"].server
		if err := server.do(func() { server.config.Store = brokenStore{} }); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			reply := server.propose(tabulator.SetDataCentre{ChangeID: "c", Name: "d", State: tabulator.StateOut})
			if reply.Result.Verdict == tabulator.VerdictAccepted {
				t.Fatalf("%+v although nothing reached the disk", reply)
			}
		}
		if reply := server.renew(RenewQuery{Member: tabulator.MemberFields{Instance: "e", Incarnation: 1}}); reply.Granted {
			t.Fatal("a lease was granted by an instance whose disk failed")
		}
	})
}
