package main

import (
	"hash/fnv"
	"strconv"
	"sync"
	"time"
)

// balancer chooses the front machine of each new connection, as the platform does: it asks every machine for its readiness once a
// second and takes one out after two misses. If fewer than half of a zone's machines are in rotation, it uses all of them; if none is,
// those of the other zones.
type balancer struct {
	record *record
	fronts []*machine
	mu     sync.Mutex
	misses map[*machine]int
}

const (
	probeInterval = time.Second
	maxMisses     = 2
)

func newBalancer(r *record, fronts []*machine, stop <-chan struct{}) *balancer {
	b := &balancer{record: r, fronts: fronts, misses: map[*machine]int{}}
	for _, m := range fronts {
		go b.probe(m, stop)
	}
	return b
}

func (b *balancer) probe(m *machine, stop <-chan struct{}) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		isReady := m.isReady()
		b.mu.Lock()
		wasIn := b.misses[m] < maxMisses
		if isReady {
			b.misses[m] = 0
		} else {
			b.misses[m]++
		}
		if isIn := b.misses[m] < maxMisses; isIn != wasIn {
			b.record.addAndPrint("%s in rotation: %v", m.name, isIn)
		}
		b.mu.Unlock()
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// choose returns the machine for a new connection of a client in the zone. Each try of a client is spread anew.
func (b *balancer) choose(zone string, client, try int) *machine {
	b.mu.Lock()
	defer b.mu.Unlock()
	var own, ownIn, othersIn []*machine
	for _, m := range b.fronts {
		isIn := b.misses[m] < maxMisses
		switch {
		case m.zone == zone && isIn:
			own, ownIn = append(own, m), append(ownIn, m)
		case m.zone == zone:
			own = append(own, m)
		case isIn:
			othersIn = append(othersIn, m)
		}
	}
	candidates := ownIn
	switch {
	case len(ownIn) == 0 && len(othersIn) > 0:
		candidates = othersIn
	case 2*len(ownIn) < len(own):
		candidates = own
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(strconv.Itoa(client) + "/" + strconv.Itoa(try)))
	return candidates[int(h.Sum32()%uint32(len(candidates)))]
}
