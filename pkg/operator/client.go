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
	"lovagedeck/pkg/verifier"
)

const requestTimeout = 6 * time.Second

type (
	// ClientOption configures a Client.
	ClientOption func(*Client)

	// Client sends requests to the administration API of one instance.
	Client struct {
		address string
		scheme  string
		token   string
		http    fasthttp.Client
	}

	// APIError is an error response of the administration API.
	APIError struct {
		statusCode int
		instance   string
		message    string
	}
)

// WithToken returns an option that sets the bearer token of the requests.
func WithToken(token string) ClientOption {
	return func(c *Client) { c.token = token }
}

// WithTLS returns an option that makes the client use HTTPS with the given configuration.
func WithTLS(config *tls.Config) ClientOption {
	return func(c *Client) {
		c.scheme = "https"
		c.http.TLSConfig = config
	}
}

// NewClient returns a client for the instance at address, which is a host with a port.
func NewClient(address string, options ...ClientOption) *Client {
	client := &Client{address: address, scheme: "http"}
	for _, option := range options {
		option(client)
	}
	verifier.Protect(&client.http)
	return client
}

// StatusCode returns the HTTP status code of the response.
func (e *APIError) StatusCode() int { return e.statusCode }

func (e *APIError) Error() string {
	return fmt.Sprintf("instance %s: %s (status %d)", e.instance, e.message, e.statusCode)
}

// WithAddress returns a client for the instance at address that uses the same token and TLS configuration.
func (c *Client) WithAddress(address string) *Client {
	client := &Client{address: address, scheme: c.scheme, token: c.token, http: fasthttp.Client{TLSConfig: c.http.TLSConfig}}
	verifier.Protect(&client.http)
	return client
}

// Address returns the address that the client sends its requests to.
func (c *Client) Address() string { return c.address }

// Status returns the state of the instance and of the control instances that it reaches.
func (c *Client) Status() (Status, error) { return get[Status](c, "/status") }

// Table returns the service rows and data centres of the table that the instance currently uses.
func (c *Client) Table() (Table, error) { return get[Table](c, "/table") }

// History returns the recorded changes to the table, both accepted and refused.
func (c *Client) History() (History, error) { return get[History](c, "/history") }

// InForce returns how many instances use the given table revision or a later one.
func (c *Client) InForce(revision uint64) (InForce, error) {
	return get[InForce](c, fmt.Sprintf("/in-force/%d", revision))
}

// Lookup returns the recorded outcome of a change, or an APIError with status 404 if none is recorded.
func (c *Client) Lookup(changeID string) (ChangeResult, error) {
	return get[ChangeResult](c, "/changes/"+url.PathEscape(changeID))
}

// Trace returns the trace of a query, or an APIError with status 404 if the instance has none.
func (c *Client) Trace(id string) (tracer.Trace, error) {
	return get[tracer.Trace](c, "/traces/"+url.PathEscape(id))
}

// Slowest returns the traces of the slowest queries, slowest first.
func (c *Client) Slowest() (Traces, error) { return get[Traces](c, "/traces") }

// Events returns the events in the timeline of the instance that the filter selects.
func (c *Client) Events(filter timeliner.Filter) (Events, error) {
	query := url.Values{}
	if filter.Peer != "" {
		query.Set("peer", filter.Peer)
	}
	if filter.Kind != "" {
		query.Set("kind", filter.Kind)
	}
	if !filter.Since.IsZero() {
		query.Set("since", filter.Since.Format(time.RFC3339Nano))
	}
	return get[Events](c, "/events?"+query.Encode())
}

// ChangeRows submits a change of table rows and returns its outcome.
func (c *Client) ChangeRows(change tabulator.ChangeRows) (ChangeResult, error) {
	return c.postChange("/table", change)
}

// SetDataCentre submits a change that puts a data centre in or out of service, and returns its outcome.
func (c *Client) SetDataCentre(change tabulator.SetDataCentre) (ChangeResult, error) {
	return c.postChange("/data-centre", change)
}

// Configure adds, promotes or removes one control node and returns the outcome.
func (c *Client) Configure(body ConfigureBody) (ChangeResult, error) {
	return c.postChange("/control", body)
}

func (c *Client) postChange(path string, body any) (ChangeResult, error) {
	var change ChangeResult
	data, err := json.Marshal(body)
	if err != nil {
		return change, errors.Wrap(err, "encode change")
	}
	statusCode, responseBody, err := c.do(fasthttp.MethodPost, path, data)
	if err != nil {
		return change, err
	}
	if json.Unmarshal(responseBody, &change) == nil && change.Outcome != "" {
		return change, nil
	}
	return change, c.newAPIError(statusCode, responseBody)
}

func get[T any](c *Client, path string) (T, error) {
	var value T
	statusCode, responseBody, err := c.do(fasthttp.MethodGet, path, nil)
	if err != nil {
		return value, err
	}
	if statusCode != fasthttp.StatusOK {
		return value, c.newAPIError(statusCode, responseBody)
	}
	return value, errors.Wrapf(json.Unmarshal(responseBody, &value), "decode response of instance %s", c.address)
}

func (c *Client) do(method, path string, body []byte) (int, []byte, error) {
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
		return 0, nil, errors.Wrapf(err, "send request to instance %s", c.address)
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), nil
}

func (c *Client) newAPIError(statusCode int, responseBody []byte) error {
	var reply struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(responseBody, &reply) != nil || reply.Error == "" {
		reply.Error = "the response contains no error message"
	}
	return &APIError{statusCode: statusCode, instance: c.address, message: reply.Error}
}
