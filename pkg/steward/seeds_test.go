package steward

import (
	"net"
	"strconv"
	"testing"
	"time"

	"lovagedeck/pkg/lister"
)

// An entry instance whose control instances had all been replaced went back to the seeds of its start, although a reload had named others.
func TestEntryGoesBackToTheSeedsOfTheLastReload(t *testing.T) {
	c := newTestCluster(t, 6)
	c.start(0, 1, 2, 3, 4)
	c.putDocument(0, 7, "seven")
	entry := c.startEntry(func(string) (lister.Listing, error) { return lister.Listing{Calls: 1}, nil })
	defer entry.Shutdown()
	reloaded := c.settings[0]
	reloaded.SeedHosts = []string{c.settings[5].Host}
	entry.Reload(reloaded)
	// A renewal drops the address, since no voter has it.
	time.Sleep(time.Second)
	seed, err := net.Listen("tcp", net.JoinHostPort(c.settings[5].Host, strconv.Itoa(c.port)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = seed.Close() }()
	asked := make(chan struct{})
	go func() {
		if _, err := seed.Accept(); err == nil {
			close(asked)
		}
	}()
	c.stop()
	select {
	case <-asked:
	case <-time.After(10 * time.Second):
		t.Error("the seed of the last reload is not asked after the loss of all control instances")
	}
}
