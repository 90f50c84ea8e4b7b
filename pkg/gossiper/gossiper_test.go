package gossiper

import (
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/spreader"
)

func newGossiper(t *testing.T, secret linker.Secret) (*Gossiper, chan []spreader.Observation) {
	t.Helper()
	startedAt := time.Now()
	received := make(chan []spreader.Observation, 16)
	g, err := New(Config{
		Listen: "127.0.0.1:0", Secret: secret, Now: func() time.Duration { return time.Since(startedAt) },
		Random: rand.New(rand.NewPCG(1, 1)), Log: logr.Discard(),
		OnObservations: func(observations []spreader.Observation) {
			received <- append([]spreader.Observation(nil), observations...)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	g.Run()
	t.Cleanup(g.Close)
	return g, received
}

func (g *Gossiper) address() string { return g.conn.LocalAddr().String() }

// The last of three instances in a row gets the observation only from the middle one.
func TestObservationIsForwarded(t *testing.T) {
	secret := linker.NewSecret("test", []byte("key"))
	first, _ := newGossiper(t, secret)
	middle, _ := newGossiper(t, secret)
	last, received := newGossiper(t, secret)
	first.SetPeers([]string{middle.address(), "no address"}, nil)
	middle.SetPeers([]string{last.address()}, nil)
	sent := spreader.Observation{Leaf: "i-1", Slowness: 4.5, FailureRate: 0.25, IsSlow: true, SlowFor: 700 * time.Millisecond, IsGone: true, SeenAt: first.config.Now()}
	first.Publish(sent)
	select {
	case got := <-received:
		if len(got) != 1 || got[0].Leaf != "i-1" || got[0].Slowness != 4.5 || got[0].FailureRate != 0.25 || !got[0].IsSlow || got[0].SlowFor != sent.SlowFor {
			t.Errorf("got %+v, want %+v", got, sent)
		}
		if age := last.config.Now() - got[0].SeenAt; age < 0 || age > 2*time.Second {
			t.Errorf("got an observation of age %v, want between 0 and 2s", age)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("got no observation within 5 s")
	}
}

func TestUnauthenticatedAndMalformedDatagramsAreDropped(t *testing.T) {
	secret := linker.NewSecret("test", []byte("key"))
	g, received := newGossiper(t, secret)
	foreign, _ := newGossiper(t, linker.NewSecret("test", []byte("another key")))
	foreign.SetPeers([]string{g.address()}, nil)
	foreign.Publish(spreader.Observation{Leaf: "i-1", SeenAt: foreign.config.Now()})
	conn, err := net.Dial("udp4", g.address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	for _, datagram := range [][]byte{[]byte("x"), secret.Sign([]byte("no list")), secret.Sign([]byte{0x92})} {
		if _, err := conn.Write(datagram); err != nil {
			t.Fatal(err)
		}
	}
	valid, err := encode([]spreader.Observation{{Leaf: "i-2", SeenAt: time.Second}}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(secret.Sign(valid)); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-received:
		if len(got) != 1 || got[0].Leaf != "i-2" {
			t.Errorf("got %+v, want only the observation of leaf i-2", got)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("got no observation from the valid datagram within 5 s")
	}
}

// Datagrams that waited in the socket while the process was paused are older than the age they state, by up to the length of
// the pause, and must not be applied.
func TestDatagramsReceivedDuringPauseAreDropped(t *testing.T) {
	secret := linker.NewSecret("test", []byte("key"))
	g, received := newGossiper(t, secret)
	data, err := encode([]spreader.Observation{{Leaf: "i-1", IsSlow: true}}, 0)
	if err != nil {
		t.Fatal(err)
	}
	mayBeStale := true
	g.config.MayBeStale = func() bool { return mayBeStale }
	g.handleDatagram(secret.Sign(data))
	if len(received) != 0 {
		t.Errorf("datagram read after a pause: got %d calls of OnObservations, want 0", len(received))
	}
	mayBeStale = false
	g.handleDatagram(secret.Sign(data))
	if len(received) != 1 {
		t.Errorf("datagram read later: got %d calls of OnObservations, want 1", len(received))
	}
}

// A rate limit holds for the instances of all data centres together, unlike the latency of a leaf.
func TestRateLimitReachesOtherDataCentres(t *testing.T) {
	secret := linker.NewSecret("test", []byte("key"))
	first, _ := newGossiper(t, secret)
	remote, received := newGossiper(t, secret)
	first.SetPeers(nil, []string{remote.address()})
	first.Publish(spreader.Observation{Leaf: "i-1", Slowness: 4.5, IsSlow: true, SeenAt: first.config.Now()})
	first.Publish(spreader.NewRateLimit("i-1", true, 2.5, first.config.Now()))
	select {
	case got := <-received:
		if len(got) != 1 {
			t.Fatalf("got %+v, want the rate limit only", got)
		}
		if leaf, isRateLimit := got[0].RateLimitedLeaf(); leaf != "i-1" || !isRateLimit || !got[0].IsRateLimited || got[0].RatePerSecond != 2.5 {
			t.Errorf("got %+v, want a rate limit of 2.5 a second of leaf i-1", got[0])
		}
	case <-time.After(5 * time.Second):
		t.Fatal("got no observation within 5 s")
	}
}
