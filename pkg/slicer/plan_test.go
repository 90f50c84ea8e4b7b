package slicer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// fleet returns instances in the data centres of the large deployment, and shards with a leaf in three of them.
func fleet(counts map[string]int, shards int) ([]Member, []Shard) {
	var members []Member
	for centre, count := range counts {
		for i := range count {
			members = append(members, Member{Instance: fmt.Sprintf("front-%s-%d", centre, i), DataCentre: centre})
		}
	}
	var list []Shard
	for i := range shards {
		list = append(list, Shard{Service: fmt.Sprint("shard-", i), DataCentres: []string{"a", "b", "c"}})
	}
	return members, list
}

var large = map[string]int{"a": 56, "b": 52, "c": 68, "d": 65, "e": 54}

func centreOf(instance string) string { return instance[len("front-") : len("front-")+1] }

func TestEachShardIsGatheredBesideItsLeafs(t *testing.T) {
	members, shards := fleet(large, 180)
	cases := []struct {
		dataCentre string
		own        bool
	}{
		{"a", true},
		{"c", true},
		{"d", false},
	}
	for _, c := range cases {
		plan := New(members, shards, c.dataCentre)
		for _, shard := range shards {
			gatherers := plan.Gatherers(shard.Service)
			if len(gatherers) != choices || gatherers[0] == gatherers[1] {
				t.Fatalf("%s: gatherers %v of %s", c.dataCentre, gatherers, shard.Service)
			}
			first, second := centreOf(gatherers[0]), centreOf(gatherers[1])
			if c.own && (first != c.dataCentre || second != c.dataCentre) {
				t.Errorf("%s: %s is gathered at %v, although it has a leaf here", c.dataCentre, shard.Service, gatherers)
			}
			if !c.own && (!slices.Contains(shard.DataCentres, first) || first == second) {
				t.Errorf("%s: %s is gathered at %v, want two data centres with a leaf", c.dataCentre, shard.Service, gatherers)
			}
		}
	}
}

// A data centre asks for a shard at the same instance wherever it is asked from, so that few instances ask each leaf.
func TestFewInstancesAskALeaf(t *testing.T) {
	members, shards := fleet(large, 180)
	asking := map[string]map[string]bool{}
	for centre := range large {
		plan := New(members, shards, centre)
		for _, shard := range shards {
			if asking[shard.Service] == nil {
				asking[shard.Service] = map[string]bool{}
			}
			asking[shard.Service][plan.Gatherers(shard.Service)[0]] = true
		}
	}
	for service, instances := range asking {
		if len(instances) > 3 {
			t.Errorf("%s is gathered by %d instances, want one for each data centre with a leaf", service, len(instances))
		}
	}
}

func TestSlicesAreEven(t *testing.T) {
	for _, count := range []int{90, 135, 180, 450} {
		members, shards := fleet(large, count)
		plan := New(members, shards, "a")
		load := map[string]int{}
		for _, shard := range shards {
			load[plan.Gatherers(shard.Service)[0]]++
		}
		for instance, n := range load {
			if n > shardsPerInstance+spareShards {
				t.Errorf("%d shards: %s gathers %d", count, instance, n)
			}
		}
	}
}

func TestSmallFleetsAskThemselves(t *testing.T) {
	members, shards := fleet(map[string]int{"a": 3, "b": 2, "c": 2}, 20)
	if gatherers := New(members, shards, "a").Gatherers("shard-1"); len(gatherers) != 0 {
		t.Errorf("gatherers %v of a small fleet", gatherers)
	}
}

// Stopping one instance after the other moves the shards of that one, and few others.
func TestALostInstanceMovesFewShards(t *testing.T) {
	members, shards := fleet(large, 180)
	before := New(members, shards, "a")
	lost := before.Gatherers("shard-0")[0]
	after := New(slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Instance == lost }), shards, "a")
	moved := 0
	for _, shard := range shards {
		was, is := before.Gatherers(shard.Service)[0], after.Gatherers(shard.Service)[0]
		if is == lost {
			t.Errorf("%s is still gathered by the lost instance", shard.Service)
		}
		if was != lost && was != is {
			moved++
		}
	}
	if moved > 30 {
		t.Errorf("%d shards of other instances moved", moved)
	}
}

func TestSilentInstanceIsLeftOutAndTriedAgain(t *testing.T) {
	var p Peer
	if !p.Usable() || !p.OnSilence(time.Second) || p.Usable() {
		t.Fatal("a silent instance is usable")
	}
	if p.MayTry(time.Second + retryFirst - 1) {
		t.Error("tried again too soon")
	}
	if !p.MayTry(time.Second + retryFirst) {
		t.Error("not tried again")
	}
	if p.OnSilence(2 * time.Second) {
		t.Error("a second silence is news")
	}
	if p.MayTry(2*time.Second + 2*retryFirst - 1) {
		t.Error("the pause does not grow")
	}
	p.OnBack()
	if !p.Usable() || p.MayTry(time.Hour) {
		t.Error("an instance that is back is not usable")
	}
	p.OnSilence(3 * time.Second)
	if p.MayTry(3*time.Second + 4*retryFirst - 1) {
		t.Error("an instance that is silent again at once is tried as soon as before")
	}
	p.OnBack()
	for range 10 {
		p.OnReport()
	}
	p.OnSilence(4 * time.Second)
	if !p.MayTry(4*time.Second + retryFirst) {
		t.Error("ten reports do not make the pause short again")
	}
}

func TestADoubtedInstanceIsTriedAtOnce(t *testing.T) {
	var p Peer
	p.Doubt(time.Second)
	if p.Usable() || !p.MayTry(time.Second) {
		t.Fatal("an instance that others found silent is used, or not tried at once")
	}
	p.OnBack()
	p.OnSilence(2 * time.Second)
	if !p.MayTry(2*time.Second + retryFirst) {
		t.Error("a doubt makes the next pause longer")
	}
}

func TestPatience(t *testing.T) {
	cases := []struct {
		name          string
		usual, latest time.Duration
		want          time.Duration
	}{
		{"usual", 20 * time.Millisecond, 100 * time.Millisecond, 38 * time.Millisecond},
		{"bounded by the objective", 80 * time.Millisecond, 40 * time.Millisecond, 40 * time.Millisecond},
		{"no time is left", 20 * time.Millisecond, -time.Second, reportSlack},
	}
	for _, c := range cases {
		if got := Patience(c.usual, c.latest); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
