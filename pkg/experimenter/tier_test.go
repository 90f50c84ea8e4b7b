package experimenter

import (
	"net"
	"testing"
)

// A tier did not start when another process had taken one of its ports since they were drawn.
func TestTierStartsAtOtherAddressesWhenOneIsTaken(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	draws := 0
	tier, err := newTier(TierSpec{Instances: 1, ControlInstances: 1, DataCentres: []string{"a"}, PlatformURL: "http://127.0.0.1:1"}, func(count int) ([]string, error) {
		addresses, err := freeAddresses(count)
		if draws++; draws == 1 && err == nil {
			addresses[0] = taken.Addr().String()
		}
		return addresses, err
	})
	if tier == nil {
		t.Fatalf("got error %v, want a tier", err)
	}
	defer tier.Close()
	if draws != 2 || tier.Instance(0) == nil {
		t.Errorf("got %d draws of addresses, want the instance to start at the second", draws)
	}
}
