package controller

import (
	"time"

	"github.com/sourcegraph/conc"

	"lovagedeck/pkg/recruiter"
	"lovagedeck/pkg/replicator"
)

const (
	announceInterval   = 200 * time.Millisecond
	announceTimeout    = 400 * time.Millisecond
	membershipInterval = 40 * time.Millisecond
	// leaderLossTimeout is the time without contact from a leader after which a member announces itself again, because it may
	// have been removed in the meantime.
	leaderLossTimeout = 2 * replicator.ElectionTimeout
	// votersTimeout is how long a new leader refuses commands while the log has fewer voters than expected.
	votersTimeout = 5 * time.Second
)

type (
	// Discovery configures how control instances that the settings do not list find each other.
	Discovery struct {
		// Seeds returns addresses of control instances. Some may be wrong or unreachable.
		Seeds func() []string
		// ExpectedVoters is the number of voters that the log should have before the leader accepts commands.
		ExpectedVoters int
	}

	// membership tracks join requests and changes the members of the replicated log. An instance that is not a member
	// announces itself to the seeds and to every instance named in a reply, and the leader adds it.
	membership struct {
		discovery      *Discovery
		joinRequests   map[replicator.NodeID]time.Duration
		nextCheck      time.Duration
		isChanging     bool
		leaderSince    time.Duration
		isLeading      bool
		knownInstances map[string]bool
	}
)

func newMembership(discovery *Discovery) membership {
	return membership{discovery: discovery, joinRequests: map[replicator.NodeID]time.Duration{}, knownInstances: map[string]bool{}}
}

// changeIfDue starts the next membership change if this instance is the leader and no change is in progress.
func (m *membership) changeIfDue(s *Server) {
	now := s.config.Now()
	if m.discovery == nil || now < m.nextCheck || s.failed != nil {
		return
	}
	m.nextCheck = now + membershipInterval
	if isLeading := s.isEstablishedLeader(); isLeading != m.isLeading {
		// A change that was in progress when this instance lost the lead must not delay those of its new term.
		m.isLeading, m.leaderSince, m.isChanging = isLeading, now, false
	}
	if !m.isLeading || m.isChanging {
		return
	}
	status := s.core.Status()
	change := recruiter.Decide(recruiter.View{
		Self: status.ID, Now: now, Config: status.Config, ExpectedVoters: m.discovery.ExpectedVoters, Commit: status.Commit, Match: status.Match,
		HeardAt: status.HeardAt, Leaving: status.Leaving, JoinRequests: m.joinRequests,
	})
	if change.Action == recruiter.NoChange {
		return
	}
	m.isChanging = true
	s.config.OnEvent("control-member", string(change.Node), change.Action.String()+": "+change.Reason)
	query := ConfigQuery{Action: configActions[change.Action], Node: change.Node}
	s.group.Go(func() {
		reply, _ := s.configure(query)
		if reply.Refused != "" {
			s.config.OnEvent("control-member", string(change.Node), "refused: "+reply.Refused)
		}
		_ = s.enqueue(func() { m.isChanging = false })
	})
}

var configActions = map[recruiter.Action]ConfigAction{
	recruiter.AddLearner: ActionAddLearner, recruiter.Promote: ActionPromote, recruiter.Demote: ActionAddLearner, recruiter.Remove: ActionRemove,
}

// allowsCommands reports whether the log has the number of voters that its durability requires, or has waited votersTimeout
// for them.
func (m *membership) allowsCommands(s *Server) bool {
	if m.discovery == nil {
		return true
	}
	return len(s.core.Config().Voters) >= m.discovery.ExpectedVoters || s.config.Now()-m.leaderSince > votersTimeout
}

// Leave tells the leader that this instance is about to stop, and waits until a majority knows that it has no vote, or until it keeps its
// vote because the others do not suffice, for the timeout at most. An instance that starts again with its disk gets its vote back.
func (s *Server) Leave(timeout time.Duration) {
	if s.config.Discovery == nil || s.enqueue(func() { s.step(replicator.Leave{}) }) != nil {
		return
	}
	for deadline := s.config.Now() + timeout; s.config.Now() < deadline; time.Sleep(tickInterval) {
		isLosingVote, err := await(s, func(answer func(bool)) { answer(s.failed == nil && s.isLosingVote()) })
		if err != nil || !isLosingVote {
			return
		}
	}
}

// isLosingVote reports whether this instance is a voter that the leader can spare or replace, as far as this instance knows, or its
// demotion is not committed yet.
func (s *Server) isLosingVote() bool {
	config := s.core.Config()
	if !config.HasVoter(s.config.Node) {
		return !s.core.IsConfigCommitted()
	}
	return len(config.Learners) > 0 || len(config.Voters) > s.config.Discovery.ExpectedVoters
}

// announceLoop sends join requests while this instance is not a member of the log or has lost contact with the leader.
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
	targets, _ := await(s, func(answer func([]string)) {
		if !s.shouldAnnounce() {
			answer(nil)
			return
		}
		answer(s.announceTargets())
	})
	query := AnnounceQuery{Node: s.config.Node}
	var group conc.WaitGroup
	replies := make(chan AnnounceReply, len(targets))
	for _, address := range targets {
		if peers[address] == nil {
			peers[address] = newPeer(s.config.Linker, address)
		}
		p := peers[address]
		group.Go(func() {
			var reply AnnounceReply
			if err := p.call("Announce", query, &reply, announceTimeout); err == nil {
				replies <- reply
			}
		})
	}
	group.Wait()
	close(replies)
	if len(replies) > 0 {
		_ = s.enqueue(func() { s.membership.setKnownInstances(replies) })
	}
}

func (s *Server) shouldAnnounce() bool {
	if s.failed != nil || s.isLeader() {
		return !s.core.IsConfigCommitted()
	}
	return !s.core.IsMember() || s.config.Now()-s.core.LastLeaderContact() > leaderLossTimeout
}

// announceTargets returns the addresses of the seeds, of the voters and of the instances named in announce replies, except
// this instance.
func (s *Server) announceTargets() []string {
	addresses := map[string]bool{}
	for _, seed := range s.config.Discovery.Seeds() {
		addresses[seed] = true
	}
	for _, address := range s.voterInstances() {
		addresses[address] = true
	}
	for address := range s.membership.knownInstances {
		addresses[address] = true
	}
	delete(addresses, s.config.Instance)
	targets := make([]string, 0, len(addresses))
	for address := range addresses {
		targets = append(targets, address)
	}
	return targets
}

// setKnownInstances replaces the known instances by those named in any of the replies. One reply alone may come from an instance that
// knows only former members.
func (m *membership) setKnownInstances(replies <-chan AnnounceReply) {
	m.knownInstances = map[string]bool{}
	for reply := range replies {
		for _, instance := range reply.Members {
			m.knownInstances[instance] = true
		}
		if reply.Leader != "" {
			m.knownInstances[reply.Leader] = true
		}
	}
}

// Announce records the request of a control instance to join the log and returns the leader and the voters.
func (s *Service) Announce(query AnnounceQuery, reply *AnnounceReply) (err error) {
	*reply, err = await(s.server, func(answer func(AnnounceReply)) {
		s.server.membership.joinRequests[query.Node] = s.server.config.Now()
		answer(AnnounceReply{Leader: s.server.leader(), Members: s.server.voterInstances()})
	})
	return err
}

func (s *Server) voterInstances() []string {
	voters := s.core.Config().Voters
	instances := make([]string, 0, len(voters))
	for _, id := range voters {
		instances = append(instances, instanceOf(id))
	}
	return instances
}
