package leaf

import (
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	holdingsTimeout = 300 * time.Millisecond
	cancelTimeout   = 200 * time.Millisecond
	maxResponse     = 4 << 20
)

type (
	// Option sets up a Client.
	Option func(*Client)

	// Client exchanges requests with one leaf.
	Client struct {
		address    string
		dataCentre string
		pool       *pool
		gate       func() error
	}

	// Exchange is a response with the time its steps took.
	Exchange struct {
		response Response
		status   int
		connect  time.Duration
		leaf     time.Duration
	}
)

// WithDial sets how connections are opened.
func WithDial(dial Dial) Option {
	return func(c *Client) { c.pool.dial = dial }
}

// WithDataCentre names the data centre of the asking instance.
func WithDataCentre(name string) Option {
	return func(c *Client) { c.dataCentre = name }
}

// WithGate sets a check that runs just before a search is written; its error means that nothing was sent.
func WithGate(gate func() error) Option {
	return func(c *Client) { c.gate = gate }
}

// New returns a client that opens at most the given number of connections.
func New(address string, connections int, options ...Option) *Client {
	client := &Client{address: address, pool: newPool(address, connections, dialTCP)}
	for _, option := range options {
		option(client)
	}
	return client
}

// Response returns the decoded response.
func (e Exchange) Response() Response { return e.response }

// Refused tells whether the leaf said that it did not start the request.
func (e Exchange) Refused() bool {
	return e.status != fasthttp.StatusOK && !e.response.Started && e.response.Reason != ""
}

// OK tells whether the leaf answered.
func (e Exchange) OK() bool { return e.status == fasthttp.StatusOK }

// Connect returns the time spent on opening a connection.
func (e Exchange) Connect() time.Duration { return e.connect }

// Leaf returns the time from sending the request to the response.
func (e Exchange) Leaf() time.Duration { return e.leaf }

// Search asks for one shard; an error is an *Error.
func (c *Client) Search(request Request, timeout time.Duration) (Exchange, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return Exchange{}, c.fault(StepConnect, err)
	}
	exchange, err := c.exchange(fasthttp.MethodPost, PathSearch, body, timeout)
	if err != nil {
		return exchange, err
	}
	if exchange.response.ID != request.ID {
		c.pool.dropIdle()
		return exchange, c.fault(StepCheck, errors.Errorf("response %q to request %q", exchange.response.ID, request.ID))
	}
	return exchange, nil
}

// Cancel tells the leaf that nobody waits for the request any longer.
func (c *Client) Cancel(id string) error {
	body, err := json.Marshal(struct {
		ID string `json:"id"`
	}{ID: id})
	if err != nil {
		return c.fault(StepConnect, err)
	}
	_, err = c.exchange(fasthttp.MethodPost, PathCancel, body, cancelTimeout)
	return err
}

// Holdings asks which versions the leaf holds.
func (c *Client) Holdings() (Response, error) {
	exchange, err := c.exchange(fasthttp.MethodGet, PathHoldings, nil, holdingsTimeout)
	return exchange.response, err
}

// Prepare opens connections until count of them are open.
func (c *Client) Prepare(count int) error {
	if err := c.pool.prepare(count); err != nil {
		return c.fault(StepConnect, err)
	}
	return nil
}

// SetConnections changes how many connections may be open.
func (c *Client) SetConnections(limit int) { c.pool.setLimit(limit) }

// Connections returns how many connections are open.
func (c *Client) Connections() int { return c.pool.count() }

// Close closes the idle connections at once and the others when their exchange ends.
func (c *Client) Close() { c.pool.close() }

func (c *Client) exchange(method, path string, body []byte, timeout time.Duration) (Exchange, error) {
	var exchange Exchange
	begun := time.Now()
	conn, opened, err := c.pool.get()
	if opened {
		exchange.connect = time.Since(begun)
	}
	if err != nil {
		return exchange, c.fault(StepConnect, err)
	}
	if path == PathSearch && c.gate != nil {
		if err := c.gate(); err != nil {
			c.pool.put(conn)
			return exchange, &Error{step: StepGate, peer: c.address, cause: err}
		}
	}
	begun = time.Now()
	if err := c.roundTrip(conn, method, path, body, timeout, &exchange); err != nil {
		c.pool.discard(conn)
		if !err.timeout {
			c.pool.dropIdle()
		}
		return exchange, err
	}
	exchange.leaf = time.Since(begun)
	c.pool.put(conn)
	return exchange, nil
}

func (c *Client) roundTrip(conn *connection, method, path string, body []byte, timeout time.Duration, exchange *Exchange) *Error {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(path)
	request.Header.SetHost(c.address)
	request.Header.Set(HeaderFrom, c.dataCentre)
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(body)
	if err := conn.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return c.fault(StepConnect, err)
	}
	if err := request.Write(conn.writer); err != nil {
		return c.fault(StepWrite, err)
	}
	if err := conn.writer.Flush(); err != nil {
		return c.fault(StepWrite, err)
	}
	if err := response.ReadLimitBody(conn.reader, maxResponse); err != nil {
		return c.fault(StepRead, err)
	}
	exchange.status = response.StatusCode()
	if len(response.Body()) > 0 {
		// Unmarshal copies, so nothing of the recycled response is kept.
		if err := json.Unmarshal(response.Body(), &exchange.response); err != nil {
			return c.fault(StepDecode, err)
		}
	}
	if response.ConnectionClose() {
		return c.afterClose(exchange)
	}
	return nil
}

// afterClose reports a leaf that closes its connections; the response has been read.
func (c *Client) afterClose(exchange *Exchange) *Error {
	if exchange.status == fasthttp.StatusOK || exchange.response.Reason != "" {
		return nil
	}
	return c.fault(StepRead, errors.New("the leaf closed the connection"))
}

func (c *Client) fault(step Step, cause error) *Error {
	var netErr net.Error
	timeout := errors.As(cause, &netErr) && netErr.Timeout()
	return &Error{step: step, peer: c.address, timeout: timeout, cause: cause}
}

func dialTCP(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout)
}
