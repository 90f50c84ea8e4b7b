package stage

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Answer is what a caller got for one request.
type Answer struct {
	// Status is 0 without an answer, and Err says why.
	Status int
	Header http.Header
	Body   string
	Err    error
	Took   time.Duration
	// IsLast is set if the other end closes the connection after the answer.
	IsLast bool
}

// Send sends one request on a new connection and waits for the answer.
func Send(address, method, path, id string, body []byte, timeout time.Duration, headers ...string) Answer {
	started := time.Now()
	answer := send(address, method, path, id, body, timeout, headers...)
	answer.Took = time.Since(started)
	return answer
}

func send(address, method, path, id string, body []byte, timeout time.Duration, headers ...string) Answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	return Exchange(conn, bufio.NewReader(conn), method, path, id, body, timeout, headers...)
}

// Exchange sends one request on a connection and reads the answer.
func Exchange(conn net.Conn, reader *bufio.Reader, method, path, id string, body []byte, timeout time.Duration, headers ...string) Answer {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: pupu76.example\r\n%s: %s\r\n%s: %d\r\n", method, path, RequestID, id, DeadlineMs, timeout.Milliseconds())
	for i := 0; i+1 < len(headers); i += 2 {
		head += headers[i] + ": " + headers[i+1] + "\r\n"
	}
	if len(body) > 0 || method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := conn.Write(append([]byte(head+"\r\n"), body...)); err != nil {
		return Answer{Err: err}
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{Err: err}
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: string(content), IsLast: response.Close}
}
