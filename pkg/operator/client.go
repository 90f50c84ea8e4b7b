package operator

import (
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/timeliner"
	"lovagedeck/pkg/tracer"
)

const requestTimeout = 6 * time.Second

type (
	// ClientOption sets up a Client.
	ClientOption func(*Client)

	// Client calls the administration API of one instance.
	Client struct {
		address string
		scheme  string
		token   string
		http    fasthttp.Client
	}

	// APIError is a refusal of the administration API.
	APIError struct {
		status  int
		peer    string
		message string
	}
)

// WithToken sets the bearer token.
func WithToken(token string) ClientOption {
	return func(c *Client) { c.token = token }
}

// WithTLS makes the client use TLS.
func WithTLS(config *tls.Config) ClientOption {
	return func(c *Client) {
		c.scheme = "https"
		c.http.TLSConfig = config
	}
}

// NewClient returns a client of the instance at address.
func NewClient(address string, options ...ClientOption) *Client {
	client := &Client{address: address, scheme: "http"}
	for _, option := range options {
		option(client)
	}
	return client
}

// Status returns the HTTP status of the refusal.
func (e *APIError) Status() int { return e.status }

func (e *APIError) Error() string {
	return fmt.Sprintf("instance %s: %s (status %d)", e.peer, e.message, e.status)
}

// At returns a client of another instance with the same token and TLS.
func (c *Client) At(address string) *Client {
	return &Client{address: address, scheme: c.scheme, token: c.token, http: fasthttp.Client{TLSConfig: c.http.TLSConfig}}
}

// Address returns the address of the instance.
func (c *Client) Address() string { return c.address }

// Status returns the state of the instance.
func (c *Client) Status() (Status, error) { return get[Status](c, "/status") }

// Table returns the table that is in force at the instance.
func (c *Client) Table() (Table, error) { return get[Table](c, "/table") }

// History returns the changes of operators.
func (c *Client) History() (History, error) { return get[History](c, "/history") }

// InForce tells how many instances act on a revision.
func (c *Client) InForce(revision uint64) (InForce, error) {
	return get[InForce](c, fmt.Sprintf("/in-force/%d", revision))
}

// Lookup returns the recorded outcome of a change.
func (c *Client) Lookup(changeID string) (Change, error) {
	return get[Change](c, "/changes/"+url.PathEscape(changeID))
}

// Trace returns a kept query.
func (c *Client) Trace(id string) (tracer.Trace, error) {
	return get[tracer.Trace](c, "/traces/"+url.PathEscape(id))
}

// Slowest returns the slowest kept queries.
func (c *Client) Slowest() (Traces, error) { return get[Traces](c, "/traces") }

// Events returns the time line of the instance.
func (c *Client) Events(filter timeliner.Filter) (Events, error) {
	values := url.Values{}
	if filter.Peer != "" {
		values.Set("peer", filter.Peer)
	}
	if filter.Kind != "" {
		values.Set("kind", filter.Kind)
	}
	if !filter.Since.IsZero() {
		values.Set("since", filter.Since.Format(time.RFC3339Nano))
	}
	return get[Events](c, "/events?"+values.Encode())
}

// ChangeRows sends a change of rows.
func (c *Client) ChangeRows(change tabulator.ChangeRows) (Change, error) {
	return c.change("/table", change)
}

// SetDataCentre sends a change of a data centre.
func (c *Client) SetDataCentre(change tabulator.SetDataCentre) (Change, error) {
	return c.change("/data-centre", change)
}

// Configure changes the control members by one.
func (c *Client) Configure(body ConfigureBody) (Change, error) { return c.change("/control", body) }

func (c *Client) change(path string, body any) (Change, error) {
	var change Change
	data, err := json.Marshal(body)
	if err != nil {
		return change, errors.Wrap(err, "encode change")
	}
	status, answer, err := c.exchange(fasthttp.MethodPost, path, data)
	if err != nil {
		return change, err
	}
	if json.Unmarshal(answer, &change) == nil && change.Outcome != "" {
		return change, nil
	}
	return change, c.refusal(status, answer)
}

func get[T any](c *Client, path string) (T, error) {
	var value T
	status, answer, err := c.exchange(fasthttp.MethodGet, path, nil)
	if err != nil {
		return value, err
	}
	if status != fasthttp.StatusOK {
		return value, c.refusal(status, answer)
	}
	return value, errors.Wrapf(json.Unmarshal(answer, &value), "decode the answer of instance %s", c.address)
}

func (c *Client) exchange(method, path string, body []byte) (int, []byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(c.scheme + "://" + c.address + path)
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	request.SetBody(body)
	if err := c.http.DoTimeout(request, response, requestTimeout); err != nil {
		return 0, nil, errors.Wrapf(err, "ask instance %s", c.address)
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), nil
}

func (c *Client) refusal(status int, answer []byte) error {
	var body struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(answer, &body) != nil || body.Error == "" {
		body.Error = "it did not answer in the expected form"
	}
	return &APIError{status: status, peer: c.address, message: body.Error}
}
