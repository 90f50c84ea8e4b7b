package caller

import (
	"crypto/tls"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lovagedeck/pkg/verifier"
)

const clientTimeout = 70 * time.Second

type (
	// ClientOption configures a Client.
	ClientOption func(*Client)

	// Client sends queries to the API of one instance.
	Client struct {
		address string
		scheme  string
		http    fasthttp.Client
	}
)

// WithClientTLS returns an option that makes the client use HTTPS with the given configuration.
func WithClientTLS(config *tls.Config) ClientOption {
	return func(c *Client) {
		c.scheme = "https"
		c.http.TLSConfig = config
	}
}

// NewClient returns a client for the instance at address, which is a host with a port.
func NewClient(address string, options ...ClientOption) *Client {
	client := &Client{address: address, scheme: "http", http: fasthttp.Client{MaxConnsPerHost: 4096}}
	for _, option := range options {
		option(client)
	}
	verifier.Protect(&client.http)
	return client
}

// Query sends a query and returns its answer, or an error if the instance rejected the request as invalid or sent no valid
// response. A query that the instance refused to run is not an error: the outcome of its answer says so.
func (c *Client) Query(query Query) (Answer, error) {
	var answer Answer
	body, err := json.Marshal(query)
	if err != nil {
		return answer, errors.Wrap(err, "encode query")
	}
	responseBody, err := c.post("/query", body)
	if err != nil {
		return answer, err
	}
	var refusal struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(responseBody, &refusal) == nil && refusal.Error != "" {
		return answer, errors.Errorf("instance %s: %s", c.address, refusal.Error)
	}
	return answer, errors.Wrapf(json.Unmarshal(responseBody, &answer), "decode response of instance %s", c.address)
}

// NewTicket requests a ticket, under which a query runs at most once and can be sent again safely.
func (c *Client) NewTicket() (string, error) {
	responseBody, err := c.post("/ticket", nil)
	if err != nil {
		return "", err
	}
	var reply struct {
		Ticket string `json:"ticket"`
		Error  string `json:"error"`
	}
	if err := json.Unmarshal(responseBody, &reply); err != nil {
		return "", errors.Wrapf(err, "decode response of instance %s", c.address)
	}
	if reply.Ticket == "" {
		return "", errors.Errorf("instance %s: %s", c.address, reply.Error)
	}
	return reply.Ticket, nil
}

// Close closes the idle connections of the client.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) post(path string, body []byte) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(c.scheme + "://" + c.address + path)
	request.Header.SetContentType("application/json")
	request.SetBody(body)
	if err := c.http.DoTimeout(request, response, clientTimeout); err != nil {
		return nil, errors.Wrapf(err, "send request to instance %s", c.address)
	}
	return append([]byte(nil), response.Body()...), nil
}
