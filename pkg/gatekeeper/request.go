// An inbound request is read whole before anything is sent on. Its head is
// rebuilt once for all attempts, with the request target byte for byte.

package gatekeeper

import (
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/router"
)

// defaultPatience is assumed of a caller that does not say how long it waits.
const defaultPatience = 30 * time.Second

type (
	// inbound is one request of a caller.
	inbound struct {
		id       string
		arrived  time.Time
		route    *router.Route
		version  uint64
		deadline time.Time
		request  exchanger.Request
	}
)

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
}

// targetPath returns the path of a request target without its query.
func targetPath(target string) string {
	path, _, _ := strings.Cut(originForm(target), "?")
	return path
}

// originForm removes scheme and authority from an absolute request target.
func originForm(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	if _, rest, ok := strings.Cut(target, "://"); ok {
		if slash := strings.IndexByte(rest, '/'); slash >= 0 {
			return rest[slash:]
		}
		return "/"
	}
	return target
}

// patience returns how long the caller still waits by its own word.
func patience(header http.Header, name string) time.Duration {
	ms, err := strconv.ParseInt(header.Get(name), 10, 64)
	if err != nil || ms < 0 {
		return defaultPatience
	}
	return time.Duration(ms) * time.Millisecond
}

// bodyRoom returns how many bytes the body of a request may take.
func bodyRoom(r *http.Request, limit int) int64 {
	if r.Body == nil || r.Body == http.NoBody {
		return 0
	}
	if r.ContentLength >= 0 {
		return min(r.ContentLength, int64(limit))
	}
	return int64(limit)
}

// readBody reads a body of at most limit bytes until the time at which its caller stops waiting.
func readBody(w http.ResponseWriter, r *http.Request, limit int, until time.Time) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(until); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, errors.Wrap(err, "bound the reading of the body")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	if err != nil {
		return nil, errors.Wrap(err, "read the body")
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, errors.Wrap(err, "end the bound on the reading of the body")
	}
	return body, nil
}

// head returns the request line and headers that all attempts share.
func head(r *http.Request, headers *exchanger.Headers, body []byte) []byte {
	buffer := make([]byte, 0, headRoom)
	buffer = append(buffer, r.Method...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, originForm(r.RequestURI)...)
	buffer = append(buffer, " HTTP/1.1\r\n"...)
	buffer = appendLine(buffer, "Host", r.Host)
	named := namedByConnection(r.Header)
	for name, values := range r.Header {
		if connectionHeaders[name] || named[name] || name == headers.TimeLeft || name == headers.Expect {
			continue
		}
		for _, value := range values {
			buffer = appendLine(buffer, name, value)
		}
	}
	if len(body) > 0 || r.ContentLength == 0 && r.Method != http.MethodGet && r.Method != http.MethodHead {
		buffer = appendLine(buffer, "Content-Length", strconv.Itoa(len(body)))
	}
	return buffer
}

// headRoom is room for the head of an ordinary request, in bytes.
const headRoom = 512

func appendLine(buffer []byte, name, value string) []byte {
	buffer = append(buffer, name...)
	buffer = append(buffer, ": "...)
	buffer = append(buffer, value...)
	return append(buffer, "\r\n"...)
}

func namedByConnection(header http.Header) map[string]bool {
	values := header["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := map[string]bool{}
	for _, value := range values {
		for _, name := range strings.Split(value, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
