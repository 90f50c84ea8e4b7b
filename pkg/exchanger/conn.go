// A connection carries one exchange at a time. A goroutine reads from it even
// while it is idle, so that a close by the upstream and unsolicited bytes are
// detected before the connection is reused.

package exchanger

import (
	"bufio"
	"bytes"
	"net"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lovagedeck/pkg/retrier"
	"lovagedeck/pkg/verifier"
)

const (
	readBufferBytes = 4 << 10
	// defaultKeepAlive is the idle timeout of a connection whose upstream sends no Keep-Alive header.
	defaultKeepAlive = 60 * time.Second
	// keepAliveMargin is subtracted from the Keep-Alive timeout, so that no request is sent while the upstream closes the
	// connection.
	keepAliveMargin = 700 * time.Millisecond
	// maxInlineBodyBytes is the largest body that the calling goroutine writes itself, because it fits into the socket buffer.
	maxInlineBodyBytes = 4 << 10
	// writeTimeout bounds the write of a small request to an upstream that does not read.
	writeTimeout = 2 * time.Second
	// refusalWindow is how soon after a request a reset means that the upstream did not accept the connection. It covers a
	// round trip between data centres and is shorter than any upstream takes to serve a request.
	refusalWindow = 6 * time.Millisecond
	// statusLineBytes is the length of what statusLinePattern matches.
	statusLineBytes = len("HTTP/1.1 200")
	// minRemainingTime is the shortest remaining time that is sent to an upstream.
	minRemainingTime = time.Millisecond
)

// statusLinePattern matches the beginning of a response.
var statusLinePattern = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]`)

type conn struct {
	pool      *Pool
	raw       net.Conn
	reader    *bufio.Reader
	exchange  *Exchange
	idleSince time.Time
	idleUntil time.Time
	keepAlive time.Duration
	// sawMismatch is set after a response to another request arrived. The connection is not reused.
	sawMismatch bool
	// hasReceived is set with the first byte of a response. A reset before it means that the connection was not accepted.
	hasReceived bool
	// unsent is set if the write failed before any byte of the request was written.
	unsent bool
}

func newConn(p *Pool, raw net.Conn) *conn {
	return &conn{pool: p, raw: raw, reader: bufio.NewReaderSize(raw, readBufferBytes), keepAlive: defaultKeepAlive}
}

func (c *conn) startWrite(exchange *Exchange) {
	if len(exchange.request.Body) > maxInlineBodyBytes {
		go c.writeRequest(exchange)
		return
	}
	c.writeRequest(exchange)
}

// writeRequest sends the request. On failure it closes the connection, and readLoop reports the error.
func (c *conn) writeRequest(exchange *Exchange) {
	remaining := max(minRemainingTime, time.Until(exchange.request.Deadline))
	timeout := writeTimeout
	if len(exchange.request.Body) > maxInlineBodyBytes {
		timeout = remaining
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(timeout))
	written, err := c.raw.Write(exchange.request.encode(c.pool.config.Headers, c.pool.instance, remaining))
	c.pool.mu.Lock()
	exchange.isWriting = false
	c.unsent = err != nil && written == 0
	c.pool.mu.Unlock()
	if err != nil {
		c.close()
	}
}

func (c *conn) close() { _ = c.raw.Close() }

// reset closes the connection and drops what has not been delivered. An ordinary close would go on delivering it, so that a request
// that was given up would reach the upstream when a network partition ends.
func (c *conn) reset() {
	if tcp, isTCP := c.raw.(interface{ SetLinger(seconds int) error }); isTCP {
		_ = tcp.SetLinger(0)
	}
	c.close()
}

func (c *conn) resetIfCarrying(exchange *Exchange) {
	c.pool.mu.Lock()
	isCarrying := c.exchange == exchange
	c.pool.mu.Unlock()
	if isCarrying {
		c.reset()
	}
}

// closeIfSurplus closes the connection if it has been idle since idleSince and the pool has more than minOpen connections.
func (c *conn) closeIfSurplus(idleSince time.Time) {
	c.pool.mu.Lock()
	isSurplus := c.exchange == nil && c.idleSince.Equal(idleSince) && len(c.pool.open) > c.pool.minOpen
	if isSurplus {
		c.pool.remove(c)
	}
	c.pool.mu.Unlock()
	if isSurplus {
		c.close()
	}
}

func (c *conn) readLoop() {
	err := c.readResponses()
	c.close()
	exchange := c.pool.onConnClosed(c)
	if exchange == nil {
		return
	}
	progress := c.progressAtEnd()
	if (!progress.MayHaveRun() || !exchange.request.IsNonIdempotent && c.wasRefused(exchange, err)) && c.pool.requeue(exchange, progress) {
		return
	}
	exchange.finish(Result{Err: err, Progress: progress})
}

// progressAtEnd returns what is known of a request whose connection ended without a response.
func (c *conn) progressAtEnd() retrier.Progress {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.unsent {
		return retrier.NotSent
	}
	return retrier.Unknown
}

// wasRefused reports whether the upstream reset the connection too early to have processed the request.
func (c *conn) wasRefused(exchange *Exchange, err error) bool {
	return !c.hasReceived && errors.Is(err, syscall.ECONNRESET) && time.Since(exchange.sentAt) < refusalWindow
}

// readResponses reads responses until the connection ends or must not be reused. A panic of the parser ends only this
// connection.
func (c *conn) readResponses() (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = errors.Errorf("read the answer: %v", reason)
		}
	}()
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return errors.Wrap(err, "read the answer")
		}
		c.hasReceived = true
		exchange := c.currentExchange()
		if exchange == nil {
			return errors.New("received data without a pending request")
		}
		response, reserved, err := c.readResponse(exchange.request)
		if err != nil {
			return errors.Wrap(err, "read the answer")
		}
		if c.isBodyBrokenOff(response) {
			fasthttp.ReleaseResponse(response)
			c.pool.quotaFor(exchange.request).Release(reserved)
			return ErrResponseMismatch
		}
		ids := response.Header.PeekAll(c.pool.config.Headers.RequestID)
		if !nameOnly(ids, exchange.request.ID) {
			isOfOtherRequest := len(ids) == 1 && len(ids[0]) > 0
			fasthttp.ReleaseResponse(response)
			c.pool.quotaFor(exchange.request).Release(reserved)
			if !isOfOtherRequest || c.sawMismatch {
				return ErrResponseMismatch
			}
			// This is a duplicate response to an earlier request. The response to the current one is still to come.
			c.sawMismatch = true
			continue
		}
		if !c.deliver(exchange, response, reserved) {
			return nil
		}
	}
}

// isBodyBrokenOff reports whether a status line begins within the body and more bytes follow the body, which happens if the upstream
// breaks off one response within its body and starts another.
func (c *conn) isBodyBrokenOff(response *fasthttp.Response) bool {
	body := response.Body()
	// A status line that begins where the body ends belongs to another response after a complete one.
	surplus := min(c.reader.Buffered(), statusLineBytes-1)
	if surplus == 0 {
		return false
	}
	next, _ := c.reader.Peek(surplus)
	end := append(bytes.Clone(body[max(0, len(body)-statusLineBytes):]), next...)
	return statusLinePattern.Match(body) || statusLinePattern.Match(end)
}

func (c *conn) currentExchange() *Exchange {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.exchange
}

// readResponse reads the final response, skipping interim ones, and returns the number of bytes reserved for its body.
func (c *conn) readResponse(request *Request) (response *fasthttp.Response, reserved int64, err error) {
	for range maxInterimResponses + 1 {
		response = fasthttp.AcquireResponse()
		response.SkipBody = request.HasNoResponseBody
		response.Header.SetNoDefaultContentType(true)
		if err = c.readHead(response); err == nil {
			reserved, err = readBody(c.reader, response, c.pool.maxBodyBytes(request), c.pool.quotaFor(request))
		}
		if err != nil {
			fasthttp.ReleaseResponse(response)
			return nil, 0, err
		}
		if response.StatusCode() >= fasthttp.StatusOK {
			return response, reserved, nil
		}
		fasthttp.ReleaseResponse(response)
	}
	return nil, 0, ErrTooManyInterim
}

func (c *conn) readHead(response *fasthttp.Response) error {
	head, err := c.peekHead()
	if err != nil {
		return err
	}
	repeated := repeatedFieldsOf(head)
	if err := response.Header.Read(c.reader); err != nil {
		return err
	}
	for name, value := range repeated {
		response.Header.Set(name, value)
	}
	return nil
}

// peekHead waits until the buffer holds a whole and valid head, and returns it without reading it.
func (c *conn) peekHead() ([]byte, error) {
	var head verifier.Head
	for length := 0; ; {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		validBytes, err := head.Verify(buffered[length:])
		if err != nil {
			return nil, err
		}
		if length += validBytes; head.IsComplete() {
			return buffered[:length], nil
		}
		if _, err := c.reader.Peek(length + 1); err != nil {
			return nil, err
		}
	}
}

// deliver completes the exchange and reports whether the connection may carry another one.
func (c *conn) deliver(exchange *Exchange, response *fasthttp.Response, reserved int64) bool {
	c.keepAlive = keepAliveTimeout(response)
	isReusable := !c.sawMismatch && !response.ConnectionClose() && c.reader.Buffered() == 0
	c.pool.mu.Lock()
	c.exchange = nil
	isReusable = isReusable && !exchange.isWriting
	c.pool.mu.Unlock()
	if isReusable {
		c.pool.release(c)
	} else {
		c.pool.onConnClosed(c)
		c.close()
	}
	c.pool.reportStatement(exchange, response)
	result := Result{Response: response, Progress: retrier.Ran, reserved: reserved, quota: c.pool.quotaFor(exchange.request)}
	if c.statesNotRun(response) {
		result.Progress, result.isRefusal = retrier.Refused, true
	}
	exchange.finish(result)
	return isReusable
}

// statesNotRun reports whether the upstream states that it did not run the request: with a header, or because the request was meant
// for another process.
func (c *conn) statesNotRun(response *fasthttp.Response) bool {
	return response.StatusCode() == fasthttp.StatusMisdirectedRequest || len(response.Header.Peek(c.pool.config.Headers.NotExecuted)) > 0
}

// keepAliveTimeout returns the idle timeout from the Keep-Alive header, less a margin.
func keepAliveTimeout(response *fasthttp.Response) time.Duration {
	for _, part := range strings.Split(string(response.Header.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return defaultKeepAlive
}
