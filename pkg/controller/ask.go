package controller

import (
	"time"

	"github.com/pkg/errors"
)

// askInterval is the time without an answer after which the next control instance is asked as well. Two that are paused then delay an
// answer by 1 s.
const askInterval = 500 * time.Millisecond

var errNoControlInstance = errors.New("no control instance is known")

// askResult is what one control instance returned.
type askResult[T any] struct {
	reply T
	err   error
}

// askAny asks the control instances, the current one first, and returns the first reply without an error. The next one is asked once one
// has failed, or has not answered within askInterval. If all fail, it returns the last reply and error.
func askAny[T any](c *Client, ask func(p *peer) (T, error)) (T, error) {
	peers := c.peers.all()
	results := make(chan askResult[T], len(peers))
	last := askResult[T]{err: errNoControlInstance}
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	waiting := 0
	for waiting > 0 || len(peers) > 0 {
		if len(peers) > 0 {
			p := peers[0]
			peers = peers[1:]
			waiting++
			go func() {
				reply, err := ask(p)
				results <- askResult[T]{reply: reply, err: err}
			}()
			ticker.Reset(askInterval)
		}
		select {
		case last = <-results:
			if last.err == nil {
				return last.reply, nil
			}
			waiting--
		case <-ticker.C:
		}
	}
	return last.reply, last.err
}
