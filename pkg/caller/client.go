package caller

import (
	"crypto/tls"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const clientTimeout = 70 * time.Second

type (
	// ClientOption sets up a Client.
	ClientOption func(*Client)

	// Client sends queries to one instance.
	Client struct {
		address string
		scheme  string
		http    fasthttp.Client
	}
)

// WithClientTLS makes the client use TLS.
func WithClientTLS(config *tls.Config) ClientOption {
	return func(c *Client) {
		c.scheme = "https"
		c.http.TLSConfig = config
	}
}

// NewClient returns a client of the instance at address.
func NewClient(address string, options ...ClientOption) *Client {
	client := &Client{address: address, scheme: "http", http: fasthttp.Client{MaxConnsPerHost: 4096}}
	for _, option := range options {
		option(client)
	}
	return client
}

// Query sends a query and returns its answer, which may be a refusal.
func (c *Client) Query(query Query) (Answer, error) {
	var answer Answer
	body, err := json.Marshal(query)
	if err != nil {
		return answer, errors.Wrap(err, "encode query")
	}
	content, err := c.post("/query", body)
	if err != nil {
		return answer, err
	}
	var refusal struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(content, &refusal) == nil && refusal.Error != "" {
		return answer, errors.Errorf("instance %s: %s", c.address, refusal.Error)
	}
	return answer, errors.Wrapf(json.Unmarshal(content, &answer), "decode the answer of instance %s", c.address)
}

// Ticket asks for a ticket, under which a query can be sent again safely.
func (c *Client) Ticket() (string, error) {
	content, err := c.post("/ticket", nil)
	if err != nil {
		return "", err
	}
	var body struct {
		Ticket string `json:"ticket"`
		Error  string `json:"error"`
	}
	if err := json.Unmarshal(content, &body); err != nil {
		return "", errors.Wrapf(err, "decode the answer of instance %s", c.address)
	}
	if body.Ticket == "" {
		return "", errors.Errorf("instance %s: %s", c.address, body.Error)
	}
	return body.Ticket, nil
}

// Close closes idle connections.
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
		return nil, errors.Wrapf(err, "ask instance %s", c.address)
	}
	return append([]byte(nil), response.Body()...), nil
}
