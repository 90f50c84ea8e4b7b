package verifier

import (
	"bufio"
	"bytes"
	"errors"
	"testing"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

func TestVerify(t *testing.T) {
	cases := []struct {
		data string
		// validBytes is how many bytes belong to the head and are valid.
		validBytes int
		isComplete bool
		isInterim  bool
		err        error
	}{
		{"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", 25, true, false, nil},
		{"HTTP/1.1 200\r\n\r\n", 16, true, false, nil},
		{"\r\n\nHTTP/1.1   503 \r\n\r\n", 22, true, false, nil},
		{"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 000", 31, true, true, nil},
		{"HTTP/1.1 200 OK\nA: b\nC: d\r\n\r\nbody", 29, true, false, nil},
		{"HTTP/1.1 200 OK\r\nA: \tb  c \t\r\n\r\nbody", 31, true, false, nil},
		{"HTTP/1.1 599 OK\r\nA: b\r\n", 23, false, false, nil},
		{"HTTP/1.1 000 OK\r\n\r\n", 11, false, false, ErrInvalidStatus},
		{"HTTP/1.1 099 OK\r\n\r\n", 11, false, false, ErrInvalidStatus},
		{"HTTP/1.1 600 OK\r\n\r\n", 11, false, false, ErrInvalidStatus},
		{"HTTP/1.0 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n", 40, false, false, ErrInvalidFraming},
		{"HTTP/1.2 200 OK\r\ntRANSFER-eNCODING:chunked\r\n\r\n", 34, false, false, ErrInvalidFraming},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 47, true, false, nil},
		{"HTTP/1.0 200 OK\r\nTransfer-Encodings: a\r\nTransfer-Encodin: a\r\nX-Transfer-Encoding: a\r\nA: Transfer-Encoding: b\r\n\r\n", 112, true, false, nil},
		{"HTTP/1.1 200 OHTTP/1.1 500 F\r\n\r\n", 25, false, false, ErrSecondStatusLine},
		{"HTTP/1.1 200 HTTP/1.0 000\r\n\r\n", 24, false, false, ErrSecondStatusLine},
		{"HTTP/1.1 200 OK\r\nA:HHTTP/HTTP/1.1 500 F\r\n\r\n", 36, false, false, ErrSecondStatusLine},
		{"HTTP/1.1 200 OK\r\nA: HTTP/1.1 5\r\nB: 00 HTTP/2.0 500, HTTP/1.1  500\r\n\r\n", 69, true, false, nil},
		{"HTTP/1.1 101 Switch\r\n\r\n", 11, false, false, ErrProtocolSwitch},
		{"HTTP/1.1 102 OK\r\n\r\n", 19, true, true, nil},
		{"HTTP/1.1 20 OK\r\n\r\n", 11, false, false, ErrInvalidStatus},
		{"HTTP/1.1 2000 OK\r\n\r\n", 12, false, false, ErrInvalidStatus},
		{"HTTP/1.1\r\n\r\n", 8, false, false, ErrInvalidVersion},
		{"HTTP/1.0 200 OK\r\n\r\n", 19, true, false, nil},
		{"HTTP/1.2 200 OK\r\n\r\n", 19, true, false, nil},
		{"HTTP/0.9 200 OK\r\n\r\n", 5, false, false, ErrInvalidVersion},
		{"HTTP/2.0 200 OK\r\n\r\n", 5, false, false, ErrInvalidVersion},
		{"HTTP/2 200 OK\r\n\r\n", 5, false, false, ErrInvalidVersion},
		{"HTTP/1.10 200 OK\r\n\r\n", 8, false, false, ErrInvalidVersion},
		{"HTTP/1. 200 OK\r\n\r\n", 7, false, false, ErrInvalidVersion},
		{"http/1.1 200 OK\r\n\r\n", 0, false, false, ErrInvalidVersion},
		{" HTTP/1.1 200 OK\r\n\r\n", 0, false, false, ErrInvalidVersion},
		{"HTTP/1.1 103 Hints\r\n\r\nHTTP/2.0 200 OK\r\n\r\n", 22, true, true, nil},
		{"HTTP/1.1 \r\n\r\n", 9, false, false, ErrInvalidStatus},
		{"HTTP/1.1 200 \tO\xe4 K\r\nA: \xe4\tb\r\n\r\n", 30, true, false, nil},
		{"HTTP/1.1 200 O\rK\r\n\r\n", 15, false, false, ErrControlByte},
		{"HTTP/1.1 200\rA: b\r\n\r\n", 13, false, false, ErrControlByte},
		{"HTTP/1.1 200 O\x00K\r\n\r\n", 14, false, false, ErrControlByte},
		{"HTTP/1.1 200 O\x7fK\r\n\r\n", 14, false, false, ErrControlByte},
		{"HTTP/1.1 200 OK\r\r\n\r\n", 16, false, false, ErrControlByte},
		{"HTTP/1.1 200 OK\r\nA: b\rC: d\r\n\r\n", 22, false, false, ErrControlByte},
		{"HTTP/1.1 200 OK\r\nA: b\x0bc\r\n\r\n", 21, false, false, ErrControlByte},
		{"HTTP/1.1 200 OK\r\nA: b\r\r\n\r\n", 22, false, false, ErrControlByte},
		{"HTTP/1.1 200 OK\r\nA b: c\r\n\r\n", 18, false, false, ErrInvalidFieldName},
		{"HTTP/1.1 200 OK\r\nA : b\r\n\r\n", 18, false, false, ErrInvalidFieldName},
		{"HTTP/1.1 200 OK\r\nA\x01: b\r\n\r\n", 18, false, false, ErrInvalidFieldName},
		{"HTTP/1.1 200 OK\r\nA: b\r\n\x7fC: d\r\n\r\n", 23, false, false, ErrInvalidFieldName},
		{"HTTP/1.1 200 OK\r\nA: b\r\n: c\r\n\r\n", 23, false, false, ErrInvalidFieldName},
		{"HTTP/1.1 200 OK\r\nA\r\n\r\n", 18, false, false, ErrInvalidFieldName},
		{"HTTP/1.1 200 OK\r\nA: b\r\n\nC: d\r\n\r\n", 23, false, false, ErrInvalidFieldName},
		{"HTTP/1.1 200 OK\r\nA: b\n\r\nC: d\r\n\r\n", 22, false, false, ErrInvalidFieldName},
		{"HTTP/1.1 200 OK\r\nA: b\r\n\rC: d\r\n\r\n", 24, false, false, ErrInvalidFieldName},
		{"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n", 23, false, false, ErrInvalidFieldName},
		{"HTTP/1.1 200 OK\r\nA: b\r\n\tC: d\r\n\r\n", 23, false, false, ErrInvalidFieldName},
		{"HTTP/1.1 200 OK\r\n C: d\r\n\r\n", 17, false, false, ErrInvalidFieldName},
		{"HTTP/1.1 200 OK\nA: b\n C: d\r\n\r\n", 21, false, false, ErrInvalidFieldName},
		{"HTTP/1.1 103 Hints\r\nLink: a\r\n C: d\r\n\r\n", 29, false, true, ErrInvalidFieldName},
	}
	for _, c := range cases {
		for _, step := range []int{1, 3, len(c.data)} {
			head := &Head{}
			validBytes, err := verifyInSteps(head, []byte(c.data), step)
			if validBytes != c.validBytes || !errors.Is(err, c.err) || head.IsComplete() != c.isComplete || c.isComplete && head.IsInterim() != c.isInterim {
				t.Errorf("%q by %d: got %d valid bytes, error %v, complete %v, interim %v; want %+v", c.data, step, validBytes, err, head.IsComplete(), head.IsInterim(), c)
			}
		}
	}
}

func verifyInSteps(head *Head, data []byte, step int) (validBytes int, err error) {
	for err == nil && !head.IsComplete() && validBytes < len(data) {
		var count int
		count, err = head.Verify(data[validBytes:min(len(data), validBytes+step)])
		validBytes += count
	}
	return validBytes, err
}

// A head that fasthttp reads must end for Head where it ends for fasthttp, or be invalid.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", "HTTP/1.1 000 OK\r\n\r\n", "\r\n\r\nHTTP/1.0 103\r\nA: b\r\n c\r\n\r\n", "HTTP/1.1 200 OK\nA: b\n\nbody\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA : b\r\n\r\n", "HTTP/1.1 200 OK\r\nA b: c\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\n\r\n\r\n", "HTTP/1.1 200 OK\r\n\nA: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n \r\n\t\r\n\r\n", "HTTP/1.1 200 OK\r\nA:\r\n\r\r\n\r\n", "HTTP/1.1 200 OK\r\n: b\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bufio.NewReaderSize(bytes.NewReader(data), max(16, len(data)))
		_, _ = reader.Peek(len(data))
		var header fasthttp.ResponseHeader
		readErr := header.Read(reader)
		head := &Head{}
		validBytes, err := verifyInSteps(head, data, max(1, len(data)))
		byByte := &Head{}
		if count, byByteErr := verifyInSteps(byByte, data, 1); count != validBytes || !errors.Is(byByteErr, err) || *byByte != *head {
			t.Fatalf("%q byte by byte: got %d valid bytes and error %v, want %d and %v", data, count, byByteErr, validBytes, err)
		}
		if readErr != nil || err != nil {
			return
		}
		if readBytes := len(data) - reader.Buffered(); !head.IsComplete() || validBytes != readBytes {
			t.Fatalf("%q: got complete %v after %d bytes, want complete after the %d of fasthttp", data, head.IsComplete(), validBytes, readBytes)
		}
		for name := range header.All() {
			if !httpguts.ValidHeaderFieldName(string(name)) {
				t.Fatalf("%q: got the field %q", data, name)
			}
		}
		if header.StatusCode() < 100 || header.StatusCode() > 599 || head.IsInterim() != (header.StatusCode() < 200) {
			t.Fatalf("%q: got status %d with interim %v", data, header.StatusCode(), head.IsInterim())
		}
	})
}
