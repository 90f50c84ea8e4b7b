// A connection carries one exchange at a time. Its reader waits for bytes all
// the time, so that a close, or bytes that belong to no request, are noticed
// while the connection is idle.

package exchanger

import (
	"bufio"
	"net"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	readBuffer = 4 << 10
	// defaultKeepAlive is how long a connection stays idle where the upstream states nothing.
	defaultKeepAlive = 60 * time.Second
	// keepAliveMargin is taken off the stated time, so that a request does not cross the close.
	keepAliveMargin = 700 * time.Millisecond
	// inlineBody is the largest body that is written by the sender itself; socket buffers hold it.
	inlineBody = 4 << 10
	// writeTimeout bounds the writing of a small request into a connection that does not drain.
	writeTimeout = 2 * time.Second
	// refusalTime is the longest time from a request to the reset of a connection that was not taken: the way there and
	// back between data centres, and less than the shortest work of today's upstreams takes in all.
	refusalTime = 6 * time.Millisecond
	// leastTimeLeft is what an upstream is told at least.
	leastTimeLeft = time.Millisecond
)

// statusLine is the beginning of an answer.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]`)

type conn struct {
	pool      *Pool
	raw       net.Conn
	reader    *bufio.Reader
	ticket    *Ticket
	idleSince time.Time
	idleUntil time.Time
	keepAlive time.Duration
	// suspect marks a connection on which an answer to another request came; it is not used again.
	suspect bool
	// answered marks a connection that brought an answer; one that is reset before was not accepted.
	answered bool
	// unsent marks a connection that was closed before it took any byte of the request on it.
	unsent bool
}

func newConn(p *Pool, raw net.Conn) *conn {
	return &conn{pool: p, raw: raw, reader: bufio.NewReaderSize(raw, readBuffer), keepAlive: defaultKeepAlive}
}

func (c *conn) write(ticket *Ticket) {
	if len(ticket.request.Body) > inlineBody {
		go c.writeNow(ticket)
		return
	}
	c.writeNow(ticket)
}

// writeNow sends the request; a failure closes the connection, and the reader reports it.
func (c *conn) writeNow(ticket *Ticket) {
	left := max(leastTimeLeft, time.Until(ticket.request.Deadline))
	deadline := writeTimeout
	if len(ticket.request.Body) > inlineBody {
		deadline = left
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(deadline))
	written, err := c.raw.Write(ticket.request.wire(c.pool.config.Headers, c.pool.instance, left))
	c.pool.mu.Lock()
	ticket.writing = false
	c.unsent = err != nil && written == 0
	c.pool.mu.Unlock()
	if err != nil {
		c.close()
	}
}

func (c *conn) close() { _ = c.raw.Close() }

// closeIfServing closes the connection while it still carries the exchange.
func (c *conn) closeIfServing(ticket *Ticket) {
	c.pool.mu.Lock()
	serving := c.ticket == ticket
	c.pool.mu.Unlock()
	if serving {
		c.close()
	}
}

// closeIfSpareSince closes the connection if it carried nothing since the given time and others suffice.
func (c *conn) closeIfSpareSince(since time.Time) {
	c.pool.mu.Lock()
	unused := c.ticket == nil && c.idleSince.Equal(since) && len(c.pool.open) > c.pool.kept
	if unused {
		c.pool.forget(c)
	}
	c.pool.mu.Unlock()
	if unused {
		c.close()
	}
}

func (c *conn) readLoop() {
	err := c.readAnswers()
	c.close()
	ticket := c.pool.lost(c)
	if ticket == nil {
		return
	}
	unsent := c.isUnsent()
	if (unsent || !ticket.request.Once && c.wasRefused(ticket, err)) && c.pool.takeBack(ticket) {
		return
	}
	ticket.finish(Result{Err: err, Sent: !unsent})
}

func (c *conn) isUnsent() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.unsent
}

// wasRefused tells whether the upstream did not take the connection: it reset it before it can have done any work.
func (c *conn) wasRefused(ticket *Ticket, err error) bool {
	return !c.answered && errors.Is(err, syscall.ECONNRESET) && time.Since(ticket.sent) < refusalTime
}

// readAnswers reads until the connection ends or may not be used again. A fault of the parser costs this connection only.
func (c *conn) readAnswers() (err error) {
	defer func() {
		if fault := recover(); fault != nil {
			err = errors.Errorf("read the answer: %v", fault)
		}
	}()
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return errors.Wrap(err, "read the answer")
		}
		ticket := c.serving()
		if ticket == nil {
			return errors.New("bytes without a request")
		}
		answer, held, err := c.readAnswer(ticket.request)
		if err != nil {
			return errors.Wrap(err, "read the answer")
		}
		if isSpliced(answer) {
			fasthttp.ReleaseResponse(answer)
			c.pool.meterOf(ticket.request).Return(held)
			return ErrForeignAnswer
		}
		id := answer.Header.Peek(c.pool.config.Headers.RequestID)
		if string(id) != ticket.request.ID {
			unnamed := len(id) == 0
			fasthttp.ReleaseResponse(answer)
			c.pool.meterOf(ticket.request).Return(held)
			if unnamed || c.suspect {
				return ErrForeignAnswer
			}
			// A second answer to an earlier request; the one that is waited for follows.
			c.suspect = true
			continue
		}
		if !c.deliver(ticket, answer, held) {
			return nil
		}
	}
}

// isSpliced tells whether the head runs on from the unfinished head of another answer: a status line stands within it.
func isSpliced(answer *fasthttp.Response) bool {
	for name, value := range answer.Header.All() {
		if statusLine.Match(name) || statusLine.Match(value) {
			return true
		}
	}
	return false
}

func (c *conn) serving() *Ticket {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.ticket
}

// readAnswer reads the final answer, past interim ones, and returns the bytes counted for its body.
func (c *conn) readAnswer(request *Request) (answer *fasthttp.Response, held int64, err error) {
	for range maxInterim + 1 {
		answer = fasthttp.AcquireResponse()
		answer.SkipBody = request.NoAnswerBody
		answer.Header.SetNoDefaultContentType(true)
		if err = answer.Header.Read(c.reader); err == nil {
			held, err = readBody(c.reader, answer, c.pool.limitOf(request), c.pool.meterOf(request))
		}
		if err != nil {
			fasthttp.ReleaseResponse(answer)
			return nil, 0, err
		}
		if answer.StatusCode() >= fasthttp.StatusOK {
			return answer, held, nil
		}
		fasthttp.ReleaseResponse(answer)
	}
	return nil, 0, ErrInterim
}

// deliver hands the answer over and tells whether the connection may carry another exchange.
func (c *conn) deliver(ticket *Ticket, answer *fasthttp.Response, held int64) bool {
	c.keepAlive = keepAliveOf(answer)
	c.answered = true
	reusable := !c.suspect && !answer.ConnectionClose() && c.reader.Buffered() == 0
	c.pool.mu.Lock()
	c.ticket = nil
	reusable = reusable && !ticket.writing
	c.pool.mu.Unlock()
	if reusable {
		c.pool.release(c)
	} else {
		c.pool.lost(c)
		c.close()
	}
	ticket.finish(Result{Answer: answer, Sent: true, held: held, meter: c.pool.meterOf(ticket.request)})
	return reusable
}

// keepAliveOf returns how long the upstream keeps the idle connection, less a margin.
func keepAliveOf(answer *fasthttp.Response) time.Duration {
	for _, part := range strings.Split(string(answer.Header.Peek("Keep-Alive")), ",") {
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
