package steward

import (
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/apportioner"
	"lovagedeck/pkg/journaler"
	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/placer"
	"lovagedeck/pkg/promoter"
	"lovagedeck/pkg/rationer"
	"lovagedeck/pkg/router"
)

type (
	// Settings are the settings of one entry or control instance, as read from the settings file of the platform.
	Settings struct {
		// Cluster is the name of the cluster. Instances accept calls only from instances of the same cluster.
		Cluster    string
		Instance   string
		DataCentre string
		// DataCentres are the names of the data centres that are known when the settings file is written.
		DataCentres []string
		// Host is the IP address of the instance.
		Host string
		// PeerPort is the port for calls between instances. It is the same on all instances.
		PeerPort int
		// PeerListenAddress is the address on which a control instance accepts calls of other instances, if it is not
		// PeerPort of Host.
		PeerListenAddress string
		// MetricsPort is the port on which metrics are served, or 0 for none.
		MetricsPort int
		// CallerAddress, ReadinessAddress and OperatorAddress are the listen addresses for callers' requests, readiness probes
		// and operators' calls. An empty readiness or operator address is not served.
		CallerAddress    string
		ReadinessAddress string
		OperatorAddress  string
		// SeedHosts are the hosts of some control instances, without ports.
		SeedHosts []string
		// IsBootstrap reports whether the deployment starts for the first time, with empty disks.
		IsBootstrap bool
		// MemoryLimitBytes is the memory use above which the process is killed, or 0 for no limit.
		MemoryLimitBytes int64
		// BodyMemoryBytes is the limit on the memory for bodies of requests and answers. 0 means a fixed share of
		// MemoryLimitBytes.
		BodyMemoryBytes int64
		// MaxDescriptors is the number of descriptors that the process may have open, or 0 for the limit of the system alone.
		MaxDescriptors int
		// ClientMemoryBytes limits the memory that connections of clients and other instances and the messages in part on them may hold. 0
		// means a fixed share of MemoryLimitBytes.
		ClientMemoryBytes int64
		// MaxClientConnections limits the connections of clients and other instances. 0 means a fixed share of the descriptors.
		MaxClientConnections int
		// DataFolder is the folder of the files of a control instance.
		DataFolder string
		// ToleratedDiskLosses is the number of control instances that may lose their disks at once without loss of data.
		ToleratedDiskLosses int
		// RetryBudgetRatio and RetryBudgetSlack limit the retries and hedges to a service from all instances together. Within
		// any RetryBudgetWindow these may reach RetryBudgetRatio times the requests to the service, plus RetryBudgetSlack.
		RetryBudgetRatio  float64
		RetryBudgetSlack  float64
		RetryBudgetWindow time.Duration
		// AllowanceWindow, AllowanceOvershoot and AllowanceSlack are how far the requests of a tenant may exceed its allowance: within
		// any window by the overshoot, as a share of the limit, plus the slack, in requests. A window of 0 means 5 s.
		AllowanceWindow    time.Duration
		AllowanceOvershoot float64
		AllowanceSlack     float64
		// GracePeriod is the time between the request to stop the process and its kill.
		GracePeriod time.Duration
		// MaxDrainDelay is the time after which a draining leaf must not get new requests, or 0 for the default of 3 s.
		MaxDrainDelay time.Duration
		// ListCallsPerSecond is the rate limit of the platform for calls that fetch the list of leafs, for all instances
		// together. 0 means no limit.
		ListCallsPerSecond float64
		// PlacementMode says where leafs are compared by the work that they still have to do.
		PlacementMode placer.Mode
		// ExposureShare and ExposureSlack limit the requests that a new version gets before it is known to be good, as a share of
		// the requests to the service and as a number. 0 means the defaults.
		ExposureShare float64
		ExposureSlack float64
		// ResendTime is the time for which operators send an order again, or 0 for the default.
		ResendTime time.Duration
		// DialLeaf opens connections to leafs within the timeout. If nil, they are opened with TCP.
		DialLeaf func(address string, timeout time.Duration) (net.Conn, error)
		// CreateJournal creates the journal files of a control instance. If nil, they are created in DataFolder.
		CreateJournal journaler.CreateFunc
	}

	// DecodeFunc builds the routing table of a routing document. It returns an error if the document is invalid or has
	// another version.
	DecodeFunc func(version uint64, body []byte) (*router.Table, error)
)

// ParsePlacementMode returns the mode of the setting placement-by-work: auto, on, off, or empty for auto.
func ParsePlacementMode(text string) (placer.Mode, error) { return placer.ParseMode(text) }

// Check returns an error that describes the first invalid setting, or nil.
func (s Settings) Check() error {
	switch {
	case s.Instance == "":
		return errors.New("settings: the instance has no name")
	case net.ParseIP(s.Host) == nil:
		return errors.Errorf("settings: the host %q is not an IP address", s.Host)
	case s.PeerPort <= 0:
		return errors.New("settings: the port for calls between instances is missing")
	case len(s.SeedHosts) == 0:
		return errors.New("settings: the list of seeds is empty")
	case s.AllowanceWindow < 0 || s.AllowanceOvershoot < 0 || s.AllowanceSlack < 0:
		return errors.New("settings: a bound of the allowances of tenants is negative")
	case s.BodyMemoryBytes < 0:
		return errors.New("settings: the memory limit for bodies is negative")
	case s.ClientMemoryBytes < 0:
		return errors.New("settings: the memory limit for connections of clients is negative")
	case s.MaxClientConnections < 0 || s.MaxDescriptors < 0:
		return errors.New("settings: the limit on connections or descriptors is negative")
	case s.OperatorAddress != "" && s.DataFolder == "":
		return errors.New("settings: a control instance needs a data folder")
	}
	return nil
}

// dialLeaf returns the function that opens connections to leafs.
func (s Settings) dialLeaf() func(address string, timeout time.Duration) (net.Conn, error) {
	if s.DialLeaf != nil {
		return s.DialLeaf
	}
	return linker.DialTCP
}

const (
	// defaultMaxDrainDelay applies if the settings contain none.
	defaultMaxDrainDelay = 3 * time.Second
	// listIntervalShare is the interval at which the list of leafs is fetched, as a share of the maximum drain delay.
	// Distributing the list to all entry instances takes up to 0.8 s, which is two lease renewals, and as much again remains as
	// a margin.
	listIntervalShare = 0.4
	// fallbackListAgeShare is the age of the list of leafs at which an entry instance fetches it itself, as a share of the
	// maximum drain delay. It is larger than the list interval plus the time of the distribution, and smaller than the delay.
	fallbackListAgeShare = 0.73
	// defaultExposureShare, defaultExposureSlack and defaultResendTime apply if the settings contain none.
	defaultExposureShare = 0.1
	defaultExposureSlack = 50
	defaultResendTime    = 10 * time.Second
	// resendMargin is the multiple of the resend time for which a copy of an order that has ended does not start it again.
	resendMargin = 2
)

// promotion returns the bounds of roll-outs.
func (s Settings) promotion() promoter.Settings {
	bounds := promoter.Settings{ExposureShare: s.ExposureShare, ExposureSlack: s.ExposureSlack}
	if bounds.ExposureShare <= 0 || bounds.ExposureShare > 1 {
		bounds.ExposureShare = defaultExposureShare
	}
	if bounds.ExposureSlack <= 0 {
		bounds.ExposureSlack = defaultExposureSlack
	}
	return bounds
}

// resendWindow returns the time after an order within which the same order counts as a copy of it.
func (s Settings) resendWindow() time.Duration {
	if s.ResendTime > 0 {
		return resendMargin * s.ResendTime
	}
	return resendMargin * defaultResendTime
}

// bodyMemoryBytes returns the limit on the memory for bodies, or 0 if the settings contain no limit.
func (s Settings) bodyMemoryBytes() int64 {
	if s.BodyMemoryBytes > 0 {
		return s.BodyMemoryBytes
	}
	return apportioner.Bodies(s.MemoryLimitBytes)
}

func (s Settings) maxDrainDelay() time.Duration {
	if s.MaxDrainDelay > 0 {
		return s.MaxDrainDelay
	}
	return defaultMaxDrainDelay
}

// listInterval returns the shortest time between two fetches of the list of leafs.
func (s Settings) listInterval() time.Duration {
	return time.Duration(listIntervalShare * float64(s.maxDrainDelay()))
}

// fallbackListAge returns the age of the list of leafs at which an entry instance fetches it itself.
func (s Settings) fallbackListAge() time.Duration {
	return time.Duration(fallbackListAgeShare * float64(s.maxDrainDelay()))
}

// allowanceBounds returns how far the requests of a tenant may exceed its allowance.
func (s Settings) allowanceBounds() rationer.Bounds {
	return rationer.Bounds{Window: s.AllowanceWindow, Overshoot: s.AllowanceOvershoot, Slack: s.AllowanceSlack}
}

// peerAddress returns the address of the instance on host for calls of other instances.
func (s Settings) peerAddress(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(s.PeerPort))
}

// peerListenAddress returns the address on which this control instance accepts calls of other instances.
func (s Settings) peerListenAddress() string {
	if s.PeerListenAddress != "" {
		return s.PeerListenAddress
	}
	return s.peerAddress(s.Host)
}

// seedAddresses returns the addresses of the seeds for calls between instances.
func (s Settings) seedAddresses() []string {
	addresses := make([]string, 0, len(s.SeedHosts))
	for _, host := range s.SeedHosts {
		addresses = append(addresses, s.peerAddress(host))
	}
	return addresses
}

// bootstrapsCluster reports whether this instance creates the replicated log when the deployment starts for the first time. This
// is the task of the first seed.
func (s Settings) bootstrapsCluster() bool {
	return s.IsBootstrap && len(s.SeedHosts) > 0 && s.SeedHosts[0] == s.Host
}
