// The platform answers GET with its list and a version that changes with it:
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
)

const (
	pollInterval = 300 * time.Millisecond
	pollTimeout  = time.Second
	// StateLive marks a leaf that takes work.
	StateLive = "live"
	// StateLeaving marks a leaf that is being taken away.
	StateLeaving = "leaving"
)

type (
	// Leaf is one entry of the list.
	Leaf struct {
		ID         string `json:"id"`
		Service    string `json:"service"`
		DataCentre string `json:"data-centre"`
		Address    string `json:"address"`
		State      string `json:"state"`
	}

	// List is the answer of the platform.
	List struct {
		Version string `json:"version"`
		Leafs   []Leaf `json:"leafs"`
	}

	// Client polls the list.
	Client struct {
		url     string
		onLeafs func([]coordinator.LeafRecord)
		onFault func(error)
		client  fasthttp.Client
		version string
		stop    chan struct{}
		group   conc.WaitGroup
	}
)

// New returns a client that hands each changed list to onLeafs.
func New(url string, onLeafs func([]coordinator.LeafRecord), onFault func(error)) *Client {
	return &Client{url: url, onLeafs: onLeafs, onFault: onFault, stop: make(chan struct{})}
}

// Run polls until Close.
func (c *Client) Run() { c.group.Go(c.loop) }

// Close ends the polling.
func (c *Client) Close() {
	close(c.stop)
	c.group.Wait()
	c.client.CloseIdleConnections()
}

func (c *Client) loop() {
	for {
		if err := c.poll(); err != nil {
			c.onFault(err)
		}
		select {
		case <-c.stop:
			return
		case <-time.After(pollInterval):
		}
	}
}

// poll reads the list unless the platform says that it has not changed.
func (c *Client) poll() error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(c.url)
	request.Header.Set(fasthttp.HeaderIfNoneMatch, c.version)
	if err := c.client.DoTimeout(request, response, pollTimeout); err != nil {
		return errors.Wrap(err, "platform: poll the list")
	}
	switch response.StatusCode() {
	case fasthttp.StatusNotModified:
		return nil
	case fasthttp.StatusOK:
	default:
		return errors.Errorf("platform: poll the list: status %d", response.StatusCode())
	}
	var list List
	if err := json.Unmarshal(response.Body(), &list); err != nil {
		return errors.Wrap(err, "platform: decode the list")
	}
	if list.Version != "" && list.Version == c.version {
		return nil
	}
	c.version = list.Version
	c.onLeafs(records(list.Leafs))
	return nil
}

// records leaves out entries without identifier or address.
func records(leafs []Leaf) []coordinator.LeafRecord {
	kept := make([]coordinator.LeafRecord, 0, len(leafs))
	for _, leaf := range leafs {
		if leaf.ID == "" || leaf.Address == "" {
			continue
		}
		kept = append(kept, coordinator.LeafRecord{
			ID: assigner.LeafID(leaf.ID), Service: leaf.Service, DataCentre: leaf.DataCentre,
			Address: leaf.Address, IsDraining: leaf.State != StateLive,
		})
	}
	return kept
}
