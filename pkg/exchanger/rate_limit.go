// An upstream that is overloaded states in its responses how many requests it
// takes from all instances together:
//
//	(rate limit): 12.5        12.5 requests a second

package exchanger

import "github.com/valyala/fasthttp"

// RateLimit is the rate that one response states.
type RateLimit struct {
	// IsNamed is set if the response states a valid rate.
	IsNamed bool
	// PerSecond is the rate in requests a second, 0 if the upstream takes none.
	PerSecond float64
	// Problem says what is wrong with the header, or is empty. Of several valid rates, the lowest counts.
	Problem string
}

// rateLimitOf returns the rate that the headers with the given name state.
func rateLimitOf(header *fasthttp.ResponseHeader, name string) RateLimit {
	limit := RateLimit{}
	values := headerValues(header, name)
	if len(values) > 1 {
		limit.Problem = "the rate is stated more than once"
	}
	for _, text := range values {
		rate, isValid := parseDecimal(text)
		switch {
		case !isValid:
			limit.Problem = "not a rate: " + quoteForLog(text)
		case !limit.IsNamed || rate < limit.PerSecond:
			limit.IsNamed, limit.PerSecond = true, rate
		}
	}
	return limit
}
