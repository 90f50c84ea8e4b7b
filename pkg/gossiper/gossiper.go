package gossiper

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/spreader"
)

const (
	// round is the time between two rounds in which news is sent.
	round = 100 * time.Millisecond
	// peersARound is how many others get the news of a round.
	peersARound = 3
	// maxObservations bounds a datagram: 40 observations of 30 bytes fit into one packet.
	maxObservations = 40
	// maxDatagram is the largest datagram that is read, in bytes.
	maxDatagram = 2048
)

type (
	// Config is what a Gossiper needs of its instance.
	Config struct {
		// Listen is the UDP address.
		Listen string
		Secret linker.Secret
		Now    func() time.Duration
		Random *rand.Rand
		Log    logr.Logger
		// Stale tells whether what is read now may have waited while the process was paused; nil never does.
		Stale func() bool
		// OnObservations takes news of other instances.
		OnObservations func(observations []spreader.Observation)
	}

	// Gossiper exchanges observations of leafs with the other instances of a data centre.
	Gossiper struct {
		config   Config
		conn     *net.UDPConn
		mu       sync.Mutex
		spreader *spreader.Spreader
		peers    []*net.UDPAddr
		wake     chan struct{}
		stop     chan struct{}
		group    conc.WaitGroup
	}
)

// New opens the socket; Run starts the exchange, and Close ends it.
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

// Run sends and receives observations until Close.
func (g *Gossiper) Run() {
	g.group.Go(g.receiveLoop)
	g.group.Go(g.sendLoop)
}

// Close ends the exchange.
func (g *Gossiper) Close() {
	close(g.stop)
	if err := g.conn.Close(); err != nil {
		g.config.Log.Error(err, "gossiper: the socket was not closed cleanly")
	}
	g.group.Wait()
}

// SetPeers takes the addresses of the other instances; one that cannot be read is left out.
func (g *Gossiper) SetPeers(addresses []string) {
	peers := make([]*net.UDPAddr, 0, len(addresses))
	for _, address := range addresses {
		peer, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			g.config.Log.Error(err, "gossiper: the address of an instance cannot be used", "address", address)
			continue
		}
		peers = append(peers, peer)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers = peers
}

// Tell passes on what this instance saw.
func (g *Gossiper) Tell(observation spreader.Observation) {
	g.mu.Lock()
	g.spreader.Add(observation)
	g.mu.Unlock()
	g.wakeUp()
}

func (g *Gossiper) wakeUp() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// sendLoop sends a round of news, and rests while there is none.
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
			case <-time.After(round):
			}
		}
	}
}

// sendRound tells whether there was news.
func (g *Gossiper) sendRound() bool {
	now := g.config.Now()
	g.mu.Lock()
	observations := g.spreader.NextRound(now, maxObservations)
	peers := g.pick()
	g.mu.Unlock()
	if len(observations) == 0 {
		return false
	}
	data, err := encode(observations, now)
	if err != nil {
		g.config.Log.Error(err, "gossiper: observations are not sent")
		return true
	}
	sealed := g.config.Secret.Seal(data)
	for _, peer := range peers {
		// A datagram may be lost anywhere; the others carry on what it held.
		_, _ = g.conn.WriteToUDP(sealed, peer)
	}
	return true
}

func (g *Gossiper) pick() []*net.UDPAddr {
	count := min(peersARound, len(g.peers))
	for i := range count {
		j := i + g.config.Random.IntN(len(g.peers)-i)
		g.peers[i], g.peers[j] = g.peers[j], g.peers[i]
	}
	return append([]*net.UDPAddr(nil), g.peers[:count]...)
}

func (g *Gossiper) receiveLoop() {
	buffer := make([]byte, maxDatagram)
	for {
		size, _, err := g.conn.ReadFromUDP(buffer)
		if err != nil {
			select {
			case <-g.stop:
				return
			default:
			}
			g.config.Log.Error(err, "gossiper: receive")
			time.Sleep(round)
			continue
		}
		g.receive(buffer[:size])
	}
}

func (g *Gossiper) receive(datagram []byte) {
	if g.config.Stale != nil && g.config.Stale() {
		g.config.Log.V(1).Info("gossiper: dropped a datagram that waited during a pause")
		return
	}
	data, ok := g.config.Secret.Open(datagram)
	if !ok {
		g.config.Log.V(1).Info("gossiper: dropped a datagram of another cluster")
		return
	}
	observations, err := decode(data, g.config.Now())
	if err != nil {
		g.config.Log.Error(err, "gossiper: a datagram was dropped")
		return
	}
	if news := g.take(observations); len(news) > 0 {
		g.config.OnObservations(news)
		g.wakeUp()
	}
}

func (g *Gossiper) take(observations []spreader.Observation) []spreader.Observation {
	g.mu.Lock()
	defer g.mu.Unlock()
	news := observations[:0]
	for _, observation := range observations {
		if g.spreader.Add(observation) {
			news = append(news, observation)
		}
	}
	return news
}
