package experimenter

import (
	"time"

	"lovagedeck/pkg/emulator"
	"lovagedeck/pkg/tabulator"
)

const (
	usualLoad      = 0.7
	stragglerEvery = 100
	stragglerSlow  = 10.0
)

type experiment struct {
	name  string
	about string
	run   func(e *environment) error
}

var experiments = []experiment{
	{"steady", "70% of the capacity of the leafs", runSteady},
	{"stragglers", "1% of the leafs ten times slower, then others", runStragglers},
	{"replica-loss", "two of three replicas of every shard lost", runReplicaLoss},
	{"cold-start", "one leaf, then a data centre starts cold, then leafs turn cold unannounced", runColdStart},
	{"data-centre-out-in", "a data centre is taken out and brought back", runDataCentre},
	{"overload", "1, 1.5 and 3 times the capacity of the leafs", runOverload},
	{"versions", "a new index every two seconds, then a repartition", runVersions},
	{"entry-loss", "one owner killed, then two at once", runEntryLoss},
	{"control-cut", "each control instance silently isolated in turn", runControlCut},
	{"lagging-health", "leafs leave and die while the platform's list still has them", runLaggingHealth},
	{"everything", "stragglers, a data centre out, an owner killed, leafs cold and a new index together", runEverything},
}

// Experiments returns the names and purposes of the experiments in order.
func Experiments() [][2]string {
	list := make([][2]string, 0, len(experiments))
	for _, e := range experiments {
		list = append(list, [2]string{e.name, e.about})
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
	return e.load("steady", usualLoad, 8*time.Second)
}

func runStragglers(e *environment) error {
	e.slowEvery(0, stragglerSlow)
	if err := e.load("still", usualLoad, 8*time.Second); err != nil {
		return err
	}
	return e.load("moving", usualLoad, 8*time.Second,
		step{2 * time.Second, "other leafs are slow", func() error { e.slowEvery(7, stragglerSlow); return nil }},
		step{5 * time.Second, "other leafs are slow", func() error { e.slowEvery(31, stragglerSlow); return nil }})
}

func runReplicaLoss(e *environment) error {
	centres := e.shape.DataCentres
	return e.load("losing", 0.2, 12*time.Second,
		step{2 * time.Second, "all leafs in " + centres[2] + " are lost", func() error { e.stopAll(centres[2]); return nil }},
		step{7 * time.Second, "all leafs in " + centres[1] + " are lost", func() error { e.stopAll(centres[1]); return nil }})
}

func runColdStart(e *environment) error {
	centre := e.shape.DataCentres[1]
	return e.load("cold", 0.4, 14*time.Second,
		step{2 * time.Second, "one leaf starts again", func() error { return e.fleet.Leafs()[0].Restart() }},
		step{4 * time.Second, "all leafs in " + centre + " start again", func() error { return e.restartAll(centre) }},
		step{10 * time.Second, "every tenth leaf turns cold unannounced", func() error { e.turnCold(); return nil }})
}

func runDataCentre(e *environment) error {
	centre := e.shape.DataCentres[1]
	return e.load("out and in", usualLoad*2/3, 14*time.Second,
		step{2 * time.Second, "take " + centre + " out", func() error { return e.setDataCentre(centre, tabulator.StateOut) }},
		step{8 * time.Second, "bring " + centre + " back", func() error { return e.setDataCentre(centre, tabulator.StateIn) }})
}

func runOverload(e *environment) error {
	for _, phase := range []struct {
		name  string
		share float64
	}{{"1x", 1}, {"1.5x", 1.5}, {"3x", 3}} {
		if err := e.load(phase.name, phase.share, 8*time.Second); err != nil {
			return err
		}
	}
	return nil
}

func runVersions(e *environment) error {
	index := e.shape.Name
	publish := func() error { e.fleet.Publish(index, true); return nil }
	return e.load("new versions", usualLoad*2/3, 12*time.Second,
		step{2 * time.Second, "a new version", publish},
		step{4 * time.Second, "a new version", publish},
		step{6 * time.Second, "a new version replaces the present one at once", func() error { e.fleet.Publish(index, false); return nil }},
		step{9 * time.Second, "a repartitioned version", func() error { e.fleet.Repartition(index); return nil }})
}

func runEntryLoss(e *environment) error {
	last := e.tier.Size() - 1
	return e.load("losing owners", usualLoad*2/3, 14*time.Second,
		step{2 * time.Second, "kill one instance", func() error { e.tier.Kill(last); return nil }},
		step{8 * time.Second, "kill two instances", func() error { e.tier.Kill(last - 1); e.tier.Kill(last - 2); return nil }})
}

func runControlCut(e *environment) error {
	var steps []step
	for i := range benchControl {
		name := e.tier.Settings(i).Instance
		at := time.Duration(2+5*i) * time.Second
		steps = append(steps,
			step{at, "isolate " + name, func() error { e.tier.Network().Isolate(name); return nil }},
			step{at + 3*time.Second, "heal " + name, func() error { e.tier.Network().Heal(name); return nil }})
	}
	return e.load("cutting", usualLoad*2/3, 18*time.Second, steps...)
}

func runLaggingHealth(e *environment) error {
	return e.load("lagging", usualLoad*2/3, 12*time.Second,
		step{2 * time.Second, "every tenth leaf leaves, the list does not say so", func() error { e.leave(); return nil }},
		step{5 * time.Second, "they are gone, the list does not say so", func() error { e.stopLeaving(); return nil }})
}

func runEverything(e *environment) error {
	centre := e.shape.DataCentres[2]
	last := e.tier.Size() - 1
	e.slowEvery(3, stragglerSlow)
	return e.load("everything", 0.35, 20*time.Second,
		step{2 * time.Second, "take " + centre + " out", func() error { return e.setDataCentre(centre, tabulator.StateOut) }},
		step{5 * time.Second, "kill one instance", func() error { e.tier.Kill(last); return nil }},
		step{8 * time.Second, "every tenth leaf turns cold unannounced", func() error { e.turnCold(); return nil }},
		step{10 * time.Second, "a new version", func() error { e.fleet.Publish(e.shape.Name, true); return nil }},
		step{12 * time.Second, "bring " + centre + " back", func() error { return e.setDataCentre(centre, tabulator.StateIn) }},
		step{15 * time.Second, "isolate a control instance", func() error { e.tier.Network().Isolate(e.tier.Settings(0).Instance); return nil }})
}

// slowEvery makes every hundredth leaf, counted from an offset, slower and all others usual again.
func (e *environment) slowEvery(offset int, factor float64) {
	for i, leaf := range e.fleet.Leafs() {
		leaf.SetSlow(1)
		if i%stragglerEvery == offset {
			leaf.SetSlow(factor)
		}
	}
}

func (e *environment) stopAll(dataCentre string) {
	for _, leaf := range e.leafsIn(dataCentre) {
		leaf.Stop()
	}
}

func (e *environment) restartAll(dataCentre string) error {
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

func (e *environment) everyTenth() []*emulator.Leaf {
	var leafs []*emulator.Leaf
	for i, leaf := range e.fleet.Leafs() {
		if i%10 == 0 {
			leafs = append(leafs, leaf)
		}
	}
	return leafs
}

func (e *environment) turnCold() {
	for _, leaf := range e.everyTenth() {
		leaf.TurnCold()
	}
}

func (e *environment) leave() {
	for _, leaf := range e.everyTenth() {
		leaf.SetLeaving(true)
	}
}

func (e *environment) stopLeaving() {
	for _, leaf := range e.everyTenth() {
		leaf.Stop()
	}
}

func (e *environment) setDataCentre(name string, state tabulator.State) error {
	_, err := e.tier.SetDataCentre(name, state)
	if err == nil {
		e.fleet.TakeOut(name, state == tabulator.StateOut)
	}
	return err
}
