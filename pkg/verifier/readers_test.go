package verifier_test

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/caller"
	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/leaf"
	"lovagedeck/pkg/lister"
	"lovagedeck/pkg/operator"
	"lovagedeck/pkg/verifier"
)

// reader reads a response to a request at an address.
type reader struct {
	name string
	read func(address string) error
	// body is a body that the reader accepts.
	body string
}

var readers = []reader{
	{name: "search at a leaf", body: `{"id":"r1","hits":["a"]}`, read: func(address string) error {
		client := leaf.New(address, 1)
		defer client.Close()
		_, err := client.Search(leaf.Request{ID: "r1"}, time.Second)
		return err
	}},
	{name: "holdings of a leaf", body: `{"holdings":[]}`, read: func(address string) error {
		client := leaf.New(address, 1)
		defer client.Close()
		_, err := client.Holdings()
		return err
	}},
	{name: "list of leafs", body: `{"version":"1","leafs":[]}`, read: func(address string) error {
		results := make(chan error, 100)
		poller := lister.New("http://"+address, func([]coordinator.LeafRecord) { results <- nil }, func(err error) { results <- err })
		poller.Run()
		defer poller.Close()
		return <-results
	}},
	{name: "operator's status", body: `{"instance":"entry-1"}`, read: func(address string) error {
		_, err := operator.NewClient(address).Status()
		return err
	}},
	{name: "operator's table at another instance", body: `{}`, read: func(address string) error {
		_, err := operator.NewClient("127.0.0.1:1").WithAddress(address).Table()
		return err
	}},
	{name: "caller's ticket", body: `{"ticket":"t-1"}`, read: func(address string) error {
		client := caller.NewClient(address)
		defer client.Close()
		_, err := client.NewTicket()
		return err
	}},
	{name: "caller's query", body: `{"outcome":"complete"}`, read: func(address string) error {
		client := caller.NewClient(address)
		defer client.Close()
		_, err := client.Query(caller.Query{Text: "fig"})
		return err
	}},
}

// serveRaw answers each request with the bytes and closes the connection. It counts the requests.
func serveRaw(t *testing.T, response string, start func(*httptest.Server)) (server *httptest.Server, requests *atomic.Int64) {
	t.Helper()
	requests = &atomic.Int64{}
	server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Errorf("take over the connection: %v", err)
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, response)
	}))
	start(server)
	t.Cleanup(server.Close)
	return server, requests
}

// invalidHeads are formats of responses with the length of their body and the body.
var invalidHeads = []string{
	"HTTP/2.0 200 OK\r\nContent-Length: %d\r\n\r\n%s",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/0.9 200 OK\r\nContent-Length: %d\r\n\r\n%s",
	"HTTP/1.1 000 OK\r\nContent-Length: %d\r\n\r\n%s",
	"HTTP/1.1 099 OK\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: %d\r\n\r\n%s",
	"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n%s",
	"HTTP/1.1 200 OK\r\nContent-Type: aHTTP/1.1 200 OK\r\nContent-Type: a\r\nContent-Length: %d\r\n\r\n%s",
	"HTTP/1.1 200 OK\r\nX-Note: HTTP/1.0 500 Fault\r\nContent-Length: %d\r\n\r\n%s",
	"HTTP/1.1 200 O\rK\r\nContent-Length: %d\r\n\r\n%s",
	"HTTP/1.1 200 O\x00K\r\nContent-Length: %d\r\n\r\n%s",
	"HTTP/1.1 200 OK\r\nX-Note: a\rX-Odd: 1\r\nContent-Length: %d\r\n\r\n%s",
	"HTTP/1.1 200 OK\r\nX-Note: a\x01\r\nContent-Length: %d\r\n\r\n%s",
	"HTTP/1.1 200 OK\r\nX Note: 1\r\nContent-Length: %d\r\n\r\n%s",
	"HTTP/1.1 200 OK\r\nContent-Length : %d\r\n\r\n%s",
	"HTTP/1.1 200 OK\r\nContent-Length\x01: %d\r\n\r\n%s",
	"HTTP/1.1 200 OK\r\n\nX-Note: 1\r\nContent-Length: %d\r\n\r\n%s",
	"HTTP/1.1 200 OK\r\nTransfer Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Note: a\r\n X-Odd: 1\r\nContent-Length: %d\r\n\r\n%s",
	"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\tX-Odd: 1\r\n\r\n%s",
	"HTTP/1.1 200 OK\r\n X-Odd: 1\r\nContent-Length: %d\r\n\r\n%s",
	"HTTP/1.1 200 OK\r\nX-Note: a\r\n Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
	"HTTP/1.1 100 Continue\r\nX-Note: a\r\n X-Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s",
}

var soundHeads = []string{
	"HTTP/1.0 200 OK\r\nContent-Length: %d\r\n\r\n%s",
	"HTTP/1.2 200 OK\r\nContent-Length: %d\r\n\r\n%s",
	"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s",
	"HTTP/1.1 200\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
	"HTTP/1.1 200 \tG\xc3\xbct \r\nX-Note: \xff\r\nContent-Length: %d\r\n\r\n%s",
	"HTTP/1.1 200 OK\r\nX-Note: \t a  X\tNote : b\t\r\nContent-Length:\t%d \r\n\r\n%s",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
}

// No reader may take a response with an invalid head for an answer, nor send its request again because of it.
func TestReadersRejectInvalidHeads(t *testing.T) {
	for _, r := range readers {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			for _, format := range invalidHeads {
				server, requests := serveRaw(t, fmt.Sprintf(format, len(r.body), r.body), (*httptest.Server).Start)
				err := r.read(server.Listener.Addr().String())
				if !errors.Is(err, verifier.ErrInvalidHead) || requests.Load() != 1 {
					t.Errorf("%.60q: got error %v after %d requests, want an invalid head after 1", format, err, requests.Load())
				}
			}
			for _, format := range soundHeads {
				server, _ := serveRaw(t, fmt.Sprintf(format, len(r.body), r.body), (*httptest.Server).Start)
				if err := r.read(server.Listener.Addr().String()); err != nil {
					t.Errorf("%.60q: got error %v, want none", format, err)
				}
			}
		})
	}
}

// Over TLS, the responses are verified after they have been decrypted.
func TestReadersRejectInvalidHeadsOverTLS(t *testing.T) {
	read := func(server *httptest.Server) map[string]error {
		roots := x509.NewCertPool()
		roots.AddCert(server.Certificate())
		config, address := &tls.Config{RootCAs: roots}, server.Listener.Addr().String()
		_, statusErr := operator.NewClient(address, operator.WithTLS(config)).Status()
		_, tableErr := operator.NewClient("127.0.0.1:1", operator.WithTLS(config)).WithAddress(address).Table()
		_, ticketErr := caller.NewClient(address, caller.WithClientTLS(config)).NewTicket()
		return map[string]error{"status": statusErr, "table at another instance": tableErr, "ticket": ticketErr}
	}
	const body = `{"ticket":"t-1"}`
	for _, format := range invalidHeads {
		server, requests := serveRaw(t, fmt.Sprintf(format, len(body), body), (*httptest.Server).StartTLS)
		errs := read(server)
		for name, err := range errs {
			if !errors.Is(err, verifier.ErrInvalidHead) {
				t.Errorf("%s, %.60q: got error %v, want an invalid head", name, format, err)
			}
		}
		if requests.Load() != int64(len(errs)) {
			t.Errorf("%.60q: got %d requests, want %d", format, requests.Load(), len(errs))
		}
	}
	for _, format := range soundHeads {
		server, _ := serveRaw(t, fmt.Sprintf(format, len(body), body), (*httptest.Server).StartTLS)
		for name, err := range read(server) {
			if err != nil {
				t.Errorf("%s, %.60q: got error %v, want none", name, format, err)
			}
		}
	}
	stranger, requests := serveRaw(t, "", (*httptest.Server).StartTLS)
	if _, err := operator.NewClient(stranger.Listener.Addr().String(), operator.WithTLS(&tls.Config{RootCAs: x509.NewCertPool()})).Status(); err == nil || requests.Load() != 0 {
		t.Errorf("unknown certificate: got error %v after %d requests, want an error before the first", err, requests.Load())
	}
}

// A connection carries several requests.
func TestConnVerifiesEachResponse(t *testing.T) {
	var count atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, buffer, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Errorf("take over the connection: %v", err)
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		if _, err := http.ReadRequest(bufio.NewReader(buffer)); err == nil {
			count.Add(1)
			_, _ = io.WriteString(conn, "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}")
		}
	}))
	t.Cleanup(server.Close)
	client := operator.NewClient(server.Listener.Addr().String())
	if _, err := client.Status(); err != nil {
		t.Fatalf("got error %v for the first response, want none", err)
	}
	if _, err := client.Status(); !errors.Is(err, verifier.ErrInvalidHead) || count.Load() != 1 {
		t.Errorf("got error %v for response %d, want an invalid head for the second", err, count.Load()+1)
	}
}
