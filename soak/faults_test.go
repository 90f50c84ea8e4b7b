package soak

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// faultKind is a kind of fault, with the function that injects one of them.
type faultKind struct {
	name   string
	inject func()
}

// faultInjector injects faults of random kinds, which may overlap, into one run.
type faultInjector struct {
	deployment       *deployment
	traffic          *traffic
	random           *rand.Rand
	kindCount        int
	only             string
	injected         []string
	wipedAt          map[*process]time.Time
	outOfServiceZone string
	orders           zoneLocks
	rollouts         rollouts
	// nextStopAt is when the next series of planned stops may begin.
	nextStopAt time.Time
	// disksFullUntil is when the last disk of a series has room again.
	disksFullUntil time.Time
	// clearing guards the faults of scheduleFault. None is injected once isCleared is set.
	clearing  sync.Mutex
	isCleared bool
}

func (f *faultInjector) run(duration time.Duration) {
	kinds := []faultKind{
		{"kill entry", func() { f.randomEntry().signal(syscall.SIGKILL) }},
		{"terminate entry", func() { f.terminate(f.randomEntry()) }},
		{"pause entry", func() { f.pause(f.randomEntry()) }},
		{"kill control", func() { f.randomControl().signal(syscall.SIGKILL) }},
		{"kill all controls", f.killAllControls},
		{"terminate control", func() { f.terminate(f.randomControl()) }},
		{"pause control", func() { f.pause(f.randomControl()) }},
		{"wipe disk", func() { f.wipeDisk(f.randomControl()) }},
		{"wipe disks after acknowledgement", f.wipeDisksAfterAcknowledgement},
		{"torn log write", f.appendTornWrite},
		{"impair link", func() {
			f.impairLink([]proxyMode{modeBlock, modeBlockRequests, modeBlockResponses, modeDelay}[f.random.IntN(4)])
		}},
		{"reset link", func() { f.randomControl().linkProxy.resetConnections() }},
		{"reload", func() { f.randomEntry().signal(syscall.SIGHUP) }},
		{"crash leaf", f.crashLeaf},
		{"drain leaf", f.drainLeaf},
		{"leaf fault", f.makeLeafFail},
		{"impair leaf link", f.impairLeafLink},
		{"toggle data centre", f.toggleDataCentre},
		{"many documents", f.putManyDocuments},
		// New kinds are added at the end, so that the seeds of regressionSeeds still draw the same faults.
		{"read during partition", f.readDuringPartition},
		{"endless leaf bodies", f.makeLeafsEndless},
		{"rate limits", f.limitLeafs},
		{"invalid rate limits", f.stateInvalidRates},
		{"data centre orders", f.orderDataCentres},
		{"cut entries off leafs", f.cutEntriesOff},
		{"leafs rest", f.restLeafs},
		{"leafs state leaving", f.stateLeaving},
		{"roll entries", f.rollEntries},
		{"stop most entries", f.stopMostEntries},
		{"full disks in turn", f.fillDisksInTurn},
		{"cut helpers off", f.cutHelpersOff},
		{"roll-outs", f.rollOut},
		{"move key", f.moveKey},
		{"change allowance", f.changeAllowance},
		{"broken answers", f.breakAnswers},
	}
	if f.kindCount > 0 {
		kinds = kinds[:f.kindCount]
	} else if f.only != "" {
		names := strings.Split(f.only, ",")
		kinds = slices.DeleteFunc(kinds, func(kind faultKind) bool { return !slices.Contains(names, kind.name) })
	}
	if (f.kindCount == 0 || f.kindCount >= kindCountWithOrders) && f.random.IntN(2) == 0 {
		f.orderDataCentres()
	}
	for end := time.Now().Add(duration); time.Now().Before(end); {
		kind := kinds[f.random.IntN(len(kinds))]
		f.injected = append(f.injected, kind.name)
		kind.inject()
		time.Sleep(time.Duration(f.random.Int64N(int64(600 * time.Millisecond))))
	}
	f.clearFaults()
}

// clearFaults ends every fault that is still active.
func (f *faultInjector) clearFaults() {
	f.clearing.Lock()
	defer f.clearing.Unlock()
	f.isCleared = true
	for _, p := range f.deployment.processes {
		p.signal(syscall.SIGCONT)
		if p.linkProxy != nil {
			p.linkProxy.setMode(modeForward)
			p.orderProxy.setMode(modeForward)
		}
	}
	for _, p := range f.deployment.entries() {
		f.cutOff(p, "")
	}
	for _, p := range f.deployment.controls() {
		f.deployment.setDisk(p, diskWorks)
	}
	for _, l := range f.deployment.fleet.all() {
		l.setFault("")
		l.proxy.setMode(modeForward)
	}
}

func (f *faultInjector) randomEntry() *process {
	return f.deployment.entries()[f.random.IntN(*entryCount)]
}

func (f *faultInjector) randomControl() *process {
	return f.deployment.controls()[f.random.IntN(controlCount)]
}

func (f *faultInjector) schedule(delay time.Duration, action func()) { time.AfterFunc(delay, action) }

// scheduleFault injects a fault, or ends one, after the delay. It does nothing once the faults have been cleared.
func (f *faultInjector) scheduleFault(delay time.Duration, inject func()) {
	f.schedule(delay, func() {
		f.clearing.Lock()
		defer f.clearing.Unlock()
		if !f.isCleared {
			inject()
		}
	})
}

func (f *faultInjector) shortDuration() time.Duration {
	return 200*time.Millisecond + time.Duration(f.random.Int64N(int64(2*time.Second)))
}

// longDuration returns a random time that may exceed staleReadLimit, so that stale reads can show.
func (f *faultInjector) longDuration() time.Duration {
	return time.Second + time.Duration(f.random.Int64N(int64(staleReadLimit+4*time.Second)))
}

func (f *faultInjector) terminate(p *process) {
	p.signal(syscall.SIGTERM)
	run := p.currentRun()
	f.schedule(gracePeriod, func() { p.signalRun(run, syscall.SIGKILL) })
}

func (f *faultInjector) pause(p *process) {
	p.signal(syscall.SIGSTOP)
	f.schedule(f.shortDuration(), func() { p.signal(syscall.SIGCONT) })
}

func (f *faultInjector) killAllControls() {
	for _, p := range f.deployment.controls() {
		p.signal(syscall.SIGKILL)
	}
}

// wipeDisksAfterAcknowledgement kills every control instance right after a document was acknowledged, and wipes two disks.
func (f *faultInjector) wipeDisksAfterAcknowledgement() {
	if !f.traffic.putDocument(f.random) {
		return
	}
	f.killAllControls()
	first := f.random.IntN(controlCount)
	f.wipeDisk(f.deployment.controls()[first])
	f.wipeDisk(f.deployment.controls()[(first+1+f.random.IntN(controlCount-1))%controlCount])
}

// wipeDisk kills a control instance and wipes its disk. It does nothing if the instance or two others were wiped recently,
// since the deployment tolerates the loss of two machines.
func (f *faultInjector) wipeDisk(p *process) {
	recentlyWiped := 0
	for _, wipedAt := range f.wipedAt {
		if time.Since(wipedAt) < catchUpTime+settleTime {
			recentlyWiped++
		}
	}
	if recentlyWiped >= 2 || time.Since(f.wipedAt[p]) < catchUpTime+settleTime {
		return
	}
	f.wipedAt[p] = time.Now()
	p.recordWipe()
	f.deployment.writeSettings(p, false)
	p.killThen(func() {
		if err := os.RemoveAll(filepath.Join(p.dataDir, "log")); err != nil {
			f.deployment.t.Errorf("wipe the disk of %s: %v", p.name, err)
		}
	})
}

// appendTornWrite kills a control instance and appends random bytes to its log, as an unsynced write can leave them.
func (f *faultInjector) appendTornWrite() {
	p := f.randomControl()
	garbage := make([]byte, f.random.IntN(60_000))
	for i := range garbage {
		garbage[i] = byte(f.random.IntN(256))
	}
	p.killThen(func() {
		if err := appendToLog(filepath.Join(p.dataDir, "log"), garbage); err != nil {
			f.deployment.t.Errorf("append to the log of %s: %v", p.name, err)
		}
	})
}

// appendToLog appends to the newest log file in the folder, if there is one.
func appendToLog(folder string, garbage []byte) error {
	files, err := filepath.Glob(filepath.Join(folder, "log-*"))
	if err != nil || len(files) == 0 {
		return err
	}
	file, err := os.OpenFile(files[len(files)-1], os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err := file.Write(garbage); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func (f *faultInjector) impairLink(mode proxyMode) {
	p := f.randomControl()
	p.recordFault()
	p.linkProxy.setMode(mode)
	f.schedule(f.longDuration(), func() { p.linkProxy.setMode(modeForward) })
}

// readDuringPartition partitions a control instance for longer than staleReadLimit and then reads from it, to find stale
// reads.
func (f *faultInjector) readDuringPartition() {
	const reads, pause = 6, 200 * time.Millisecond
	p := f.randomControl()
	p.recordFault()
	p.linkProxy.setMode(modeBlock)
	for i := range reads {
		f.schedule(staleReadLimit+time.Second+time.Duration(i)*pause, func() { f.traffic.readDocument(p) })
	}
	f.schedule(staleReadLimit+time.Second+reads*pause, func() { p.linkProxy.setMode(modeForward) })
}

// randomLeaf picks a leaf, half of the time one whose requests must be executed at most once.
func (f *faultInjector) randomLeaf() *leaf {
	leafs := f.deployment.fleet.all()
	if nonIdempotent := f.deployment.fleet.byService("once"); len(nonIdempotent) > 0 && f.random.IntN(2) == 0 {
		leafs = nonIdempotent
	}
	return leafs[f.random.IntN(len(leafs))]
}

// crashLeaf stops a leaf, starts a replacement and starts a leaf of a random service on the old address, so that requests to
// that address can reach the wrong leaf.
func (f *faultInjector) crashLeaf() {
	removed := f.randomLeaf()
	address := f.deployment.fleet.remove(removed)
	f.startReplacement(removed)
	service := shardNames[f.random.IntN(len(shardNames))]
	_, _ = f.deployment.fleet.add(service, removed.zone, address)
}

// drainLeaf starts a replacement of a leaf, marks the leaf as draining and stops it 2 s after drainLimit.
func (f *faultInjector) drainLeaf() {
	drained := f.randomLeaf()
	f.startReplacement(drained)
	drained.drain()
	f.schedule(drainLimit+2*time.Second, func() { f.deployment.fleet.remove(drained) })
}

func (f *faultInjector) startReplacement(replaced *leaf) {
	if _, err := f.deployment.fleet.addVersion(replaced.service, replaced.zone, "", replaced.version, replaced.flaw); err != nil {
		f.deployment.t.Errorf("replace a leaf: %v", err)
	}
}

func (f *faultInjector) makeLeafFail() {
	l := f.randomLeaf()
	l.setFault([]string{"shed", "slow", "hang", "lose", "fail", "truncate"}[f.random.IntN(6)])
	f.schedule(f.shortDuration(), func() { l.setFault("") })
}

// makeLeafsEndless makes all leafs of a shard send bodies that never end.
func (f *faultInjector) makeLeafsEndless() {
	leafs := f.deployment.fleet.byService(shardNames[f.random.IntN(len(shardNames))])
	for _, l := range leafs {
		l.setFault("endless")
	}
	f.schedule(f.shortDuration(), func() {
		for _, l := range leafs {
			l.setFault("")
		}
	})
}

func (f *faultInjector) impairLeafLink() {
	l := f.randomLeaf()
	if f.random.IntN(3) == 0 {
		l.resetConnections()
		return
	}
	l.proxy.setMode([]proxyMode{modeBlock, modeBlockRequests, modeBlockResponses, modeDelay}[f.random.IntN(4)])
	f.schedule(f.shortDuration(), func() {
		l.proxy.setMode(modeForward)
		f.deployment.checker.restartRateLimit(l.id)
	})
}

// toggleDataCentre takes a data centre out of service, or puts the one that is out of service back.
func (f *faultInjector) toggleDataCentre() {
	p := f.randomControl()
	zone := f.outOfServiceZone
	if zone == "" {
		zone = string("abc"[f.random.IntN(3)])
	}
	if !f.orders.tryLock(zone) {
		return
	}
	defer f.orders.unlock(zone)
	isOut := f.outOfServiceZone == ""
	if !isOut {
		f.deployment.checker.recordOutOfService(zone, false)
	}
	if !f.traffic.post(p, orderPath(isOut)+zone, "") {
		return
	}
	f.outOfServiceZone = ""
	if isOut {
		f.deployment.checker.recordOutOfService(zone, true)
		f.outOfServiceZone = zone
	}
}

func (f *faultInjector) putManyDocuments() {
	for range 5 + f.random.IntN(15) {
		if !f.traffic.putDocument(f.random) {
			return
		}
	}
}
