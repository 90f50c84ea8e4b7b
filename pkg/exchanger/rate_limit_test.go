package exchanger

import (
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

func TestRateLimitOf(t *testing.T) {
	cases := []struct {
		name   string
		values []string
		named  bool
		rate   float64
		// problem reports whether the header is logged as invalid.
		problem bool
	}{
		{"none", nil, false, 0, false},
		{"whole", []string{"12"}, true, 12, false},
		{"fraction", []string{" 0.25 "}, true, 0.25, false},
		{"without a leading zero", []string{".5"}, true, 0.5, false},
		{"zero", []string{"0"}, true, 0, false},
		{"negative", []string{"-1"}, false, 0, true},
		{"not a number", []string{"NaN"}, false, 0, true},
		{"infinite", []string{"Inf"}, false, 0, true},
		{"hexadecimal", []string{"0x10"}, false, 0, true},
		{"too large", []string{strings.Repeat("9", 400)}, false, 0, true},
		{"empty", []string{""}, false, 0, true},
		{"twice, the lower counts", []string{"9", "4"}, true, 4, true},
		{"twice in one line", []string{"4, 9"}, true, 4, true},
		{"twice, one of them invalid", []string{"-4", "9"}, true, 9, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var header fasthttp.ResponseHeader
			for _, value := range c.values {
				header.Add("Rate", value)
			}
			got := rateLimitOf(&header, "Rate")
			if got.IsNamed != c.named || got.PerSecond != c.rate || (got.Problem != "") != c.problem {
				t.Errorf("got %+v, want named %v, rate %g, problem %v", got, c.named, c.rate, c.problem)
			}
		})
	}
}
