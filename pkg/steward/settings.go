package steward

import (
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/router"
)

type (
	// Settings are what an instance of the deployment is told.
	Settings struct {
		Cluster    string
		Instance   string
		DataCentre string
		// DataCentres are those that are known when the settings are written.
		DataCentres []string
		// Host is the address of the instance without a port.
		Host string
		// LinkPort is the port for calls between instances, the same on all of them.
		LinkPort int
		// LinkListen is where calls of other instances are taken, if that is not the link port of the host.
		LinkListen string
		// MetricsPort is the port of the metrics; 0 serves none.
		MetricsPort int
		// Callers, Readiness and Operators are listening addresses; one that is empty is not served.
		Callers   string
		Readiness string
		Operators string
		// SeedHosts are the hosts of some control instances, without ports.
		SeedHosts []string
		// Founding tells that the deployment starts for the first time, with empty disks.
		Founding bool
		// MemoryLimit is the memory beyond which the process is killed, in bytes; 0 is no limit.
		MemoryLimit int64
		// HeldBytes bounds the bodies of requests and answers that are held at one time; 0 is a part of MemoryLimit.
		HeldBytes int64
		// DataFolder holds the files of a control instance.
		DataFolder string
		// ToleratedLosses is how many control instances may lose their disks at once.
		ToleratedLosses int
		// RetryRatio and RetrySlack bound the repeated requests of a service within any RetryWindow, from all instances
		// together: a share of its requests, and a fixed number on top.
		RetryRatio  float64
		RetrySlack  float64
		RetryWindow time.Duration
		// Grace is the time between the request to stop and the kill.
		Grace time.Duration
		// DrainBound is the time after which a leaving leaf must get no more work; 0 is the default of three seconds.
		DrainBound time.Duration
		// ListRate is how many calls a second the list of leafs takes from all instances together.
		ListRate float64
	}

	// Decode reads a routing document.
	Decode func(version uint64, body []byte) (*router.Table, error)
)

// Check returns what is wrong with the settings, or nil.
func (s Settings) Check() error {
	switch {
	case s.Instance == "":
		return errors.New("settings: the instance has no name")
	case net.ParseIP(s.Host) == nil:
		return errors.Errorf("settings: the host %q is no address", s.Host)
	case s.LinkPort <= 0:
		return errors.New("settings: there is no port for calls between instances")
	case len(s.SeedHosts) == 0:
		return errors.New("settings: there is no seed")
	case s.HeldBytes < 0:
		return errors.New("settings: the memory for bodies is negative")
	case s.Operators != "" && s.DataFolder == "":
		return errors.New("settings: a control instance needs a data folder")
	}
	return nil
}

const (
	// heldShare is the part of the memory that bodies may take: the collector lets about as much garbage stand, and connections
	// and tables need the rest.
	heldShare = 0.125
	// defaultDrainBound holds where the settings name none.
	defaultDrainBound = 3 * time.Second
	// listShareOfDrain is the time between readings of the list of leafs, in drain bounds: handing a reading on takes up to
	// 0.8 s, two renewals, and as much again is left.
	listShareOfDrain = 0.4
	// ownListShareOfDrain is how old the list of leafs may be before an entry instance reads it itself, in drain bounds:
	// beyond the reading interval with the handing on, and within the bound.
	ownListShareOfDrain = 0.73
)

// heldBytes returns the bound on the bodies that are held at one time, 0 where the memory has no limit.
func (s Settings) heldBytes() int64 {
	if s.HeldBytes > 0 {
		return s.HeldBytes
	}
	return int64(heldShare * float64(s.MemoryLimit))
}

func (s Settings) drainBound() time.Duration {
	if s.DrainBound > 0 {
		return s.DrainBound
	}
	return defaultDrainBound
}

// listInterval returns the time between readings of the list of leafs.
func (s Settings) listInterval() time.Duration {
	return time.Duration(listShareOfDrain * float64(s.drainBound()))
}

// ownListAfter returns how old the list of leafs may be before an entry instance reads it itself.
func (s Settings) ownListAfter() time.Duration {
	return time.Duration(ownListShareOfDrain * float64(s.drainBound()))
}

// linkAddress returns where a host takes calls of other instances.
func (s Settings) linkAddress(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(s.LinkPort))
}

// listenAddress returns where this instance takes calls of others.
func (s Settings) listenAddress() string {
	if s.LinkListen != "" {
		return s.LinkListen
	}
	return s.linkAddress(s.Host)
}

// seeds returns the addresses of the seeds for calls between instances.
func (s Settings) seeds() []string {
	addresses := make([]string, 0, len(s.SeedHosts))
	for _, host := range s.SeedHosts {
		addresses = append(addresses, s.linkAddress(host))
	}
	return addresses
}

// foundsCluster tells whether this instance is the one that begins the log: the first seed.
func (s Settings) foundsCluster() bool {
	return s.Founding && len(s.SeedHosts) > 0 && s.SeedHosts[0] == s.Host
}
