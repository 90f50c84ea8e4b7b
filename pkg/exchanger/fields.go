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
var lastLineFields = []string{fasthttp.HeaderContentType, fasthttp.HeaderContentEncoding, fasthttp.HeaderServer}

// repeatedFieldsOf returns those of lastLineFields that have several lines, each with all its values.
func repeatedFieldsOf(head []byte) map[string]string {
	var repeated map[string]string
	for _, name := range lastLineFields {
		if values := valuesOf(head, name); len(values) > 1 {
			if repeated == nil {
				repeated = map[string]string{}
			}
			repeated[name] = string(bytes.Join(values, []byte(", ")))
		}
	}
	return repeated
}

// valuesOf returns the values of a field in a valid head.
func valuesOf(head []byte, name string) [][]byte {
	var values [][]byte
	for line := range bytes.Lines(head) {
		if lineName, value, _ := bytes.Cut(line, []byte{':'}); len(lineName) == len(name) && strings.EqualFold(string(lineName), name) {
			values = append(values, bytes.TrimSpace(value))
		}
	}
	return values
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
