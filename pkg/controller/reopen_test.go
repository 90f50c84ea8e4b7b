package controller

import (
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/journaler"
	"lovagedeck/pkg/tabulator"
)

// testDisk is the disk of a control instance. While it is full it refuses every write.
type testDisk struct {
	isFull atomic.Bool
	// skipsSync saves time in tests whose instances stop without a power loss.
	skipsSync bool
}

type testDiskFile struct {
	*os.File
	disk *testDisk
}

func (d *testDisk) create(path string) (journaler.File, error) {
	if d.isFull.Load() {
		return nil, syscall.ENOSPC
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	return testDiskFile{file, d}, err
}

func (f testDiskFile) Sync() error {
	if f.disk.skipsSync {
		return nil
	}
	return f.File.Sync()
}

func (f testDiskFile) Write(p []byte) (int, error) {
	if f.disk.isFull.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(p)
}

func (tier *testTier) status(name string) StatusReply {
	tier.t.Helper()
	var status StatusReply
	if err := NewService(tier.instances[name].server).Status(StatusQuery{}, &status); err != nil {
		tier.t.Fatal(err)
	}
	return status
}

// proposeAt proposes a change through one instance until it is accepted, and returns how long that took.
func (tier *testTier) proposeAt(name, id string) time.Duration {
	tier.t.Helper()
	startedAt := tier.now()
	command := tabulator.SetDataCentre{ChangeID: id, Name: "d-" + id, State: tabulator.StateOut}
	tier.waitUntil("change "+id+" accepted through "+name, func() bool {
		reply := tier.instances[name].server.Propose(command)
		return !reply.Unknown && reply.Refused == "" && reply.Result.Verdict == tabulator.VerdictAccepted
	})
	return tier.now() - startedAt
}

// The disks of all instances were full in turn, and each refused the changes that reached it until its process had ended. It must
// pass them on, take part again as soon as its disk has room, and lose nothing.
func TestFullDisksInTurn(t *testing.T) {
	// maxChangeTime is the time until a new leader is elected and known, with a try each 50 ms.
	const maxChangeTime, fullTime = 3 * time.Second, 4 * time.Second
	for _, order := range []string{"by name", "leaders"} {
		t.Run(order, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tier := newTestTier(t, 3)
				defer tier.close()
				var ids []string
				for round := range 2 * len(tier.names) {
					name := tier.names[round%len(tier.names)]
					if leader := tier.waitForLeader(); order == "leaders" {
						name = leader
					}
					tier.instances[name].disk.isFull.Store(true)
					for fullAt := tier.now(); tier.now()-fullAt < fullTime; time.Sleep(100 * time.Millisecond) {
						ids = append(ids, fmt.Sprint(len(ids)))
						if took := tier.proposeAt(name, ids[len(ids)-1]); took > maxChangeTime {
							t.Errorf("round %d: a change through %s took %v while its disk was full, want at most %v", round, name, took, maxChangeTime)
						}
					}
					if tier.status(name).Failed == "" {
						t.Errorf("round %d: %s does not say that its disk is full", round, name)
					}
					tier.instances[name].disk.isFull.Store(false)
					time.Sleep(2 * reopenInterval)
					if failed := tier.status(name).Failed; failed != "" {
						t.Errorf("round %d: %s is still failed when its disk has room: %s", round, name, failed)
					}
				}
				// A majority needs instances whose disks were full.
				tier.stop(tier.waitForLeader())
				tier.waitForLeader()
				for _, name := range tier.names {
					server := tier.instances[name].server
					if server == nil {
						continue
					}
					tier.proposeAt(name, "last-"+name)
					for _, id := range ids {
						if dataCentre, isFresh := server.DataCentre("d-" + id); !isFresh || dataCentre.State != tabulator.StateOut {
							t.Errorf("%s: change %s: got %+v, fresh %v, want it in force", name, id, dataCentre, isFresh)
						}
					}
				}
			})
		})
	}
}

// An instance that was the leader when its disk became full must not answer as the leader.
func TestFormerLeaderWithFullDiskDoesNotLead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := newTestTier(t, 3)
		defer tier.close()
		leader := tier.waitForLeader()
		tier.instances[leader].disk.isFull.Store(true)
		tier.proposeAt(leader, "one")
		server := tier.instances[leader].server
		if _, isLeader := server.LeaderTerm(); isLeader || tier.status(leader).Status.Role == "leader" {
			t.Errorf("%s still counts as the leader", leader)
		}
		var inForce InForceReply
		if err := NewService(server).InForce(InForceQuery{Revision: 1, Forwarded: true}, &inForce); err == nil && inForce.Refused == "" {
			t.Errorf("%s says where a change is in force: %+v", leader, inForce)
		}
		if _, isFresh := server.DataCentre("d-one"); isFresh {
			t.Errorf("%s confirms a read", leader)
		}
	})
}

// A former leader whose disk is full hears no reports. It must not have the members removed that renew through other instances.
func TestFormerLeaderWithFullDiskRemovesNoMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := newTestTier(t, 3)
		defer tier.close()
		leader := tier.waitForLeader()
		entry := tier.newEntryClient("entry-1", tier.anyOtherThan(leader))
		tier.waitUntil("lease held", func() bool { return entry.LeaseHeld(tier.now()) && len(entry.View().Members()) == 1 })
		epoch := entry.View().Epoch()
		tier.instances[leader].disk.isFull.Store(true)
		tier.proposeAt(leader, "one")
		time.Sleep(4 * assigner.LeaseDuration)
		tier.waitUntil("lease held after the failure", func() bool { return entry.LeaseHeld(tier.now()) })
		if got := entry.View().Epoch(); got != epoch {
			t.Errorf("the membership changed from revision %d to %d, want no change", epoch, got)
		}
	})
}

// The disk of a new member is full while it gets the log, with or without a snapshot before it. Changes must be accepted meanwhile, and the
// member must hold everything once its disk has room.
func TestFullDiskWhileMemberJoins(t *testing.T) {
	cases := []struct {
		name    string
		changes int
	}{
		{"entries", 20},
		{"snapshot", snapshotEntries + 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const fullTime = 4 * time.Second
				tier := newTestTier(t, 3)
				defer tier.close()
				leader := tier.waitForLeader()
				client := tier.newEntryClient("entry-1")
				for i := range c.changes {
					tier.propose(client, tabulator.SetDataCentre{ChangeID: fmt.Sprint(i), Name: fmt.Sprint("d", i), State: tabulator.StateOut})
				}
				joining := tier.anyOtherThan(leader)
				lostNode := tier.instances[joining].journal.Identity().Node()
				newNode := tier.replaceDisk(joining)
				tier.instances[joining].disk.isFull.Store(true)
				time.AfterFunc(fullTime, func() { tier.instances[joining].disk.isFull.Store(false) })
				tier.waitUntil("new node added as learner", func() bool {
					reply, err := client.Configure(ActionAddLearner, newNode)
					return err == nil && reply.Refused == "" && !reply.Unknown
				})
				for i := range 10 {
					tier.propose(client, tabulator.SetDataCentre{ChangeID: fmt.Sprint("full-", i), Name: fmt.Sprint("full-", i), State: tabulator.StateOut})
				}
				tier.waitUntil("the disk is found full", func() bool { return tier.status(joining).Failed != "" })
				tier.replaceVoter(client, newNode, lostNode)
				tier.stop(leader)
				tier.waitForLeader()
				tier.proposeAt(joining, "last")
				for _, name := range []string{"d0", fmt.Sprint("d", c.changes-1), "full-0", "full-9"} {
					dataCentre, isFresh := tier.instances[joining].server.DataCentre(name)
					if !isFresh || dataCentre.State != tabulator.StateOut {
						t.Errorf("%s at the new member: got %+v, fresh %v, want it out of service", name, dataCentre, isFresh)
					}
				}
			})
		})
	}
}
