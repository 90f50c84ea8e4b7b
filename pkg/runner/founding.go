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

// CheckFounding returns an error when a control instance of the settings already holds a log.
func CheckFounding(settings configurer.Settings) error {
	key, err := os.ReadFile(settings.ResolvePath(settings.KeyFile))
	if err != nil {
		return errors.Wrap(err, "check the founding: read key-file")
	}
	var addresses []string
	for _, member := range settings.Control {
		if member.Instance != settings.Instance {
			addresses = append(addresses, member.PeerAddress)
		}
	}
	begun := time.Now()
	client := controller.NewClient(controller.ClientConfig{
		Addresses: addresses, Linker: linker.New(linker.NewSecret(settings.Cluster, key)),
		Now: func() time.Duration { return time.Since(begun) }, Random: rand.New(rand.NewPCG(0, 0)),
		Timeline: timeliner.New(settings.Instance, time.Now),
	})
	defer client.Close()
	for address, status := range client.Statuses() {
		if status.Status.LastIndex > 0 {
			return errors.Errorf("check the founding: control instance %s already holds %d log entries; format without --first and add the node", address, status.Status.LastIndex)
		}
	}
	return nil
}
