// Control instances that are not listed in the settings find each other
// through seeds: who has no place in the log announces itself to the seeds and
// to every member it was told of, and the leader takes it in.

package controller

import (
	"time"

	"github.com/sourcegraph/conc"

	"lovagedeck/pkg/recruiter"
	"lovagedeck/pkg/replicator"
)

const (
	announceInterval = 200 * time.Millisecond
	announceTimeout  = 400 * time.Millisecond
	recruitInterval  = 40 * time.Millisecond
	// lostLeader is how long a member hears of no leader before it announces itself again: it may have been removed meanwhile.
	lostLeader = 2 * replicator.ElectionTimeout
	// settleTime is how long a new leader waits for the expected number of voters before it accepts commands with fewer.
	settleTime = 5 * time.Second
)

type (
	// Founding tells how control instances find each other.
	Founding struct {
		// Seeds are addresses of control instances, of which some may be wrong or down.
		Seeds func() []string
		// Voters is how many voters a log should have before it takes commands.
		Voters int
	}

	recruits struct {
		founding   *Founding
		candidates map[replicator.NodeID]time.Duration
		nextLook   time.Duration
		busy       bool
		leadsSince time.Duration
		leading    bool
		members    map[string]bool
	}
)

func newRecruits(founding *Founding) recruits {
	return recruits{founding: founding, candidates: map[replicator.NodeID]time.Duration{}, members: map[string]bool{}}
}

// tickIfDue makes the next change of the members where this instance leads.
func (r *recruits) tickIfDue(s *Server) {
	now := s.config.Now()
	if r.founding == nil || now < r.nextLook || s.failed != nil {
		return
	}
	r.nextLook = now + recruitInterval
	if leading := s.core.Leading(); leading != r.leading {
		r.leading, r.leadsSince = leading, now
	}
	if !r.leading || r.busy {
		return
	}
	status := s.core.Status()
	change := recruiter.Decide(recruiter.View{
		Self: status.ID, Now: now, Config: status.Config, Commit: status.Commit, Match: status.Match,
		HeardAt: status.HeardAt, JoinRequests: r.candidates,
	})
	if change.Action == recruiter.NoChange {
		return
	}
	r.busy = true
	s.config.Note("control-member", string(change.Node), change.Action.String()+": "+change.Reason)
	query := ConfigQuery{Action: configActions[change.Action], Node: change.Node}
	s.group.Go(func() {
		reply, _ := s.configure(query)
		if reply.Refused != "" {
			s.config.Note("control-member", string(change.Node), "refused: "+reply.Refused)
		}
		_ = s.do(func() { r.busy = false })
	})
}

var configActions = map[recruiter.Action]ConfigAction{
	recruiter.AddLearner: ActionAddLearner, recruiter.Promote: ActionPromote, recruiter.Remove: ActionRemove,
}

// settled tells whether the log has the voters that its durability rests on.
func (r *recruits) settled(s *Server) bool {
	if r.founding == nil {
		return true
	}
	return len(s.core.Config().Voters) >= r.founding.Voters || s.config.Now()-r.leadsSince > settleTime
}

// announceLoop asks for a place in the log while this instance has none, or hears of no leader.
func (s *Server) announceLoop() {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	peers := map[string]*peer{}
	defer func() {
		for _, p := range peers {
			p.close()
		}
	}()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			s.announce(peers)
		}
	}
}

func (s *Server) announce(peers map[string]*peer) {
	var targets []string
	_ = s.await(func(done func()) {
		defer done()
		if s.needsPlace() {
			targets = s.announceTargets()
		}
	})
	query := AnnounceQuery{Node: s.config.Node}
	var group conc.WaitGroup
	for _, address := range targets {
		if peers[address] == nil {
			peers[address] = newPeer(s.config.Linker, address)
		}
		p := peers[address]
		group.Go(func() {
			var reply AnnounceReply
			if err := p.call("Announce", query, &reply, announceTimeout); err != nil {
				return
			}
			_ = s.do(func() { s.recruits.learn(reply) })
		})
	}
	group.Wait()
}

func (s *Server) needsPlace() bool {
	if s.failed != nil || s.leading() {
		return false
	}
	return !s.core.Member() || s.config.Now()-s.core.HeardAt() > lostLeader
}

// announceTargets returns the seeds, the members of the log and whoever else was named, without this instance.
func (s *Server) announceTargets() []string {
	known := map[string]bool{}
	for _, seed := range s.config.Founding.Seeds() {
		known[seed] = true
	}
	for _, instance := range s.voterInstances() {
		known[instance] = true
	}
	for instance := range s.recruits.members {
		known[instance] = true
	}
	delete(known, s.config.Instance)
	targets := make([]string, 0, len(known))
	for instance := range known {
		targets = append(targets, instance)
	}
	return targets
}

func (r *recruits) learn(reply AnnounceReply) {
	r.members = map[string]bool{}
	for _, instance := range reply.Members {
		r.members[instance] = true
	}
	if reply.Leader != "" {
		r.members[reply.Leader] = true
	}
}

// Announce takes the request of a control instance to join the log.
func (s *Service) Announce(query AnnounceQuery, reply *AnnounceReply) error {
	return s.server.await(func(done func()) {
		defer done()
		s.server.recruits.candidates[query.Node] = s.server.config.Now()
		reply.Leader = instanceOf(s.server.core.Leader())
		reply.Members = s.server.voterInstances()
	})
}

func (s *Server) voterInstances() []string {
	voters := s.core.Config().Voters
	instances := make([]string, 0, len(voters))
	for _, id := range voters {
		instances = append(instances, instanceOf(id))
	}
	return instances
}
