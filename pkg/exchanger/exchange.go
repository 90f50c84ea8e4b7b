// An exchange is one request to one upstream and its response. The head of the
// request is encoded once for all attempts. The headers that differ between
// attempts are appended when the request is sent:
//
//	GET /bapu561/2f HTTP/1.1
//	Host: pupu76.example
//	...                           head, shared by all attempts
//	(remaining time): 1180        set when the request is written
//	(expected instance): i-7f3a   set for the upstream

package exchanger

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lovagedeck/pkg/retrier"
)

var (
	// ErrUnreachable is returned if no connection could be opened. Nothing was sent.
	ErrUnreachable = errors.New("the upstream could not be reached")
	// ErrNoSocket is an ErrUnreachable because this process has no descriptor or memory left for a connection, which says nothing about the
	// upstream.
	ErrNoSocket = errors.Wrap(ErrUnreachable, "no descriptor or memory is left for a connection")
	// ErrPoolClosed is returned if the pool was closed, or failed its waiting requests, before the request was sent.
	ErrPoolClosed = errors.New("connection pool is closed")
	// ErrResting is returned if the upstream had asked for rest before the request was sent.
	ErrResting = errors.New("the upstream has asked for rest")
	// ErrResponseMismatch is returned if the response belongs to another request.
	ErrResponseMismatch = errors.New("response belongs to another request")
	// ErrTooManyInterim is returned if the upstream sends too many 1xx responses before the final one.
	ErrTooManyInterim = errors.New("too many interim responses")
)

type (
	// Headers has the names of the headers that instances and upstreams exchange.
	Headers struct {
		// RequestID identifies the request. Upstreams repeat it in the response.
		RequestID string
		// RemainingTime is the time until the deadline of the caller, in milliseconds.
		RemainingTime string
		// ExpectedInstance identifies the upstream process that the request is intended for.
		ExpectedInstance string
		// NotExecuted marks the response to a request that the upstream did not execute.
		NotExecuted string
		// Proof is the stamp with which an upstream proves that it gave the response.
		Proof string
		// RateLimit states how many requests a second an overloaded upstream takes from all instances together.
		RateLimit string
		// Leaving marks the responses of an upstream that is about to stop.
		Leaving string
	}

	// Request has what all attempts of one request share.
	Request struct {
		// ID is the request ID given by the caller.
		ID string
		// Head is the request line and the header lines, without those that differ between attempts.
		Head []byte
		// Body is the complete request body.
		Body []byte
		// HasNoResponseBody is set if the response has no body regardless of its headers, as for HEAD.
		HasNoResponseBody bool
		// Deadline is when the caller stops waiting.
		Deadline time.Time
		// IsNonIdempotent is set if the request must not be executed twice. It is then sent only on a new connection or one that
		// was idle for a short time.
		IsNonIdempotent bool
		// MaxResponseBytes is the longest response body, in bytes. If 0, the limit of the pool applies.
		MaxResponseBytes int
		// MaxPermitWait is how long the request may wait for a permit of an upstream that limits its request rate.
		MaxPermitWait time.Duration
		// Quota limits the memory for the response bodies of the query. If nil, the quota of the pool applies.
		Quota *Quota
	}

	// Result is the outcome of an exchange.
	Result struct {
		// Response is the response, or nil if there is none. The receiver must call Release.
		Response *fasthttp.Response
		// Err is the reason why there is no response.
		Err error
		// Progress is what is known of the request at the upstream, over all connections that it was sent on.
		Progress retrier.Progress
		// QueueTime is the time spent waiting for a connection, ResponseTime the time from sending the request to the end of
		// the exchange.
		QueueTime    time.Duration
		ResponseTime time.Duration
		// reserved is the number of bytes reserved from quota for the body.
		reserved int64
		quota    *Quota
		// isRefusal is set if the response states that the upstream did not run the request.
		isRefusal bool
	}
)

// Release frees the response and returns its memory to the quota.
func (r Result) Release() {
	if r.Response != nil {
		fasthttp.ReleaseResponse(r.Response)
		r.quota.Release(r.reserved)
	}
}

// Status returns the HTTP status code, or 0 if there is no response.
func (r Result) Status() int {
	if r.Response == nil {
		return 0
	}
	return r.Response.StatusCode()
}

// IsRefusal reports whether the response states that the upstream did not run the request.
func (r Result) IsRefusal() bool { return r.isRefusal }

// encode returns the request as it is written for one attempt.
func (r *Request) encode(headers *Headers, instance string, remaining time.Duration) []byte {
	buffer := make([]byte, 0, len(r.Head)+len(r.Body)+2*headerLineBytes)
	buffer = append(buffer, r.Head...)
	buffer = appendHeader(buffer, headers.RemainingTime, strconv.FormatInt(remaining.Milliseconds(), 10))
	buffer = appendHeader(buffer, headers.ExpectedInstance, instance)
	buffer = append(buffer, "\r\n"...)
	return append(buffer, r.Body...)
}

// headerLineBytes is the buffer space set aside for one header line added per attempt.
const headerLineBytes = 80

func appendHeader(buffer []byte, name, value string) []byte {
	buffer = append(buffer, name...)
	buffer = append(buffer, ": "...)
	buffer = append(buffer, value...)
	return append(buffer, "\r\n"...)
}
