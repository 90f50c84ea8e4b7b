package exchanger

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/valyala/fasthttp"
)

// Whatever bytes an upstream sends, reading them ends, and an answer keeps to its limit.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: r\r\n\r\nto the end",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nabcde", "\x00\x01\x02", "",
	} {
		f.Add([]byte(seed))
	}
	const limit = 4 << 10
	f.Fuzz(func(t *testing.T, data []byte) {
		meter := NewMeter(2*limit+2*pieceBytes, nil)
		c := &conn{
			pool:   &Pool{config: &Config{Headers: testHeaders, MaxAnswer: limit, Meter: meter}},
			reader: bufio.NewReaderSize(bytes.NewReader(data), readBuffer),
		}
		answer, held, err := c.readAnswer(&Request{ID: "r"})
		if err != nil {
			if held != 0 || meter.Held() != 0 {
				t.Fatalf("%d bytes are held after %v", meter.Held(), err)
			}
			return
		}
		if len(answer.Body()) > limit || answer.StatusCode() < fasthttp.StatusOK {
			t.Fatalf("status %d with %d bytes", answer.StatusCode(), len(answer.Body()))
		}
		result := Result{Answer: answer, held: held, meter: meter}
		result.Release()
		if meter.Held() != 0 {
			t.Fatalf("%d bytes are held after the release", meter.Held())
		}
	})
}
