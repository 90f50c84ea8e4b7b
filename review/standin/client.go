package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

type (
	// callerConn is a connection of a client to a front machine.
	callerConn struct {
		raw    net.Conn
		reader *bufio.Reader
	}

	// outcome is what a client saw of one request.
	outcome struct {
		id     string
		front  string
		sentAt time.Time
		// endedAt is when the answer was complete or the connection ended.
		endedAt time.Time
		// status is that of a complete answer, or 0.
		status int
		err    error
		// closes is set if the answer says that the connection will be closed.
		closes bool
	}
)

func newRequestID(prefix string) string { return fmt.Sprintf("%s:%d", prefix, lastRequest.Add(1)) }

// connect opens a connection within the second that clients allow.
func connect(m *machine) (*callerConn, error) {
	raw, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, frontPort), time.Second)
	if err != nil {
		return nil, err
	}
	return &callerConn{raw: raw, reader: bufio.NewReader(raw)}, nil
}

// send sends one request and waits for its answer until the time limit.
func (c *callerConn) send(r *record, m *machine, id, method, path string, body []byte, limit time.Duration) outcome {
	o := outcome{id: id, front: m.name, sentAt: time.Now()}
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: pupu76.example\r\nX-Lovagedeck-Request-Id: %s\r\nX-Lovagedeck-Deadline-Ms: %d\r\n", method, path, id, limit.Milliseconds())
	if method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n")
	text.Write(body)
	r.add("request %s (%s %s) sent to %s", id, method, path, m.name)
	_ = c.raw.SetDeadline(o.sentAt.Add(limit))
	if _, o.err = c.raw.Write(text.Bytes()); o.err == nil {
		var response *http.Response
		if response, o.err = http.ReadResponse(c.reader, &http.Request{Method: method}); o.err == nil {
			o.closes = response.Close
			if _, o.err = io.ReadAll(response.Body); o.err == nil {
				o.status = response.StatusCode
			}
		}
	}
	o.endedAt = time.Now()
	if o.err != nil {
		r.add("request %s has no complete answer: %v", id, o.err)
	} else {
		r.add("request %s answered %d", id, o.status)
	}
	return o
}

func (c *callerConn) close() { _ = c.raw.Close() }
