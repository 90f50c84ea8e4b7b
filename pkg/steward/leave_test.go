package steward

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
)

// A control instance that had been replaced as planned still counted as a voter after it had stopped, so that the loss of two disks right
// afterwards left no quorum.
func TestReplacedControlInstanceHasNoVoteWhenItHasStopped(t *testing.T) {
	// maxNoticeTime is less than the time after which a silent voter loses its vote.
	const maxNoticeTime = 500 * time.Millisecond
	c := newTestCluster(t, 6)
	c.start(0, 1, 2, 3)
	replaced := c.settings[4]
	replaced.GracePeriod = 6 * time.Second
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- RunControl(ctx, &slowOperators{settings: replaced}, logr.Discard()) }()
	c.putDocument(0, 7, "seven")
	c.settings[5].IsBootstrap = false
	c.start(5)
	defer c.stop(5)
	c.awaitVoters(6)
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	endedAt := time.Now()
	for voter := range c.awaitVoters(5) {
		if strings.HasPrefix(voter, replaced.peerAddress(replaced.Host)+"/") {
			t.Errorf("%s is still a voter", voter)
		}
	}
	if took := time.Since(endedAt); took > maxNoticeTime {
		t.Errorf("the stopped instance had its vote for %v, want at most %v", took, maxNoticeTime)
	}
}

// A planned restart must not cost a vote that the others need.
func TestRestartedControlInstanceKeepsItsVote(t *testing.T) {
	c := newTestCluster(t, 5)
	c.start(0, 1, 2, 3, 4)
	c.putDocument(0, 7, "seven")
	startedAt := time.Now()
	c.controls[4].Leave(5 * time.Second)
	if took := time.Since(startedAt); took > time.Second {
		t.Errorf("the instance waited %v for a vote that it keeps", took)
	}
	if voters := c.voters(0); len(voters) != 5 {
		t.Errorf("got %d voters after one of five has announced its stop, want 5", len(voters))
	}
	c.stop(4)
	c.start(4)
	c.expectDocument(4, 7, "seven")
}

// awaitVoters waits until the first instance knows the given number of voters, and returns them.
func (c *testCluster) awaitVoters(count int) map[string]bool {
	c.t.Helper()
	var voters map[string]bool
	c.eventually(fmt.Sprintf("%d voters", count), func() error {
		if voters = c.voters(0); len(voters) != count {
			return fmt.Errorf("got %d voters", len(voters))
		}
		return nil
	})
	return voters
}
