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
	began := time.Now()
	news := make(chan []spreader.Observation, 16)
	g, err := New(Config{
		Listen: "127.0.0.1:0", Secret: secret, Now: func() time.Duration { return time.Since(began) },
		Random: rand.New(rand.NewPCG(1, 1)), Log: logr.Discard(),
		OnObservations: func(observations []spreader.Observation) {
			news <- append([]spreader.Observation(nil), observations...)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	g.Run()
	t.Cleanup(g.Close)
	return g, news
}

func (g *Gossiper) address() string { return g.conn.LocalAddr().String() }

// Three instances in a row: the last one hears of the leaf from the middle one.
func TestObservationIsPassedOn(t *testing.T) {
	secret := linker.NewSecret("test", []byte("key"))
	first, _ := newGossiper(t, secret)
	middle, _ := newGossiper(t, secret)
	last, news := newGossiper(t, secret)
	first.SetPeers([]string{middle.address(), "no address"})
	middle.SetPeers([]string{last.address()})
	sent := spreader.Observation{Leaf: "i-1", Slowness: 4.5, FailureRate: 0.25, IsSlow: true, SlowFor: 700 * time.Millisecond, IsGone: true, SeenAt: first.config.Now()}
	first.Tell(sent)
	select {
	case got := <-news:
		if len(got) != 1 || got[0].Leaf != "i-1" || got[0].Slowness != 4.5 || got[0].FailureRate != 0.25 || !got[0].IsSlow || got[0].SlowFor != sent.SlowFor {
			t.Errorf("got %+v, sent %+v", got, sent)
		}
		if age := last.config.Now() - got[0].SeenAt; age < 0 || age > 2*time.Second {
			t.Errorf("the observation is %v old", age)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the observation did not come through")
	}
}

func TestForeignAndBrokenDatagramsAreDropped(t *testing.T) {
	secret := linker.NewSecret("test", []byte("key"))
	g, news := newGossiper(t, secret)
	foreign, _ := newGossiper(t, linker.NewSecret("test", []byte("another key")))
	foreign.SetPeers([]string{g.address()})
	foreign.Tell(spreader.Observation{Leaf: "i-1", SeenAt: foreign.config.Now()})
	conn, err := net.Dial("udp4", g.address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	for _, datagram := range [][]byte{[]byte("x"), secret.Seal([]byte("no list")), secret.Seal([]byte{0x92})} {
		if _, err := conn.Write(datagram); err != nil {
			t.Fatal(err)
		}
	}
	good, err := encode([]spreader.Observation{{Leaf: "i-2", SeenAt: time.Second}}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(secret.Seal(good)); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-news:
		if len(got) != 1 || got[0].Leaf != "i-2" {
			t.Errorf("got %+v, want the sound datagram only", got)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the sound datagram was dropped")
	}
}

// An instance was stopped for seconds: what waited in its socket is as old as the pause, whatever age it states.
func TestDatagramsThatWaitedDuringAPauseAreDropped(t *testing.T) {
	secret := linker.NewSecret("test", []byte("key"))
	g, news := newGossiper(t, secret)
	data, err := encode([]spreader.Observation{{Leaf: "i-1", IsSlow: true}}, 0)
	if err != nil {
		t.Fatal(err)
	}
	stale := true
	g.config.Stale = func() bool { return stale }
	g.receive(secret.Seal(data))
	if len(news) != 0 {
		t.Error("a datagram that waited was believed")
	}
	stale = false
	g.receive(secret.Seal(data))
	if len(news) != 1 {
		t.Error("a new datagram was not believed")
	}
}
