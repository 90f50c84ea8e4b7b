package runner

import (
	"math/rand/v2"
	"os"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/configurer"
	"lovagedeck/pkg/controller"
	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/timeliner"
)

// CheckNewCluster returns an error if another control instance of the settings already has log entries. Control
// instances that do not answer are not checked.
func CheckNewCluster(settings configurer.Settings) error {
	clusterKey, err := os.ReadFile(settings.ResolvePath(settings.KeyFile))
	if err != nil {
		return errors.Wrap(err, "check for an existing cluster: read key-file")
	}
	var addresses []string
	for _, member := range settings.Control {
		if member.Instance != settings.Instance {
			addresses = append(addresses, member.PeerAddress)
		}
	}
	startedAt := time.Now()
	client := controller.NewClient(controller.ClientConfig{
		Addresses: addresses, Linker: linker.New(linker.NewSecret(settings.Cluster, clusterKey)),
		Now: func() time.Duration { return time.Since(startedAt) }, Random: rand.New(rand.NewPCG(0, 0)),
		Timeline: timeliner.New(settings.Instance, time.Now),
	})
	defer client.Close()
	for address, status := range client.Statuses() {
		if status.Status.LastIndex > 0 {
			return errors.Errorf("check for an existing cluster: control instance %s already has %d log entries; format without --first and add the node", address, status.Status.LastIndex)
		}
	}
	return nil
}
