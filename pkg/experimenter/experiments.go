package experimenter

import (
	"time"

	"lovagedeck/pkg/emulator"
	"lovagedeck/pkg/tabulator"
)

const (
	normalLoad        = 0.7
	stragglerInterval = 100
	stragglerSlowdown = 10.0
)

type experiment struct {
	name    string
	purpose string
	run     func(e *environment) error
}

var experiments = []experiment{
	{"steady", "70% of the capacity of the leafs", runSteady},
	{"stragglers", "1% of the leafs ten times slower, then others", runStragglers},
	{"replica-loss", "two of three replicas of every shard lost", runReplicaLoss},
	{"cold-start", "one leaf, then a data centre starts cold, then leafs turn cold unannounced", runColdStart},
	{"data-centre-out-in", "a data centre is taken out and brought back", runDataCentre},
	{"overload", "1, 1.5 and 3 times the capacity of the leafs", runOverload},
	{"rate-limits", "every third leaf states a rate limit and an owner is killed, then all replicas of one shard do", runRateLimits},
	{"versions", "a new index every two seconds, then a repartition", runVersions},
	{"entry-loss", "one owner killed, then two at once", runEntryLoss},
	{"control-cut", "each control instance silently isolated in turn", runControlCut},
	{"lagging-health", "leafs leave and die while the platform's list still has them", runLaggingHealth},
	{"everything", "stragglers, a data centre out, an owner killed, leafs cold and a new index together", runEverything},
}

// Experiments returns the name and purpose of each experiment in the order in which they run.
func Experiments() [][2]string {
	list := make([][2]string, 0, len(experiments))
	for _, e := range experiments {
		list = append(list, [2]string{e.name, e.purpose})
	}
	return list
}

func findExperiment(name string) (experiment, bool) {
	for _, e := range experiments {
		if e.name == name {
			return e, true
		}
	}
	return experiment{}, false
}

func runSteady(e *environment) error {
	return e.runPhase("steady", normalLoad, 8*time.Second)
}

func runStragglers(e *environment) error {
	e.setStragglers(0, stragglerSlowdown)
	if err := e.runPhase("still", normalLoad, 8*time.Second); err != nil {
		return err
	}
	return e.runPhase("moving", normalLoad, 8*time.Second,
		step{2 * time.Second, "other leafs are slow", func() error { e.setStragglers(7, stragglerSlowdown); return nil }},
		step{5 * time.Second, "other leafs are slow", func() error { e.setStragglers(31, stragglerSlowdown); return nil }})
}

func runReplicaLoss(e *environment) error {
	centres := e.shape.DataCentres
	return e.runPhase("losing", 0.2, 12*time.Second,
		step{2 * time.Second, "all leafs in " + centres[2] + " are lost", func() error { e.stopLeafsIn(centres[2]); return nil }},
		step{7 * time.Second, "all leafs in " + centres[1] + " are lost", func() error { e.stopLeafsIn(centres[1]); return nil }})
}

func runColdStart(e *environment) error {
	centre := e.shape.DataCentres[1]
	return e.runPhase("cold", 0.4, 14*time.Second,
		step{2 * time.Second, "one leaf starts again", func() error { return e.fleet.Leafs()[0].Restart() }},
		step{4 * time.Second, "all leafs in " + centre + " start again", func() error { return e.restartLeafsIn(centre) }},
		step{10 * time.Second, "every tenth leaf turns cold unannounced", func() error { e.resetWarmups(); return nil }})
}

func runDataCentre(e *environment) error {
	centre := e.shape.DataCentres[1]
	return e.runPhase("out and in", normalLoad*2/3, 14*time.Second,
		step{2 * time.Second, "take " + centre + " out", func() error { return e.setDataCentre(centre, tabulator.StateOut) }},
		step{8 * time.Second, "bring " + centre + " back", func() error { return e.setDataCentre(centre, tabulator.StateIn) }})
}

func runOverload(e *environment) error {
	for _, phase := range []struct {
		name  string
		share float64
	}{{"1x", 1}, {"1.5x", 1.5}, {"3x", 3}} {
		if err := e.runPhase(phase.name, phase.share, 8*time.Second); err != nil {
			return err
		}
	}
	return nil
}

func runRateLimits(e *environment) error {
	const interval, perSecond, lowPerSecond = 3, 2, 0.5
	if err := e.runPhase("a third of the leafs", normalLoad*2/3, 16*time.Second,
		step{0, "every third leaf states a rate limit", func() error { e.setRateLimits(interval, perSecond); return nil }},
		step{10 * time.Second, "kill one instance", func() error { e.tier.Kill(e.tier.Size() - 1); return nil }}); err != nil {
		return err
	}
	e.clearRateLimits()
	return e.runPhase("one shard", normalLoad*2/3, 14*time.Second,
		step{time.Second, "all replicas of one shard state a rate limit", func() error { e.limitShardOf(e.fleet.Leafs()[0], lowPerSecond); return nil }},
		step{12 * time.Second, "no leaf states a rate limit", func() error { e.clearRateLimits(); return nil }})
}

func runVersions(e *environment) error {
	index := e.shape.Name
	publish := func() error { e.fleet.Publish(index, true); return nil }
	return e.runPhase("new versions", normalLoad*2/3, 12*time.Second,
		step{2 * time.Second, "a new version", publish},
		step{4 * time.Second, "a new version", publish},
		step{6 * time.Second, "a new version replaces the present one at once", func() error { e.fleet.Publish(index, false); return nil }},
		step{9 * time.Second, "a repartitioned version", func() error { e.fleet.Repartition(index); return nil }})
}

func runEntryLoss(e *environment) error {
	last := e.tier.Size() - 1
	return e.runPhase("losing owners", normalLoad*2/3, 14*time.Second,
		step{2 * time.Second, "kill one instance", func() error { e.tier.Kill(last); return nil }},
		step{8 * time.Second, "kill two instances", func() error { e.tier.Kill(last - 1); e.tier.Kill(last - 2); return nil }})
}

func runControlCut(e *environment) error {
	var steps []step
	for i := range benchControlInstances {
		name := e.tier.Settings(i).Instance
		startAfter := time.Duration(2+5*i) * time.Second
		steps = append(steps,
			step{startAfter, "isolate " + name, func() error { e.tier.Network().Isolate(name); return nil }},
			step{startAfter + 3*time.Second, "heal " + name, func() error { e.tier.Network().Heal(name); return nil }})
	}
	return e.runPhase("cutting", normalLoad*2/3, 18*time.Second, steps...)
}

func runLaggingHealth(e *environment) error {
	return e.runPhase("lagging", normalLoad*2/3, 12*time.Second,
		step{2 * time.Second, "every tenth leaf leaves, the list does not say so", func() error { e.drainEveryTenth(); return nil }},
		step{5 * time.Second, "they are gone, the list does not say so", func() error { e.stopEveryTenth(); return nil }})
}

func runEverything(e *environment) error {
	centre := e.shape.DataCentres[2]
	last := e.tier.Size() - 1
	e.setStragglers(3, stragglerSlowdown)
	return e.runPhase("everything", 0.35, 20*time.Second,
		step{2 * time.Second, "take " + centre + " out", func() error { return e.setDataCentre(centre, tabulator.StateOut) }},
		step{5 * time.Second, "kill one instance", func() error { e.tier.Kill(last); return nil }},
		step{8 * time.Second, "every tenth leaf turns cold unannounced", func() error { e.resetWarmups(); return nil }},
		step{10 * time.Second, "a new version", func() error { e.fleet.Publish(e.shape.Name, true); return nil }},
		step{12 * time.Second, "bring " + centre + " back", func() error { return e.setDataCentre(centre, tabulator.StateIn) }},
		step{15 * time.Second, "isolate a control instance", func() error { e.tier.Network().Isolate(e.tier.Settings(0).Instance); return nil }})
}

// setStragglers slows down every hundredth leaf, starting at offset, and resets all others to normal speed.
func (e *environment) setStragglers(offset int, factor float64) {
	for i, l := range e.fleet.Leafs() {
		l.SetSlowdown(1)
		if i%stragglerInterval == offset {
			l.SetSlowdown(factor)
		}
	}
}

func (e *environment) setRateLimits(interval int, perSecond float64) {
	for i, l := range e.fleet.Leafs() {
		if i%interval == 0 {
			l.SetRateLimit(perSecond)
		}
	}
}

// limitShardOf makes all replicas of the shard that the leaf holds state a rate limit.
func (e *environment) limitShardOf(of *emulator.Leaf, perSecond float64) {
	for _, l := range e.fleet.Leafs() {
		if l.Spec().Service == of.Spec().Service && l.Spec().Shard == of.Spec().Shard {
			l.SetRateLimit(perSecond)
		}
	}
}

func (e *environment) clearRateLimits() {
	for _, l := range e.fleet.Leafs() {
		l.ClearRateLimit()
	}
}

func (e *environment) stopLeafsIn(dataCentre string) {
	for _, leaf := range e.leafsIn(dataCentre) {
		leaf.Stop()
	}
}

func (e *environment) restartLeafsIn(dataCentre string) error {
	for _, leaf := range e.leafsIn(dataCentre) {
		if err := leaf.Restart(); err != nil {
			return err
		}
	}
	return nil
}

func (e *environment) leafsIn(dataCentre string) []*emulator.Leaf {
	var leafs []*emulator.Leaf
	for _, leaf := range e.fleet.Leafs() {
		if leaf.Spec().DataCentre == dataCentre {
			leafs = append(leafs, leaf)
		}
	}
	return leafs
}

func (e *environment) everyTenthLeaf() []*emulator.Leaf {
	var leafs []*emulator.Leaf
	for i, leaf := range e.fleet.Leafs() {
		if i%10 == 0 {
			leafs = append(leafs, leaf)
		}
	}
	return leafs
}

func (e *environment) resetWarmups() {
	for _, leaf := range e.everyTenthLeaf() {
		leaf.ResetWarmup()
	}
}

func (e *environment) drainEveryTenth() {
	for _, leaf := range e.everyTenthLeaf() {
		leaf.SetDraining(true)
	}
}

func (e *environment) stopEveryTenth() {
	for _, leaf := range e.everyTenthLeaf() {
		leaf.Stop()
	}
}

func (e *environment) setDataCentre(name string, state tabulator.State) error {
	_, err := e.tier.SetDataCentre(name, state)
	if err == nil {
		e.fleet.SetOutOfService(name, state == tabulator.StateOut)
	}
	return err
}
