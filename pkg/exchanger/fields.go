// A field of a response may have several lines, which mean the same as one line
// with their values in the same order, separated by commas (RFC 9110, section
// 5.3).

package exchanger

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"
)

// lastLineFields are the fields of which fasthttp keeps the last line alone.
var lastLineFields = [...]string{fasthttp.HeaderContentType, fasthttp.HeaderContentEncoding, fasthttp.HeaderServer}

// repeatedFieldsOf returns those of lastLineFields that have several lines, each with all its values. Few answers have one.
func repeatedFieldsOf(head []byte) map[string]string {
	var repeated map[string]string
	for i, count := range countLines(head) {
		if count < 2 {
			continue
		}
		if repeated == nil {
			repeated = map[string]string{}
		}
		repeated[lastLineFields[i]] = string(bytes.Join(valuesOf(head, lastLineFields[i]), []byte(", ")))
	}
	return repeated
}

// countLines returns the number of lines of each of lastLineFields in a valid head.
func countLines(head []byte) (counts [len(lastLineFields)]int) {
	for line := range bytes.Lines(head) {
		name, _, _ := bytes.Cut(line, []byte{':'})
		for i, field := range lastLineFields {
			if isField(name, field) {
				counts[i]++
			}
		}
	}
	return counts
}

// valuesOf returns the values of a field in a valid head.
func valuesOf(head []byte, field string) [][]byte {
	var values [][]byte
	for line := range bytes.Lines(head) {
		if name, value, _ := bytes.Cut(line, []byte{':'}); isField(name, field) {
			values = append(values, bytes.TrimSpace(value))
		}
	}
	return values
}

func isField(name []byte, field string) bool {
	return len(name) == len(field) && strings.EqualFold(string(name), field)
}

// nameOnly reports whether the ids in a response name the request, and no other one.
func nameOnly(ids [][]byte, id string) bool {
	for _, value := range ids {
		if string(value) != id {
			return false
		}
	}
	return len(ids) > 0
}
