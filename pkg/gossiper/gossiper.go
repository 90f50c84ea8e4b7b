package gossiper

import (
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/spreader"
)

const (
	// roundInterval is the time between two rounds of sending.
	roundInterval = 100 * time.Millisecond
	// peersPerRound is the number of random peers that get the observations of a round.
	peersPerRound = 3
	// remotePeersPerRound is the number of random peers in other data centres that get the observations meant for all.
	remotePeersPerRound = 1
	// maxObservations limits the observations in a datagram that is received, and maxSentObservations in one that is sent: 30 of
	// 46 bytes each fit into one packet.
	maxObservations     = 40
	maxSentObservations = 30
	// maxDatagramBytes is the size of the receive buffer. Longer datagrams are truncated and fail authentication.
	maxDatagramBytes = 2048
)

type (
	// Config holds the settings and dependencies of a Gossiper.
	Config struct {
		// Listen is the UDP address to listen on.
		Listen string
		Secret linker.Secret
		Now    func() time.Duration
		Random *rand.Rand
		Log    logr.Logger
		// MayBeStale reports whether a datagram read now may have waited in the socket while the process was paused. It may be nil.
		MayBeStale func() bool
		// OnObservations is called with observations of other instances that are new to this one.
		OnObservations func(observations []spreader.Observation)
	}

	// Gossiper sends and forwards observations of leafs to other instances of a data centre.
	Gossiper struct {
		config   Config
		conn     *net.UDPConn
		mu       sync.Mutex
		spreader *spreader.Spreader
		peers    []*net.UDPAddr
		// remotePeers are the instances in other data centres.
		remotePeers []*net.UDPAddr
		wake        chan struct{}
		stop        chan struct{}
		group       conc.WaitGroup
	}
)

// New returns a Gossiper that listens on its socket, or an error if the address is invalid or cannot be listened on.
func New(config Config) (*Gossiper, error) {
	address, err := net.ResolveUDPAddr("udp4", config.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "gossip: listening address")
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "gossip: listen")
	}
	return &Gossiper{
		config: config, conn: conn, spreader: spreader.New(), wake: make(chan struct{}, 1), stop: make(chan struct{}),
	}, nil
}

// Run starts sending and receiving in the background until Close.
func (g *Gossiper) Run() {
	g.group.Go(g.receiveLoop)
	g.group.Go(g.sendLoop)
}

// Close closes the socket and waits until sending and receiving have ended.
func (g *Gossiper) Close() {
	close(g.stop)
	if err := g.conn.Close(); err != nil {
		g.config.Log.Error(err, "gossiper: failed to close the socket")
	}
	g.group.Wait()
}

// SetPeers sets the addresses of the other instances of the data centre and of those in other data centres. It skips those that
// cannot be resolved.
func (g *Gossiper) SetPeers(addresses, remoteAddresses []string) {
	peers, remotePeers := g.resolve(addresses), g.resolve(remoteAddresses)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers, g.remotePeers = peers, remotePeers
}

func (g *Gossiper) resolve(addresses []string) []*net.UDPAddr {
	peers := make([]*net.UDPAddr, 0, len(addresses))
	for _, address := range addresses {
		peer, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			g.config.Log.Error(err, "gossiper: failed to resolve the address of an instance", "address", address)
			continue
		}
		peers = append(peers, peer)
	}
	return peers
}

// Publish sends an observation of this instance to the peers.
func (g *Gossiper) Publish(observation spreader.Observation) {
	g.mu.Lock()
	g.spreader.Add(observation)
	g.mu.Unlock()
	g.wakeSender()
}

func (g *Gossiper) wakeSender() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// sendLoop sends rounds while there are observations to send, and otherwise waits for the next one.
func (g *Gossiper) sendLoop() {
	for {
		select {
		case <-g.stop:
			return
		case <-g.wake:
		}
		for g.sendRound() {
			select {
			case <-g.stop:
				return
			case <-time.After(roundInterval):
			}
		}
	}
}

// sendRound sends the pending observations to random peers and reports whether there were any.
func (g *Gossiper) sendRound() bool {
	now := g.config.Now()
	g.mu.Lock()
	observations := g.spreader.NextRound(now, maxSentObservations)
	peers, remotePeers := g.pickPeers(g.peers, peersPerRound), g.pickPeers(g.remotePeers, remotePeersPerRound)
	g.mu.Unlock()
	if len(observations) == 0 {
		return false
	}
	g.send(observations, peers, now)
	// A rate limit is one for the instances of all data centres.
	g.send(slices.DeleteFunc(observations, isLocal), remotePeers, now)
	return true
}

// isLocal reports whether an observation is only meant for the instances of one data centre.
func isLocal(observation spreader.Observation) bool {
	_, isRateLimit := observation.RateLimitedLeaf()
	return !isRateLimit
}

// send sends observations, if there are any, to each of the peers.
func (g *Gossiper) send(observations []spreader.Observation, peers []*net.UDPAddr, now time.Duration) {
	if len(observations) == 0 || len(peers) == 0 {
		return
	}
	data, err := encode(observations, now)
	if err != nil {
		g.config.Log.Error(err, "gossiper: failed to send observations")
		return
	}
	datagram := g.config.Secret.Sign(data)
	for _, peer := range peers {
		// Errors are ignored like lost datagrams: the other peers forward the observations.
		_, _ = g.conn.WriteToUDP(datagram, peer)
	}
}

// pickPeers returns up to count random peers.
func (g *Gossiper) pickPeers(peers []*net.UDPAddr, count int) []*net.UDPAddr {
	count = min(count, len(peers))
	for i := range count {
		j := i + g.config.Random.IntN(len(peers)-i)
		peers[i], peers[j] = peers[j], peers[i]
	}
	return append([]*net.UDPAddr(nil), peers[:count]...)
}

func (g *Gossiper) receiveLoop() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, _, err := g.conn.ReadFromUDP(buffer)
		if err != nil {
			select {
			case <-g.stop:
				return
			default:
			}
			g.config.Log.Error(err, "gossiper: failed to receive a datagram")
			time.Sleep(roundInterval)
			continue
		}
		g.handleDatagram(buffer[:size])
	}
}

func (g *Gossiper) handleDatagram(datagram []byte) {
	if g.config.MayBeStale != nil && g.config.MayBeStale() {
		g.config.Log.V(1).Info("gossiper: dropped a datagram that may have been received during a pause of the process")
		return
	}
	data, ok := g.config.Secret.Verify(datagram)
	if !ok {
		g.config.Log.V(1).Info("gossiper: dropped a datagram that failed authentication")
		return
	}
	observations, err := decode(data, g.config.Now())
	if err != nil {
		g.config.Log.Error(err, "gossiper: dropped a datagram that could not be decoded")
		return
	}
	if added := g.addObservations(observations); len(added) > 0 {
		g.config.OnObservations(added)
		g.wakeSender()
	}
}

// addObservations returns the observations that were new, in the memory of the given slice.
func (g *Gossiper) addObservations(observations []spreader.Observation) []spreader.Observation {
	g.mu.Lock()
	defer g.mu.Unlock()
	added := observations[:0]
	for _, observation := range observations {
		if g.spreader.Add(observation) {
			added = append(added, observation)
		}
	}
	return added
}
