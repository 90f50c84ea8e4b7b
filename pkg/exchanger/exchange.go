// An exchange is one request to one upstream. Its head is written once for all
// attempts; what differs is added when it is sent:
//
//	GET /bapu561/2f HTTP/1.1
//	Host: pupu76.example
//	...                           head, shared by all attempts
//	(time left): 1180             added when the request is written
//	(expected instance): i-7f3a   added for the upstream

package exchanger

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

var (
	// ErrUnreachable says that no connection could be opened, so that nothing was sent.
	ErrUnreachable = errors.New("the upstream could not be reached")
	// ErrStopped says that the pool was closed before anything was sent.
	ErrStopped = errors.New("the pool of the upstream is closed")
	// ErrForeignAnswer says that an answer belonged to another request.
	ErrForeignAnswer = errors.New("the answer belongs to another request")
	// ErrInterim says that interim answers came without a final one.
	ErrInterim = errors.New("too many interim answers")
)

type (
	// Headers names the headers that instances and upstreams exchange.
	Headers struct {
		// RequestID identifies a request; upstreams repeat it in their answer.
		RequestID string
		// TimeLeft has the milliseconds that the caller still waits.
		TimeLeft string
		// Expect names the instance that a request is meant for.
		Expect string
		// NotRun marks an answer to a request that the upstream did not start.
		NotRun string
		// Proof is the upstream's proof of an answer.
		Proof string
	}

	// Request is what all attempts of one request share.
	Request struct {
		// ID is the caller's identifier of the request.
		ID string
		// Head is the request line and all header lines but those of one attempt.
		Head []byte
		// Body is the whole body.
		Body []byte
		// NoAnswerBody tells that the answer has no body whatever its headers say.
		NoAnswerBody bool
		// Deadline is when the caller stops waiting.
		Deadline time.Time
		// Once tells that a second execution must not happen, so that only a sound connection may carry the request.
		Once bool
		// MaxAnswer bounds the body of the answer, in bytes; 0 is the bound of the pool.
		MaxAnswer int
		// Meter bounds the answers held for the whole query; nil is the meter of the pool.
		Meter *Meter
	}

	// Result is the end of an exchange.
	Result struct {
		// Answer is the upstream's answer, nil where there is none; the receiver calls Release.
		Answer *fasthttp.Response
		// Err says why there is no answer.
		Err error
		// Sent tells that the request may have reached the upstream.
		Sent bool
		// Queued is how long the request waited for a connection, Travelled the time from writing it to the answer.
		Queued    time.Duration
		Travelled time.Duration
		// held is what the answer counts for at the meter.
		held  int64
		meter *Meter
	}
)

// Release returns the memory of the answer.
func (r Result) Release() {
	if r.Answer != nil {
		fasthttp.ReleaseResponse(r.Answer)
		r.meter.Return(r.held)
	}
}

// Status returns the status of the answer, 0 where there is none.
func (r Result) Status() int {
	if r.Answer == nil {
		return 0
	}
	return r.Answer.StatusCode()
}

// wire returns the bytes of one attempt.
func (r *Request) wire(headers *Headers, instance string, left time.Duration) []byte {
	buffer := make([]byte, 0, len(r.Head)+len(r.Body)+2*maxHeaderLine)
	buffer = append(buffer, r.Head...)
	buffer = appendHeader(buffer, headers.TimeLeft, strconv.FormatInt(left.Milliseconds(), 10))
	buffer = appendHeader(buffer, headers.Expect, instance)
	buffer = append(buffer, "\r\n"...)
	return append(buffer, r.Body...)
}

// maxHeaderLine is room for one header line of an attempt, in bytes.
const maxHeaderLine = 80

func appendHeader(buffer []byte, name, value string) []byte {
	buffer = append(buffer, name...)
	buffer = append(buffer, ": "...)
	buffer = append(buffer, value...)
	return append(buffer, "\r\n"...)
}
