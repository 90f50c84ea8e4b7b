// An upstream that is overloaded states in its responses how many requests it
// takes from all instances together:
//
//	(rate limit): 12.5        12.5 requests a second

package exchanger

import (
	"math"
	"regexp"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
)

// rateLimitPattern matches a decimal number without an exponent. strconv also accepts hexadecimal numbers and underscores.
var rateLimitPattern = regexp.MustCompile(`^(\d+\.?\d*|\.\d+)$`)

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
	if name == "" {
		return RateLimit{}
	}
	var values []string
	for _, line := range header.PeekAll(name) {
		values = append(values, strings.Split(string(line), ",")...)
	}
	limit := RateLimit{}
	if len(values) > 1 {
		limit.Problem = "the rate is stated more than once"
	}
	for _, text := range values {
		rate, isValid := parseRate(strings.TrimSpace(text))
		switch {
		case !isValid:
			limit.Problem = "not a rate: " + strconv.QuoteToASCII(text[:min(len(text), maxLoggedRateBytes)])
		case !limit.IsNamed || rate < limit.PerSecond:
			limit.IsNamed, limit.PerSecond = true, rate
		}
	}
	return limit
}

// maxLoggedRateBytes limits how much of an invalid rate is kept for the log.
const maxLoggedRateBytes = 32

func parseRate(text string) (rate float64, isValid bool) {
	if !rateLimitPattern.MatchString(text) {
		return 0, false
	}
	rate, err := strconv.ParseFloat(text, 64)
	return rate, err == nil && !math.IsInf(rate, 0)
}
