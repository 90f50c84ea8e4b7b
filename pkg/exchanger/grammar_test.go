package exchanger

import (
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// The grammar of RFC 9112, sections 4 and 5, for heads of major version 1. A status line may lack its reason, and more than one blank may
// precede the status.
var (
	emptyLinesGrammar = regexp.MustCompile(`^(\r?\n)*`)
	statusLineGrammar = regexp.MustCompile(`^HTTP/1\.([0-9]) +([1-5][0-9]{2})( [^\x00-\x08\x0a-\x1f\x7f]*)?$`)
	fieldLineGrammar  = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\\x00-\\x08\\x0a-\\x1f\\x7f]*?)[ \t]*$")
)

// grammaticalHead is a head as the grammar reads it, with the bytes that follow it.
type grammaticalHead struct {
	status int
	rest   string
	// fields holds the values of each field in the order of their lines, by the lower-case name.
	fields map[string][]string
}

// parseByGrammar reads the head of an answer. Empty lines may precede it, and lines may end with a line feed alone. A transfer encoding
// is valid in HTTP/1.1 alone.
func parseByGrammar(answer string) (head grammaticalHead, isValid bool) {
	text, rest, isWhole := strings.Cut(emptyLinesGrammar.ReplaceAllString(answer, ""), "\r\n\r\n")
	lines := strings.Split(text+"\r", "\n")
	for i := range lines {
		lines[i] = strings.TrimSuffix(lines[i], "\r")
	}
	statusLine := statusLineGrammar.FindStringSubmatch(lines[0])
	if !isWhole || statusLine == nil {
		return head, false
	}
	head.status, _ = strconv.Atoi(statusLine[2])
	head.fields, head.rest = map[string][]string{}, rest
	for _, line := range lines[1:] {
		field := fieldLineGrammar.FindStringSubmatch(line)
		if field == nil {
			return head, false
		}
		name := strings.ToLower(field[1])
		head.fields[name] = append(head.fields[name], field[2])
	}
	return head, statusLine[1] == "1" || len(head.fields["transfer-encoding"]) == 0
}

// body returns the body that the head announces: chunks, a number of bytes, or all up to the close.
func (h grammaticalHead) body() (body string, isKnown bool) {
	lengths := h.fields["content-length"]
	switch {
	case h.status == http.StatusNoContent || h.status == http.StatusNotModified:
		return "", true
	case len(h.fields["transfer-encoding"]) > 0:
		return wholeBody, h.rest == chunkedWholeBody
	case len(lengths) == 0:
		return h.rest, true
	}
	length, err := strconv.Atoi(lengths[0])
	return h.rest[:min(length, len(h.rest))], err == nil && len(lengths) == 1
}

const chunkedWholeBody = "10\r\n" + wholeBody + "\r\n0\r\n\r\n"

// differenceFrom says what an accepted answer has in another way than by the grammar, or is empty.
func (h grammaticalHead) differenceFrom(result Result) string {
	if result.Status() != h.status {
		return "status"
	}
	if body, isKnown := h.body(); !isKnown || string(bodyOf(result)) != body {
		return "body"
	}
	got := map[string][]string{}
	for name, value := range result.Response.Header.All() {
		key := strings.ToLower(string(name))
		got[key] = append(got[key], string(value))
	}
	for name, values := range h.fields {
		// The exchange reads these, and they are not passed on.
		if slices.Contains([]string{"connection", "trailer", "transfer-encoding", "content-length"}, name) {
			continue
		}
		if strings.Join(got[name], ", ") != strings.Join(values, ", ") {
			return "field " + name
		}
	}
	return ""
}

// A byte or a few bytes are put at each place of a head, or a byte is replaced. What is accepted must be valid by the grammar, and read as
// the grammar reads it. What is valid must be accepted, unless it changes the id, the status or the framing.
func TestHeadsFollowGrammar(t *testing.T) {
	heads := []struct{ head, body string }{
		{"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Type: t\r\nNote: a b\r\nContent-Length: 16\r\n\r\n", wholeBody},
		{"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nNote: a b\r\nTransfer-Encoding: chunked\r\n\r\n", chunkedWholeBody},
		{"HTTP/1.0 200 OK\r\nRequest-Id: r1\r\nNote: a b\r\n\r\n", wholeBody},
	}
	inserted := []string{
		"\r\n", "\n\r", "\r\r", "\n\n", " \n", "\n ", "\r\n ", "\r ", " \r", "\t\n", "\n\t", "\r\n\t", "\nx", "x\n", "\n:", "\r\n:", ", ", "::", "\r\n\r", "\n\r\n", "\nA:b\n",
		"\r\nA:b\r\n", "\r\n A:b\r\n", "\r\nTransfer-Encoding:chunked\r\n", "\r\n Transfer-Encoding:chunked\r\n", "\r\nContent-Length:3\r\n", "\r\n Content-Length:3\r\n",
		"\r\nContent-Type:x\r\n", "\r\nContent-Encoding:x\r\nContent-Encoding:y\r\n", "\r\nServer:a\r\nServer:b\r\n", "\r\nSet-Cookie:a=b\r\nSet-Cookie:a=c\r\n", "\r\nTrailer:a\r\n",
		"\r\nConnection:close\r\nConnection:x\r\n", "\r\nRequest-Id:r2\r\n", "\r\nDate:a\r\nDate:b\r\n",
	}
	for value := range 256 {
		inserted = append(inserted, string([]byte{byte(value)}))
	}
	accepted := 0
	for _, h := range heads {
		for place := range h.head {
			for _, text := range inserted {
				answers := []string{h.head[:place] + text + h.head[place:] + h.body}
				if len(text) == 1 {
					answers = append(answers, h.head[:place]+text+h.head[place+1:]+h.body)
				}
				for _, answer := range answers {
					if checkAgainstGrammar(t, answer) {
						accepted++
					}
				}
			}
		}
	}
	if accepted < 10_000 {
		t.Errorf("%d answers were accepted, want at least 10,000", accepted)
	}
}

// checkAgainstGrammar reports whether the answer is accepted.
func checkAgainstGrammar(t *testing.T, answer string) bool {
	t.Helper()
	result, _ := exchangeWith(t, newScriptedConn(io.EOF, false, answer), false)
	defer result.Release()
	head, isValid := parseByGrammar(answer)
	if result.Response == nil {
		if isValid && head.mustBeAccepted() {
			t.Errorf("%q is valid and was not accepted: %v", answer, result.Err)
		}
		return false
	}
	if !isValid {
		t.Errorf("%q was accepted", answer)
		return true
	}
	if difference := head.differenceFrom(result); difference != "" {
		t.Errorf("%q was accepted with another %s: status %d, body %q, head %q", answer, difference, result.Status(), bodyOf(result), result.Response.Header.Header())
	}
	return true
}

// mustBeAccepted reports whether the answer has the id, the status, the framing and the body of a sound one.
func (h grammaticalHead) mustBeAccepted() bool {
	lengths, encodings := h.fields["content-length"], h.fields["transfer-encoding"]
	hasLength := slices.Equal(lengths, []string{"16"}) && len(encodings) == 0 && len(h.rest) >= len(wholeBody)
	isChunked := len(lengths) == 0 && slices.Equal(encodings, []string{"chunked"}) && h.rest == chunkedWholeBody
	return h.status == http.StatusOK && (hasLength || isChunked) && slices.Equal(h.fields["request-id"], []string{"r1"})
}
