package steward

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"lovagedeck/pkg/controller"
	"lovagedeck/pkg/gatekeeper"
	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/lister"
	"lovagedeck/pkg/router"
	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/timeliner"
)

// core is five control instances on loopback addresses that know three seeds.
type core struct {
	t        *testing.T
	folder   string
	port     int
	settings []Settings
	running  []*Control
	// listFails makes the reading of the list fail at every control instance.
	listFails atomic.Bool
}

// nextNet keeps the addresses of tests in one process apart.
var nextNet atomic.Int64

func newCore(t *testing.T, size int) *core {
	t.Helper()
	c := &core{t: t, folder: t.TempDir(), port: freePort(t), running: make([]*Control, size)}
	network := nextNet.Add(1)
	host := func(i int) string { return fmt.Sprintf("127.0.%d.%d", 50+network, i+1) }
	for i := range size {
		c.settings = append(c.settings, Settings{
			Cluster: "test", Instance: fmt.Sprint("control-", i), DataCentre: "a", Host: host(i), LinkPort: c.port,
			Operators: "unused", SeedHosts: []string{host(0), host(1), host(2)}, Founding: true,
			DataFolder: filepath.Join(c.folder, fmt.Sprint(i)), ToleratedLosses: 2,
		})
	}
	t.Cleanup(func() { c.stop() })
	return c
}

func freePort(t *testing.T) int {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

func (c *core) start(members ...int) {
	c.t.Helper()
	list := func(string) ([]lister.RosterLeaf, int, error) {
		if c.listFails.Load() {
			return nil, 1, fmt.Errorf("the list cannot be read")
		}
		return []lister.RosterLeaf{{ID: "leaf-1", Service: "s", DataCentre: "a", Address: "127.0.0.1:1", Slots: 2}}, 1, nil
	}
	for _, i := range members {
		if err := os.MkdirAll(c.settings[i].DataFolder, 0o700); err != nil {
			c.t.Fatal(err)
		}
		control, err := NewControl(c.settings[i], list, logr.Discard())
		if err != nil {
			c.t.Fatal(err)
		}
		c.running[i] = control
	}
}

// awaitFirstReading waits until the list was read, within the time in which a leaving leaf is left.
func (c *core) awaitFirstReading(reads *atomic.Int64) {
	c.t.Helper()
	begun := time.Now()
	c.eventually("it reads the list", func() error {
		if reads.Load() == 0 {
			return fmt.Errorf("no reading")
		}
		return nil
	})
	if took := time.Since(begun); took > 3*time.Second {
		c.t.Errorf("the first reading came after %v, want 3s", took)
	}
}

// readyEntry starts an entry instance with the given list of leafs and waits until it takes callers.
func (c *core) readyEntry(list List) *Entry {
	c.t.Helper()
	settings := c.settings[0]
	settings.Instance, settings.Callers, settings.Grace, settings.ListRate = "entry-1", "127.0.0.1:0", time.Second, 40
	// Both roles take calls of other instances at the link port.
	settings.Host = strings.TrimSuffix(settings.Host, ".1") + ".200"
	decode := func(version uint64, _ []byte) (*router.Table, error) {
		return router.Build(version, nil, nil, router.Limits{})
	}
	entry, err := NewEntry(settings, gatekeeper.Headers{}, decode, list, logr.Discard())
	if err != nil {
		c.t.Fatal(err)
	}
	c.eventually("the entry instance is ready", func() error {
		if !entry.Ready() {
			return fmt.Errorf("not ready")
		}
		return nil
	})
	return entry
}

func (c *core) stop(members ...int) {
	if len(members) == 0 {
		members = []int{0, 1, 2, 3, 4}
	}
	for _, i := range members {
		if i < len(c.running) && c.running[i] != nil {
			c.running[i].Close()
			c.running[i] = nil
		}
	}
}

func (c *core) wipe(members ...int) {
	c.t.Helper()
	for _, i := range members {
		if err := os.RemoveAll(c.settings[i].DataFolder); err != nil {
			c.t.Fatal(err)
		}
	}
	for i := range c.settings {
		c.settings[i].Founding = false
	}
}

// put sends a document to one instance until it is acknowledged.
func (c *core) put(at int, version uint64, body string) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("put version %d", version), func() error {
		return c.running[at].PutDocument(version, []byte(body))
	})
}

func (c *core) expect(at int, version uint64, body string) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("read version %d", version), func() error {
		got, content, err := c.running[at].Document()
		if err != nil {
			return err
		}
		if got != version || string(content) != body {
			c.t.Fatalf("instance %d has version %d %q, want %d %q", at, got, content, version, body)
		}
		return nil
	})
}

func (c *core) eventually(what string, try func() error) {
	c.t.Helper()
	var err error
	for range 200 {
		if err = try(); err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("%s: %v", what, err)
}

func (c *core) voters(at int) map[string]bool {
	client := controller.NewClient(controller.ClientConfig{
		Addresses: []string{c.settings[at].linkAddress(c.settings[at].Host)}, Linker: linker.New(linker.NewSecret("test", nil)),
		Now: func() time.Duration { return 0 }, Random: rand.New(rand.NewPCG(1, 1)), Timeline: timeliner.New("test", time.Now),
	})
	defer client.Close()
	voters := map[string]bool{}
	for _, status := range client.Statuses() {
		for _, id := range status.Status.Config.Voters {
			voters[string(id)] = true
		}
	}
	return voters
}

func TestFiveInstancesFindEachOtherThroughThreeSeeds(t *testing.T) {
	c := newCore(t, 5)
	c.start(4, 3, 2, 1, 0)
	c.put(3, 7, "seven")
	for i := range c.running {
		c.expect(i, 7, "seven")
	}
	if voters := c.voters(0); len(voters) != 5 {
		t.Errorf("%d voters after the first acknowledgement, want 5", len(voters))
	}
	c.put(1, 5, "an older version is accepted and changes nothing")
	c.put(2, 7, "other content of the same version changes nothing")
	c.expect(4, 7, "seven")
}

func TestAcknowledgedDocumentSurvivesTwoLostDisksAndAPowerLoss(t *testing.T) {
	c := newCore(t, 5)
	c.start(0, 1, 2, 3, 4)
	c.put(0, 7, "seven")
	c.put(0, 8, "eight")
	before := c.voters(1)
	c.stop()
	c.wipe(0, 2)
	c.start(0, 1, 2, 3, 4)
	c.expect(0, 8, "eight")
	c.put(2, 9, "nine")
	c.eventually("the lost disks are replaced", func() error {
		voters, kept := c.voters(1), 0
		for id := range voters {
			if before[id] {
				kept++
			}
		}
		if len(voters) != 5 || kept != 3 {
			return fmt.Errorf("%d voters, %d of them with their old disk", len(voters), kept)
		}
		return nil
	})
	c.stop()
	c.wipe(1, 3)
	c.start(0, 1, 2, 3, 4)
	c.expect(1, 9, "nine")
}

func TestReplacedInstanceTakesTheVoteOfTheLostOne(t *testing.T) {
	c := newCore(t, 6)
	c.start(0, 1, 2, 3, 4)
	c.put(0, 7, "seven")
	c.stop(4)
	c.settings[5].Founding = false
	c.start(5)
	lost := c.settings[4].linkAddress(c.settings[4].Host)
	c.eventually("the newcomer votes and the lost one does not", func() error {
		voters := c.voters(1)
		if len(voters) != 5 {
			return fmt.Errorf("%d voters", len(voters))
		}
		for id := range voters {
			if len(id) > len(lost) && id[:len(lost)+1] == lost+"/" {
				return fmt.Errorf("%s still votes", id)
			}
		}
		return nil
	})
	c.expect(5, 7, "seven")
	c.stop(5)
}

func TestMinorityAnswersNothing(t *testing.T) {
	c := newCore(t, 5)
	c.start(0, 1, 2, 3, 4)
	c.put(0, 7, "seven")
	c.stop(0, 1, 2)
	c.eventually("the rest notices", func() error {
		if _, _, err := c.running[3].Document(); err == nil {
			return fmt.Errorf("two of five still answer")
		}
		return nil
	})
	if err := c.running[4].PutDocument(8, []byte("eight")); err == nil {
		t.Error("two of five accepted a document")
	}
}

func TestEntryInstancesLearnRoutesDataCentresAndLeafs(t *testing.T) {
	c := newCore(t, 5)
	c.start(0, 1, 2, 3, 4)
	c.put(0, 7, "seven")
	if err := c.running[1].TakeOut("b"); err != nil {
		t.Fatal(err)
	}
	views := make(chan *tabulator.View, 100)
	rosters := make(chan lister.Roster, 100)
	began := time.Now()
	client := controller.NewClient(controller.ClientConfig{
		Member: tabulator.MemberFields{Instance: "entry-1", Incarnation: 1, DataCentre: "a"}, Addresses: c.settings[0].seeds()[:1],
		Linker: linker.New(linker.NewSecret("test", nil)), Now: func() time.Duration { return time.Since(began) },
		Random: rand.New(rand.NewPCG(1, 1)), Timeline: timeliner.New("test", time.Now),
		OnView:   func(view *tabulator.View) { views <- view },
		OnRoster: func(roster lister.Roster) { rosters <- roster },
	})
	client.Run()
	defer client.Close()
	await(t, views, func(view *tabulator.View) bool {
		return view.Document().Version == 7 && view.DataCentre("b").State == tabulator.StateOut
	})
	await(t, rosters, func(roster lister.Roster) bool { return len(roster.Leafs) == 1 })
	// The seed that the instance was told goes; it learnt the others.
	c.stop(0)
	c.put(1, 8, "eight")
	await(t, views, func(view *tabulator.View) bool { return view.Document().Version == 8 })
}

func await[T any](t *testing.T, values chan T, good func(T) bool) {
	t.Helper()
	deadline := time.After(10 * time.Second)
	for {
		select {
		case value := <-values:
			if good(value) {
				return
			}
		case <-deadline:
			t.Fatal("it did not come within 10 s")
		}
	}
}

// All instances lost power: the first reading of a leader asks for all data centres at once.
func TestFirstReadingOfTheListIsByDataCentre(t *testing.T) {
	cases := []struct {
		name    string
		centres []string
		fails   string
		want    int
	}{
		{"two data centres", []string{"a", "b"}, "", 2},
		{"one part fails", []string{"a", "b"}, "b", 3},
		{"no data centre is known", nil, "", 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			control := &Control{settings: Settings{DataCentres: c.centres}, list: func(centre string) ([]lister.RosterLeaf, int, error) {
				switch {
				case centre != "" && centre == c.fails:
					return nil, 1, fmt.Errorf("refused")
				case centre == "":
					return make([]lister.RosterLeaf, 3), 2, nil
				}
				return make([]lister.RosterLeaf, 1), 1, nil
			}}
			leafs, _, err := control.listByDataCentre("")
			if err != nil || len(leafs) != c.want {
				t.Errorf("got %d leafs, %v, want %d", len(leafs), err, c.want)
			}
		})
	}
}

func TestDocumentKeepsItsBytes(t *testing.T) {
	for _, body := range []string{"", "{}", "x\x00\xff", string(make([]byte, 300_000))} {
		packed, err := compress([]byte(body))
		if err != nil {
			t.Fatal(err)
		}
		if got, err := expand(packed); err != nil || string(got) != body {
			t.Errorf("%d bytes became %d, %v", len(body), len(got), err)
		}
	}
	if _, err := expand([]byte("no deflated bytes")); err == nil {
		t.Error("other bytes were expanded")
	}
}

// An entry instance learns that a leaf leaves also where control instances hand on no list that was read lately.
func TestEntryInstanceReadsTheListItself(t *testing.T) {
	cases := []struct {
		name string
		// calm is how long control instances read the list before they no longer do.
		calm time.Duration
		lose func(c *core)
	}{
		{"control instances grant leases, but cannot read the list", 2 * defaultDrainBound, func(c *core) { c.listFails.Store(true) }},
		{"all control instances are gone", 0, func(c *core) { c.stop() }},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			c := newCore(t, 5)
			c.start(0, 1, 2, 3, 4)
			c.put(0, 7, "seven")
			var reads atomic.Int64
			entry := c.readyEntry(func(string) ([]lister.RosterLeaf, int, error) {
				reads.Add(1)
				return nil, 1, nil
			})
			defer entry.Shutdown()
			time.Sleep(k.calm)
			if reads.Load() != 0 {
				t.Error("it read the list while control instances handed it on")
			}
			k.lose(c)
			c.awaitFirstReading(&reads)
		})
	}
}
