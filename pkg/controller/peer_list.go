package controller

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lovagedeck/pkg/linker"
)

// leftOutPeriod is how long a control instance that did not answer is passed over while others are known. It is longer than an election,
// in which those that answer refuse.
const leftOutPeriod = 3 * time.Second

// peerList holds the control instances known to a client and the index of the one in use.
type peerList struct {
	linker       *linker.Linker
	mu           sync.Mutex
	peers        []*peer
	currentIndex int
	// leftOutUntil is when each control instance that did not answer may be used again.
	leftOutUntil map[*peer]time.Duration
}

func (l *peerList) current() (*peer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.peers) == 0 {
		return nil, false
	}
	return l.peers[l.currentIndex], true
}

// leaveOut makes advance pass over a peer for leftOutPeriod.
func (l *peerList) leaveOut(p *peer, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leftOutUntil == nil {
		l.leftOutUntil = map[*peer]time.Duration{}
	}
	l.leftOutUntil[p] = now + leftOutPeriod
}

// advance selects the next peer that is not left out, or the next one if all are.
func (l *peerList) advance(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.peers) == 0 {
		return
	}
	next := func(steps int) int { return (l.currentIndex + steps) % len(l.peers) }
	for steps := 1; steps <= len(l.peers); steps++ {
		if now >= l.leftOutUntil[l.peers[next(steps)]] {
			l.currentIndex = next(steps)
			return
		}
	}
	l.currentIndex = next(1)
}

// all returns the peers in order, starting with the current one.
func (l *peerList) all() []*peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append(append([]*peer(nil), l.peers[l.currentIndex:]...), l.peers[:l.currentIndex]...)
}

func (l *peerList) shuffle(random *rand.Rand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	random.Shuffle(len(l.peers), func(i, j int) { l.peers[i], l.peers[j] = l.peers[j], l.peers[i] })
}

func (l *peerList) add(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, address := range addresses {
		if l.indexOf(address) < 0 {
			l.peers = append(l.peers, newPeer(l.linker, address))
		}
	}
}

// setAddresses adds the addresses that are new and closes the connections to peers that are not in addresses.
func (l *peerList) setAddresses(addresses []string) {
	l.add(addresses)
	l.mu.Lock()
	defer l.mu.Unlock()
	var current *peer
	if len(l.peers) > 0 {
		current = l.peers[l.currentIndex]
	}
	kept := make([]*peer, 0, len(addresses))
	for _, p := range l.peers {
		if slices.Contains(addresses, p.address()) {
			kept = append(kept, p)
			continue
		}
		p.close()
		delete(l.leftOutUntil, p)
	}
	l.peers = kept
	l.currentIndex = max(0, slices.Index(kept, current))
}

func (l *peerList) indexOf(address string) int {
	return slices.IndexFunc(l.peers, func(p *peer) bool { return p.address() == address })
}

func (l *peerList) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		p.close()
	}
}
