package runner

import (
	"crypto/tls"
	"net"
	"sort"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/caller"
	"lovagedeck/pkg/controller"
	"lovagedeck/pkg/dispatcher"
	"lovagedeck/pkg/fellow"
	"lovagedeck/pkg/journaler"
	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/lister"
	"lovagedeck/pkg/operator"
	"lovagedeck/pkg/owner"
	"lovagedeck/pkg/replicator"
	"lovagedeck/pkg/tabulator"
)

func (i *Instance) start() error {
	files, err := newCertificates(i.settings)
	if err != nil {
		return err
	}
	link := i.newLinker(files)
	i.startTraffic(link)
	if err := i.startControl(link); err != nil {
		return err
	}
	if err := i.serveFellows(link); err != nil {
		return err
	}
	if err := i.serveCallers(files.server()); err != nil {
		return err
	}
	if err := i.serveOperators(files.server()); err != nil {
		return err
	}
	if i.control != nil {
		i.control.Run()
	}
	i.owner.Run()
	i.client.Run()
	i.platform.Run()
	return nil
}

func (i *Instance) newLinker(files *certificates) *linker.Linker {
	options := []linker.Option{linker.WithRejectionHandler(func(peer string, err error) {
		i.timeline.Add("connection-refused", peer, err.Error())
		i.options.log.Info("linker: a connection was refused", "peer", peer, "error", err.Error())
	})}
	if i.options.dial != nil {
		options = append(options, linker.WithDial(i.options.dial))
	}
	if files.mutual() {
		options = append(options, linker.WithTLS(files.clientMutual, files.serverMutual))
	}
	return linker.New(linker.NewSecret(i.settings.Cluster, i.key), options...)
}

func (i *Instance) startTraffic(link *linker.Linker) {
	i.transport = newTransport(link, i.self, i.settings.Listen.Peer)
	i.client = controller.NewClient(controller.ClientConfig{
		Member: i.member(), Addresses: i.controlAddresses(), Linker: link, Now: i.now, Random: i.random(1),
		Timeline: i.timeline, OnView: i.onView,
	})
	i.dispatcher = dispatcher.New(dispatcher.Config{
		Self: i.self, Now: i.now, WallClock: time.Now, LeaseHeld: i.client.LeaseHeld, Transport: i.transport,
		Random: i.random(2), Policy: i.options.policy, NoHedges: i.options.noHedges, IgnoresOverload: i.options.noGate,
		UsesLocalOwner: i.options.splitOver > 0,
	}, i.traces, i.metrics)
	i.owner = owner.New(owner.Config{
		Self: i.self, DataCentre: i.settings.DataCentre, Now: i.now, LeaseHeld: i.client.LeaseHeld,
		SendReply: i.transport.Reply, RequestRelease: i.transport.AskRelease, RecordEvent: i.timeline.Add, Dial: i.options.leafDial,
		Growth: i.options.growth, SplitInstances: i.options.splitOver,
	}, i.metrics)
	i.transport.lost = i.dispatcher.OnUndelivered
	i.mailbox = newMailbox(i.self, i)
	i.transport.local = i.mailbox
	i.platform = lister.New(i.settings.PlatformURL, i.onRoster, i.onPlatformFault)
}

func (i *Instance) startControl(link *linker.Linker) error {
	if !i.settings.IsControl() {
		return nil
	}
	journal, saved, err := journaler.Open(i.settings.ResolvePath(i.settings.DataDir), i.settings.Cluster, i.settings.Instance)
	if err != nil {
		return errors.Wrap(err, "start: open data-folder")
	}
	i.journal = journal
	founders := make([]replicator.NodeID, 0, len(i.settings.Control))
	addresses := map[string]string{}
	for _, member := range i.settings.Control {
		founders = append(founders, journaler.NodeID(member.Instance, journaler.BootstrapDisk))
		addresses[member.Instance] = member.PeerAddress
	}
	if journal.Identity().Disk != journaler.BootstrapDisk {
		founders = nil
	}
	i.control, err = controller.NewServer(controller.ServerConfig{
		Instance: i.settings.Instance, Node: journal.Identity().Node(), InitialVoters: founders, Addresses: addresses,
		Linker: link, Store: journal, Saved: saved, Now: i.now, Random: i.random(3), Timeline: i.timeline,
	})
	return errors.Wrap(err, "start: continue the log")
}

func (i *Instance) serveFellows(link *linker.Linker) error {
	listener, err := net.Listen("tcp", i.settings.Listen.Peer)
	if err != nil {
		return errors.Wrap(err, "start: listen/fellow")
	}
	receivers := map[string]any{"Fellow": fellow.NewService(i.self, i)}
	if i.control != nil {
		receivers["Control"] = controller.NewService(i.control)
	}
	i.fellows, err = link.Serve(listener, receivers)
	return err
}

func (i *Instance) serveCallers(tlsConfig *tls.Config) error {
	listener, err := net.Listen("tcp", i.settings.Listen.Caller)
	if err != nil {
		return errors.Wrap(err, "start: listen/caller")
	}
	i.callers = caller.New(caller.Config{
		Self: i.self, Run: i.dispatcher.Run, UnreadyReason: i.Unready, ForwardTicket: i.passTicket, Now: i.now, TLS: tlsConfig,
	})
	i.callers.Serve(listener)
	return nil
}

func (i *Instance) serveOperators(tlsConfig *tls.Config) error {
	listener, err := net.Listen("tcp", i.settings.Listen.Operator)
	if err != nil {
		return errors.Wrap(err, "start: listen/operator")
	}
	i.operators = operator.New(operator.Config{
		Backend: i, ReadTokenSHA256: i.settings.Tokens.ReadSHA256, WriteTokenSHA256: i.settings.Tokens.WriteSHA256, TLS: tlsConfig,
	})
	i.operators.Serve(listener)
	return nil
}

func (i *Instance) member() tabulator.MemberFields {
	return tabulator.MemberFields{
		Instance: i.self.Instance, Incarnation: i.self.Incarnation, DataCentre: i.settings.DataCentre,
		FellowAddress: i.settings.Listen.Peer, OperatorAddress: i.settings.Listen.Operator,
	}
}

// controlAddresses lists this instance first where it has the control role.
func (i *Instance) controlAddresses() []string {
	addresses := make([]string, 0, len(i.settings.Control))
	for _, member := range i.settings.Control {
		addresses = append(addresses, member.PeerAddress)
	}
	sort.Strings(addresses)
	return addresses
}
