package leaf

import (
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	holdingsTimeout  = 300 * time.Millisecond
	cancelTimeout    = 200 * time.Millisecond
	maxResponseBytes = 4 << 20
)

type (
	// Option configures a Client.
	Option func(*Client)

	// Client sends requests to one leaf.
	Client struct {
		address    string
		dataCentre string
		pool       *pool
		sendCheck  func() error
	}

	// Exchange is the response to one request, with its status and timing.
	Exchange struct {
		response     Response
		status       int
		connectTime  time.Duration
		responseTime time.Duration
	}
)

// WithDial sets the function that opens connections.
func WithDial(dial Dial) Option {
	return func(c *Client) { c.pool.dial = dial }
}

// WithDataCentre sets the data centre of this instance, which is sent with each request.
func WithDataCentre(name string) Option {
	return func(c *Client) { c.dataCentre = name }
}

// WithSendCheck sets a check that runs just before a search request is written. If it returns an error, nothing is sent.
func WithSendCheck(check func() error) Option {
	return func(c *Client) { c.sendCheck = check }
}

// New returns a client for the leaf at address that opens at most maxConnections connections.
func New(address string, maxConnections int, options ...Option) *Client {
	client := &Client{address: address, pool: newPool(address, maxConnections, dialTCP)}
	for _, option := range options {
		option(client)
	}
	return client
}

// Response returns the decoded response body.
func (e Exchange) Response() Response { return e.response }

// Refused reports whether the leaf states that it refused the request before it started to execute it.
func (e Exchange) Refused() bool {
	isRefusal := e.status == fasthttp.StatusConflict || e.status == fasthttp.StatusServiceUnavailable
	return isRefusal && e.response.Started != nil && !*e.response.Started && e.response.Reason != ""
}

// OK reports whether the leaf answered with status 200.
func (e Exchange) OK() bool { return e.status == fasthttp.StatusOK }

// ConnectTime returns the time spent opening a connection, or 0 if an open one was used.
func (e Exchange) ConnectTime() time.Duration { return e.connectTime }

// ResponseTime returns the time from writing the request to reading the response, or 0 if the exchange failed.
func (e Exchange) ResponseTime() time.Duration { return e.responseTime }

// Search sends a search request for one shard. Any error it returns is an *Error.
func (c *Client) Search(request Request, timeout time.Duration) (Exchange, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return Exchange{}, c.newError(StepConnect, err)
	}
	exchange, err := c.exchange(fasthttp.MethodPost, PathSearch, body, timeout)
	if err != nil {
		return exchange, err
	}
	if exchange.response.ID != request.ID {
		c.pool.closeIdle()
		return exchange, c.newError(StepCheck, errors.Errorf("got response to request %q, want %q", exchange.response.ID, request.ID))
	}
	return exchange, nil
}

// Cancel tells the leaf to cancel the request with the given ID.
func (c *Client) Cancel(id string) error {
	body, err := json.Marshal(struct {
		ID string `json:"id"`
	}{ID: id})
	if err != nil {
		return c.newError(StepConnect, err)
	}
	_, err = c.exchange(fasthttp.MethodPost, PathCancel, body, cancelTimeout)
	return err
}

// Holdings asks the leaf which index versions and shards it holds.
func (c *Client) Holdings() (Exchange, error) {
	return c.exchange(fasthttp.MethodGet, PathHoldings, nil, holdingsTimeout)
}

// Preconnect opens connections until count are open or the limit is reached.
func (c *Client) Preconnect(count int) error {
	if err := c.pool.preconnect(count); err != nil {
		return c.newError(StepConnect, err)
	}
	return nil
}

// SetMaxConnections sets how many connections may be open. Surplus idle connections close at once, the others after use.
func (c *Client) SetMaxConnections(limit int) { c.pool.setLimit(limit) }

// Connections returns the number of open connections.
func (c *Client) Connections() int { return c.pool.openCount() }

// Close closes idle connections at once and the others when their exchange ends.
func (c *Client) Close() { c.pool.close() }

func (c *Client) exchange(method, path string, body []byte, timeout time.Duration) (Exchange, error) {
	var exchange Exchange
	start := time.Now()
	conn, isNew, err := c.pool.get()
	if isNew {
		exchange.connectTime = time.Since(start)
	}
	if err != nil {
		return exchange, c.newError(StepConnect, err)
	}
	if path == PathSearch && c.sendCheck != nil {
		if err := c.sendCheck(); err != nil {
			c.pool.put(conn)
			return exchange, &Error{step: StepSendCheck, address: c.address, cause: err}
		}
	}
	start = time.Now()
	if err := c.roundTrip(conn, method, path, body, timeout, &exchange); err != nil {
		c.pool.discard(conn)
		if !err.timeout {
			c.pool.closeIdle()
		}
		return exchange, err
	}
	exchange.responseTime = time.Since(start)
	if conn.reader.Buffered() > 0 {
		// These bytes belong to no request.
		c.pool.discard(conn)
		return exchange, nil
	}
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
	request.Header.Set(HeaderDataCentre, c.dataCentre)
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(body)
	if err := conn.raw.SetDeadline(time.Now().Add(timeout)); err != nil {
		return c.newError(StepConnect, err)
	}
	if err := request.Write(conn.writer); err != nil {
		return c.newError(StepWrite, err)
	}
	if err := conn.writer.Flush(); err != nil {
		return c.newError(StepWrite, err)
	}
	if err := response.ReadLimitBody(conn.reader, maxResponseBytes); err != nil {
		return c.newError(StepRead, err)
	}
	exchange.status = response.StatusCode()
	if len(response.Body()) > 0 {
		// Unmarshal copies the data, so the response may be released afterwards.
		if err := json.Unmarshal(response.Body(), &exchange.response); err != nil {
			return c.newError(StepDecode, err)
		}
	}
	if response.ConnectionClose() {
		return c.checkClosed(exchange)
	}
	return nil
}

// checkClosed returns an error if the leaf closes the connection after an error response without a reason.
func (c *Client) checkClosed(exchange *Exchange) *Error {
	if exchange.status == fasthttp.StatusOK || exchange.response.Reason != "" {
		return nil
	}
	return c.newError(StepRead, errors.New("leaf closed the connection"))
}

func (c *Client) newError(step Step, cause error) *Error {
	var netErr net.Error
	timeout := errors.As(cause, &netErr) && netErr.Timeout()
	return &Error{step: step, address: c.address, timeout: timeout, cause: cause}
}

func dialTCP(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout)
}
