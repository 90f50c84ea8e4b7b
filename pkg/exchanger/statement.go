// A response also states things about its upstream that concern later requests:
//
//	(rate limit): 12.5      it takes 12.5 requests a second from all instances together
//	(leaving): 1            it is about to stop
//	Retry-After: 3          with status 503: it wants no requests from this instance for three seconds

package exchanger

import (
	"math"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxRest is the longest rest that an upstream can ask for. A longer one is taken for a mistake.
	maxRest = time.Hour
	// maxLoggedValueBytes limits how much of an invalid header is kept for the log.
	maxLoggedValueBytes = 32
)

type (
	// Statement is what the response to one request states about the upstream.
	Statement struct {
		RateLimit RateLimit
		Rest      Rest
		// IsLeaving is set if the upstream is about to stop.
		IsLeaving bool
		RequestID string
		// ResponseTime is the time from sending the request to its response.
		ResponseTime time.Duration
		// HasRun is set if the upstream executed the request.
		HasRun bool
	}

	// Rest is the time for which an upstream wants no requests from this instance.
	Rest struct {
		// For is the time from the response on, 0 if none was asked for.
		For time.Duration
		// Problem says what is wrong with the header, or is empty. Of several valid times, the longest counts.
		Problem string
	}
)

// decimalPattern matches a decimal number without an exponent. strconv also accepts hexadecimal numbers and underscores.
var decimalPattern = regexp.MustCompile(`^(\d+\.?\d*|\.\d+)$`)

// isEmpty reports whether the response states nothing.
func (s Statement) isEmpty() bool {
	return s.RateLimit == RateLimit{} && s.Rest == Rest{} && !s.IsLeaving
}

// reportStatement tells the gate what a response states about the upstream. The response of another upstream that has the address
// now says nothing.
func (p *Pool) reportStatement(exchange *Exchange, response *fasthttp.Response) {
	if response.StatusCode() == fasthttp.StatusMisdirectedRequest {
		return
	}
	headers := p.config.Headers
	statement := Statement{
		RateLimit: rateLimitOf(&response.Header, headers.RateLimit), Rest: restOf(response), RequestID: exchange.request.ID,
		IsLeaving: headers.Leaving != "" && string(response.Header.Peek(headers.Leaving)) == isSet,
		HasRun:    len(response.Header.Peek(headers.NotExecuted)) == 0, ResponseTime: time.Since(exchange.sentAt),
	}
	p.mu.Lock()
	isExpected := p.isRateLimited || p.isLeaving
	p.isLeaving = p.isLeaving || statement.IsLeaving
	p.mu.Unlock()
	if isExpected || !statement.isEmpty() {
		p.gate.OnStatement(statement)
	}
}

// isSet is the value of a header that states a fact.
const isSet = "1"

// restOf returns the rest that a refusal asks for.
func restOf(response *fasthttp.Response) Rest {
	if response.StatusCode() != http.StatusServiceUnavailable {
		return Rest{}
	}
	rest := Rest{}
	values := headerValues(&response.Header, fasthttp.HeaderRetryAfter)
	if len(values) > 1 {
		rest.Problem = "the rest is stated more than once"
	}
	for _, text := range values {
		seconds, isValid := parseDecimal(text)
		if !isValid || seconds > maxRest.Seconds() {
			rest.Problem = "not a rest in seconds: " + quoteForLog(text)
			continue
		}
		rest.For = max(rest.For, time.Duration(seconds*float64(time.Second)))
	}
	return rest
}

// headerValues returns the values of all header lines with the given name, which may each be a list.
func headerValues(header *fasthttp.ResponseHeader, name string) []string {
	if name == "" {
		return nil
	}
	var values []string
	for _, line := range header.PeekAll(name) {
		for _, value := range strings.Split(string(line), ",") {
			values = append(values, strings.TrimSpace(value))
		}
	}
	return values
}

func parseDecimal(text string) (number float64, isValid bool) {
	if !decimalPattern.MatchString(text) {
		return 0, false
	}
	number, err := strconv.ParseFloat(text, 64)
	return number, err == nil && !math.IsInf(number, 0)
}

func quoteForLog(text string) string {
	return strconv.QuoteToASCII(text[:min(len(text), maxLoggedValueBytes)])
}
