package steward

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"lovagedeck/pkg/custodian"
)

// newCustodian returns the account of the clients of an instance.
func newCustodian(settings Settings, log logr.Logger, set *metrics.Set) *custodian.Custodian {
	startedAt := time.Now()
	return custodian.New(custodian.Config{
		Limits: settings.clientLimits(custodian.Descriptors()), Now: func() time.Duration { return time.Since(startedAt) }, Log: log, Metrics: set,
	})
}

// clientLimits returns what clients may hold together. The system allows the given number of descriptors, or any number if it is 0.
func (s Settings) clientLimits(systemDescriptors int) custodian.Limits {
	descriptors := systemDescriptors
	if s.MaxDescriptors > 0 && (descriptors == 0 || s.MaxDescriptors < descriptors) {
		descriptors = s.MaxDescriptors
	}
	return custodian.Limits{MemoryBytes: s.ClientMemoryBytes, Connections: s.MaxClientConnections}.WithDefaults(s.MemoryLimitBytes, descriptors)
}
