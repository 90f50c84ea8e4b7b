package runner

import (
	"crypto/tls"
	"net"
	"sort"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/apportioner"
	"lovagedeck/pkg/caller"
	"lovagedeck/pkg/controller"
	"lovagedeck/pkg/custodian"
	"lovagedeck/pkg/dispatcher"
	"lovagedeck/pkg/journaler"
	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/listener"
	"lovagedeck/pkg/lister"
	"lovagedeck/pkg/operator"
	"lovagedeck/pkg/owner"
	"lovagedeck/pkg/peer"
	"lovagedeck/pkg/replicator"
	"lovagedeck/pkg/tabulator"
)

// start creates all components and starts the servers before the components that renew the lease and poll for leafs.
func (i *Instance) start() error {
	certificates, err := newCertificateFiles(i.settings)
	if err != nil {
		return err
	}
	peerLinker := i.newLinker(certificates)
	i.createQueryPath(peerLinker)
	if err := i.createControlServer(peerLinker); err != nil {
		return err
	}
	if err := i.servePeers(peerLinker, certificates.isMutual()); err != nil {
		return err
	}
	if err := i.serveCallers(certificates.serverConfig()); err != nil {
		return err
	}
	if err := i.serveOperators(certificates.serverConfig()); err != nil {
		return err
	}
	if i.controlServer != nil {
		i.controlServer.Run()
	}
	i.owner.Run()
	i.controlClient.Run()
	i.leafPoller.Run()
	return nil
}

func (i *Instance) newLinker(certificates *certificateFiles) *linker.Linker {
	options := []linker.Option{linker.WithRejectionHandler(func(remoteAddress string, err error) {
		i.timeline.Add("connection-refused", remoteAddress, err.Error())
		i.options.log.Info("linker: rejected a connection", "peer", remoteAddress, "error", err.Error())
	})}
	if i.options.dialPeer != nil {
		options = append(options, linker.WithDial(i.options.dialPeer))
	}
	if certificates.isMutual() {
		options = append(options, linker.WithTLS(certificates.mutualClientConfig, certificates.mutualServerConfig))
	}
	return linker.New(linker.NewSecret(i.settings.Cluster, i.clusterKey), options...)
}

// createQueryPath creates the components that run queries. They stay idle until their Run methods are called.
func (i *Instance) createQueryPath(peerLinker *linker.Linker) {
	i.transport = newTransport(peerLinker, i.self, i.settings.Listen.Peer)
	i.controlClient = controller.NewClient(controller.ClientConfig{
		Member: i.memberFields(), Addresses: i.sortedControlAddresses(), Linker: peerLinker, Now: i.now, Random: i.newRandom(1),
		Timeline: i.timeline, OnView: i.onView,
	})
	i.dispatcher = dispatcher.New(dispatcher.Config{
		Self: i.self, Now: i.now, WallClock: time.Now, LeaseHeld: i.controlClient.LeaseHeld, Transport: i.transport,
		Random: i.newRandom(2), Policy: i.options.policy, DisablesHedges: i.options.isHedgingDisabled, DisablesLoadShedding: i.options.isLoadSheddingDisabled,
		UsesLocalOwner: i.options.staticSplit > 0,
	}, i.traces, i.metrics)
	i.owner = owner.New(owner.Config{
		Self: i.self, DataCentre: i.settings.DataCentre, Now: i.now, LeaseHeld: i.controlClient.LeaseHeld,
		SendReply: i.transport.SendReply, RequestRelease: i.transport.RequestRelease, RecordEvent: i.timeline.Add, Dial: i.options.dialLeaf,
		Growth: i.options.limitGrowth, SplitInstances: i.options.staticSplit,
	}, i.metrics)
	i.transport.onUndelivered = i.dispatcher.OnUndelivered
	i.mailbox = newMailbox(i.self, i)
	i.transport.mailbox = i.mailbox
	i.leafPoller = lister.New(i.settings.PlatformURL, i.onLeafList, i.onPlatformFault)
}

// createControlServer opens the data folder and creates the control server if the instance has the control role. An
// instance with any disk but its first, such as a replacement, has no initial voters: it joins the existing cluster.
func (i *Instance) createControlServer(peerLinker *linker.Linker) error {
	if !i.settings.IsControl() {
		return nil
	}
	journal, saved, err := journaler.Open(i.settings.ResolvePath(i.settings.DataDir), i.settings.Cluster, i.settings.Instance)
	if err != nil {
		return errors.Wrap(err, "start: open data-folder")
	}
	i.journal = journal
	initialVoters := make([]replicator.NodeID, 0, len(i.settings.Control))
	addresses := map[string]string{}
	for _, member := range i.settings.Control {
		initialVoters = append(initialVoters, journaler.NodeID(member.Instance, journaler.BootstrapDisk))
		addresses[member.Instance] = member.PeerAddress
	}
	if journal.Identity().Disk != journaler.BootstrapDisk {
		initialVoters = nil
	}
	i.controlServer, err = controller.NewServer(controller.ServerConfig{
		Instance: i.settings.Instance, Node: journal.Identity().Node(), InitialVoters: initialVoters, Addresses: addresses,
		Linker: peerLinker, Store: journal, Saved: saved, Now: i.now, Random: i.newRandom(3), Timeline: i.timeline,
	})
	return errors.Wrap(err, "start: restore the replicated log")
}

func (i *Instance) servePeers(peerLinker *linker.Linker, isTLS bool) error {
	peerListener, err := i.listen(i.settings.Listen.Peer, custodian.PeerShare, isTLS)
	if err != nil {
		return errors.Wrap(err, "start: listen/fellow")
	}
	receivers := map[string]any{"Fellow": peer.NewService(i.self, i)}
	if i.controlServer != nil {
		receivers["Control"] = controller.NewService(i.controlServer)
	}
	i.peerServer, err = peerLinker.Serve(peerListener, receivers)
	return err
}

func (i *Instance) serveCallers(tlsConfig *tls.Config) error {
	callerListener, err := i.listen(i.settings.Listen.Caller, custodian.CallerShare, tlsConfig != nil)
	if err != nil {
		return errors.Wrap(err, "start: listen/caller")
	}
	i.callerServer = caller.New(caller.Config{
		Self: i.self, Run: i.dispatcher.Run, UnreadyReason: i.UnreadyReason, ForwardTicket: i.forwardTicket, Now: i.now, TLS: tlsConfig,
		BodyMemoryBytes: apportioner.Bodies(i.memoryLimit),
	})
	i.callerServer.Serve(callerListener)
	return nil
}

func (i *Instance) serveOperators(tlsConfig *tls.Config) error {
	operatorListener, err := i.listen(i.settings.Listen.Operator, custodian.OperatorShare, tlsConfig != nil)
	if err != nil {
		return errors.Wrap(err, "start: listen/operator")
	}
	i.operatorServer = operator.New(operator.Config{
		Backend: i, ReadTokenSHA256: i.settings.Tokens.ReadSHA256, WriteTokenSHA256: i.settings.Tokens.WriteSHA256, TLS: tlsConfig,
		BodyMemoryBytes: apportioner.Bodies(i.memoryLimit),
	})
	i.operatorServer.Serve(operatorListener)
	return nil
}

// listen listens on an address and records shortages of descriptors or memory. Its connections, with or without TLS, may take the given share
// of what clients may hold.
func (i *Instance) listen(address string, share float64, isTLS bool) (net.Listener, error) {
	raw, err := listener.Listen(address, func(shortage error) {
		if shortage != nil {
			i.timeline.Add("connections-wait", address, shortage.Error())
			i.options.log.Error(shortage, "runner: new connections wait", "address", address)
			return
		}
		i.timeline.Add("connections-accepted", address, "new connections are accepted again")
		i.options.log.Info("runner: new connections are accepted again", "address", address)
	})
	if err != nil {
		return nil, err
	}
	if isTLS {
		return i.clients.Watch(raw, share, custodian.WithTLS()), nil
	}
	return i.clients.Watch(raw, share), nil
}

func (i *Instance) memberFields() tabulator.MemberFields {
	return tabulator.MemberFields{
		Instance: i.self.Instance, Incarnation: i.self.Incarnation, DataCentre: i.settings.DataCentre,
		FellowAddress: i.settings.Listen.Peer, OperatorAddress: i.settings.Listen.Operator,
	}
}

// sortedControlAddresses returns the peer addresses of all control instances, this one included if it is one, in
// alphabetical order.
func (i *Instance) sortedControlAddresses() []string {
	addresses := make([]string, 0, len(i.settings.Control))
	for _, member := range i.settings.Control {
		addresses = append(addresses, member.PeerAddress)
	}
	sort.Strings(addresses)
	return addresses
}
