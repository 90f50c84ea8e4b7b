package soak

import (
	"os"
	"strings"
	"testing"
	"time"

	"lovagedeck/pkg/emulator"
	"lovagedeck/pkg/steward"
	"lovagedeck/pkg/supervisor"
	"lovagedeck/platform"
)

const (
	// cutFileVariable names the file that says how an entry instance is cut off from the leafs. If it is set, the test binary is the
	// program, as entry instances need a link to the leafs that can be cut.
	cutFileVariable = "SOAK_CUT_FILE"
	cutPollInterval = 10 * time.Millisecond
)

// cutModes are the contents of the file.
var cutModes = map[string]emulator.LinkMode{
	"": emulator.LinkWorks, "hang": emulator.LinkHangs, "reset": emulator.LinkResets, "refuse": emulator.LinkRefuses,
}

// cuttablePlatform is the platform with a link to the leafs that can be cut.
type cuttablePlatform struct {
	*platform.Platform
	link *emulator.LeafLink
}

func TestMain(m *testing.M) {
	file := os.Getenv(cutFileVariable)
	if file == "" {
		os.Exit(m.Run())
	}
	link := emulator.NewLeafLink()
	go followCutFile(link, file)
	os.Exit(supervisor.Main([]string{"lovagedeckd", os.Args[1]}, os.Stdout, os.Stderr, cuttablePlatform{Platform: platform.New(), link: link}))
}

// Settings returns the settings of the platform with the link.
func (p cuttablePlatform) Settings() (steward.Settings, error) {
	settings, err := p.Platform.Settings()
	settings.DialLeaf = p.link.Dial
	return settings, err
}

func followCutFile(link *emulator.LeafLink, file string) {
	current := ""
	for ; ; time.Sleep(cutPollInterval) {
		content, err := os.ReadFile(file)
		if err != nil && !os.IsNotExist(err) {
			continue
		}
		if mode := strings.TrimSpace(string(content)); mode != current {
			current = mode
			link.Cut(cutModes[mode])
		}
	}
}
