// The platform answers GET requests with the list and its version:
//
//	{"version":"17","leafs":[{"id":"customs-desk-01-ub-a-0","service":"customs-desk-01","data-centre":"ub-a","address":"127.0.0.1:9101","state":"live"}]}

package lister

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/verifier"
)

const (
	pollInterval = 300 * time.Millisecond
	pollTimeout  = time.Second
	// StateLive marks a leaf that accepts requests.
	StateLive = "live"
	// StateLeaving marks a leaf that the platform is removing.
	StateLeaving = "leaving"
)

type (
	// Leaf is an entry of the platform's list; State is StateLive or StateLeaving.
	Leaf struct {
		ID         string `json:"id"`
		Service    string `json:"service"`
		DataCentre string `json:"data-centre"`
		Address    string `json:"address"`
		State      string `json:"state"`
	}

	// List is the response of the platform.
	List struct {
		Version string `json:"version"`
		Leafs   []Leaf `json:"leafs"`
	}

	// Poller polls the platform's list of leafs.
	Poller struct {
		url     string
		onLeafs func([]coordinator.LeafRecord)
		onFault func(error)
		client  *fasthttp.Client
		version string
		// skippedCount is the number of invalid entries in the last list.
		skippedCount int
		stop         chan struct{}
		group        conc.WaitGroup
	}
)

// New returns a Poller that calls onLeafs with each changed list, and onFault with each failed poll and when the number of invalid
// entries has changed.
func New(url string, onLeafs func([]coordinator.LeafRecord), onFault func(error)) *Poller {
	return &Poller{url: url, onLeafs: onLeafs, onFault: onFault, client: NewClient(), stop: make(chan struct{})}
}

// NewClient returns an HTTP client for servers of a list. A response with an invalid head is an error.
func NewClient() *fasthttp.Client {
	client := &fasthttp.Client{}
	verifier.Protect(client)
	return client
}

// Run starts polling in the background until Close.
func (p *Poller) Run() { p.group.Go(p.pollLoop) }

// Close stops polling and waits for a poll in progress.
func (p *Poller) Close() {
	close(p.stop)
	p.group.Wait()
	p.client.CloseIdleConnections()
}

func (p *Poller) pollLoop() {
	for {
		if err := p.poll(); err != nil {
			p.onFault(err)
		}
		select {
		case <-p.stop:
			return
		case <-time.After(pollInterval):
		}
	}
}

// poll requests the list once and skips a list with an unchanged version.
func (p *Poller) poll() error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(p.url)
	request.Header.Set(fasthttp.HeaderIfNoneMatch, p.version)
	if err := p.client.DoTimeout(request, response, pollTimeout); err != nil {
		return errors.Wrap(err, "platform: poll the list")
	}
	switch response.StatusCode() {
	case fasthttp.StatusNotModified:
		return nil
	case fasthttp.StatusOK:
	default:
		return errors.Errorf("platform: poll the list: status %d", response.StatusCode())
	}
	// Entries are decoded one by one, as another program may have written some of them.
	var list struct {
		Version string            `json:"version"`
		Leafs   []json.RawMessage `json:"leafs"`
	}
	if err := json.Unmarshal(response.Body(), &list); err != nil {
		return errors.Wrap(err, "platform: decode the list")
	}
	if list.Version != "" && list.Version == p.version {
		return nil
	}
	p.version = list.Version
	records := toRecords(list.Leafs)
	if skippedCount := len(list.Leafs) - len(records); skippedCount != p.skippedCount {
		p.skippedCount = skippedCount
		p.onFault(errors.Errorf("platform: skipped %d invalid entries of the list", skippedCount))
	}
	p.onLeafs(records)
	return nil
}

// toRecords converts the list and skips entries that cannot be decoded or have no identifier or address.
func toRecords(entries []json.RawMessage) []coordinator.LeafRecord {
	result := make([]coordinator.LeafRecord, 0, len(entries))
	for _, entry := range entries {
		var leaf Leaf
		if err := json.Unmarshal(entry, &leaf); err != nil || leaf.ID == "" || leaf.Address == "" {
			continue
		}
		result = append(result, coordinator.LeafRecord{
			ID: assigner.LeafID(leaf.ID), Service: leaf.Service, DataCentre: leaf.DataCentre,
			Address: leaf.Address, IsDraining: leaf.State != StateLive,
		})
	}
	return result
}
