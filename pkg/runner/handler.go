package runner

import (
	"strconv"

	"lovagedeck/pkg/controller"
	"lovagedeck/pkg/operator"
	"lovagedeck/pkg/peer"
	"lovagedeck/pkg/replicator"
	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/timeliner"
	"lovagedeck/pkg/tracer"
)

// OnRequests handles requests to leafs that this instance owns; address is where the sender expects the replies.
func (i *Instance) OnRequests(from tabulator.MemberID, address string, requests []peer.Request) {
	i.owner.OnRequests(from, address, requests)
}

// OnCancels cancels requests that the sender sent earlier.
func (i *Instance) OnCancels(from tabulator.MemberID, ids []uint64) { i.owner.OnCancels(from, ids) }

// OnReplies handles replies to requests of this instance.
func (i *Instance) OnReplies(from tabulator.MemberID, replies []peer.Reply) {
	i.dispatcher.OnReplies(from, replies)
}

// Holdings returns the index versions and shards that the given leafs of this instance hold, by leaf.
func (i *Instance) Holdings(leafs []string) map[string][]peer.Holding {
	return i.owner.Holdings(leafs)
}

// Release ends the ownership of leafs and returns the state that their new owner needs.
func (i *Instance) Release(query peer.ReleaseQuery) []peer.ReleasedLeaf {
	return i.owner.Release(query)
}

// RunTicket runs a request whose ticket this incarnation granted, or returns its outcome if it ran before.
func (i *Instance) RunTicket(ticket string, request []byte) ([]byte, error) {
	return i.callerServer.RunTicket(ticket, request)
}

// Status returns the status of this instance and of all control instances, marking those it cannot reach.
func (i *Instance) Status() operator.Status {
	view := i.View()
	status := operator.Status{
		Instance: i.self.Instance, Incarnation: strconv.FormatUint(i.self.Incarnation, 16), DataCentre: i.settings.DataCentre,
		IsReady: i.Ready(), Revision: view.Revision(), Epoch: view.Epoch(), OwnedLeafs: i.owner.LeafCount(),
		OpenQueries: i.dispatcher.OpenQueries(), DataCentres: view.DataCentres(), Conditions: map[string]peer.Condition{},
	}
	for _, member := range view.Members() {
		status.Members = append(status.Members, member.Fields())
	}
	for id, condition := range i.owner.Conditions() {
		status.Conditions[string(id)] = condition
	}
	statuses := i.controlClient.Statuses()
	for _, address := range i.sortedControlAddresses() {
		status.Control = append(status.Control, controlStatus(address, statuses))
	}
	return status
}

// Propose submits a change to the control instances and records the result in the timeline.
func (i *Instance) Propose(command tabulator.Command) (controller.ProposeReply, error) {
	reply, err := i.controlClient.Propose(command)
	i.timeline.Add("change", i.self.Instance, string(reply.Result.Verdict)+" "+reply.Refused)
	return reply, err
}

// Lookup returns the recorded outcome of a change.
func (i *Instance) Lookup(changeID string) (controller.LookupReply, error) {
	return i.controlClient.Lookup(changeID)
}

// History returns the changes that operators submitted.
func (i *Instance) History() (controller.HistoryReply, error) { return i.controlClient.History() }

// InForce returns how many instances use the given revision of the table or a later one.
func (i *Instance) InForce(revision uint64) (controller.InForceReply, error) {
	return i.controlClient.InForce(revision)
}

// Configure adds, promotes or removes one control node.
func (i *Instance) Configure(action controller.ConfigAction, node replicator.NodeID) (controller.ConfigReply, error) {
	return i.controlClient.Configure(action, node)
}

// Events returns the events of this instance that match the filter.
func (i *Instance) Events(filter timeliner.Filter) []timeliner.Event {
	return i.timeline.Events(filter)
}

// Trace returns the trace of a query and whether the instance keeps it.
func (i *Instance) Trace(id string) (tracer.Trace, bool) { return i.traces.Find(id) }

// Slowest returns the traces of the slowest queries, slowest first.
func (i *Instance) Slowest() []tracer.Trace { return i.traces.Slowest() }

func controlStatus(address string, statuses map[string]controller.StatusReply) operator.ControlStatus {
	reply, ok := statuses[address]
	if !ok {
		return operator.ControlStatus{Address: address, Role: "unreachable"}
	}
	status := operator.ControlStatus{
		Address: address, Node: string(reply.Status.ID), Role: string(reply.Status.Role), Leader: string(reply.Status.Leader),
		Term: reply.Status.Term, Commit: reply.Status.Commit, LogLength: reply.Status.LogLength, Revision: reply.Revision,
		Sessions: reply.Sessions, Error: reply.Failed, MatchIndexes: map[string]uint64{},
	}
	for _, id := range reply.Status.Config.Voters {
		status.Voters = append(status.Voters, string(id))
	}
	for _, id := range reply.Status.Config.Learners {
		status.Learners = append(status.Learners, string(id))
	}
	for id, match := range reply.Status.Match {
		status.MatchIndexes[string(id)] = match
	}
	return status
}
