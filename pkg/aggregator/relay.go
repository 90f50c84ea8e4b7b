package aggregator

import (
	"context"
	"net/rpc"
	"time"

	"github.com/pkg/errors"
)

// relayCheckInterval is the time between two checks that an instance still answers while it serves a relayed request.
const relayCheckInterval = 300 * time.Millisecond

// ErrNotRelayed is returned if the request was not sent to the instance.
var ErrNotRelayed = errors.New("the instance takes no relayed requests")

// Relay has the instance serve a request and waits for the response, while the context lasts. It returns ErrNotRelayed if nothing
// was sent. After any other error the request may have run.
func (p *Peers) Relay(ctx context.Context, instance string, query RelayQuery) (RelayReply, error) {
	client := p.relayClient(instance)
	if client == nil || !query.Route.Idempotent && !p.answers(instance) {
		return RelayReply{}, ErrNotRelayed
	}
	results := make(chan relayResult, 1)
	go func() {
		var result relayResult
		result.err = client.Call(callRelay, query, &result.reply)
		results <- result
	}()
	ticker := time.NewTicker(relayCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case result := <-results:
			return result.reply, p.onRelayed(instance, client, result)
		case <-ticker.C:
			// A failed check closes the connection, which ends the call.
			go p.answers(instance)
		case <-ctx.Done():
			go p.cancelRelay(client, query.RelayID())
			return RelayReply{}, errors.Wrapf(ctx.Err(), "relay to instance %s", instance)
		}
	}
}

// relayResult is the reply to a relayed request, or the error of the call.
type relayResult struct {
	reply RelayReply
	err   error
}

func (p *Peers) onRelayed(instance string, client *rpc.Client, result relayResult) error {
	switch {
	case result.err != nil:
		p.onConnectionFailure(instance, client, result.err.Error())
		return errors.Wrapf(result.err, "relay to instance %s", instance)
	case result.reply.TakesNoWork:
		p.onDeclined(instance)
	}
	return nil
}

func (p *Peers) cancelRelay(client *rpc.Client, id SliceID) {
	if err := client.Call(callCancelRelay, id, &struct{}{}); err != nil {
		p.log.V(1).Info("aggregator: relayed request not cancelled, it ends at its deadline", "error", err.Error())
	}
}

// relayClient returns the open connection to an instance that takes work, or that declines it and still answers, or nil.
func (p *Peers) relayClient(instance string) *rpc.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	target := p.peers[instance]
	if target == nil || !target.state.IsAvailable() && !target.declines {
		return nil
	}
	return target.conn.CurrentClient()
}

// answers pings an instance and reports whether it can be offered relayed requests.
func (p *Peers) answers(instance string) bool {
	p.mu.Lock()
	target := p.peers[instance]
	p.mu.Unlock()
	if target == nil {
		return false
	}
	p.check(instance, target)
	return p.relayClient(instance) != nil
}
