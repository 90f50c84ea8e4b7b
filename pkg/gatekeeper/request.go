// A request is read completely before anything is sent to an upstream. Its
// header is rebuilt once for all attempts and keeps the request target byte for
// byte.

package gatekeeper

import (
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/accountant"
	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/retrier"
	"lovagedeck/pkg/router"
)

const (
	// defaultCallerTimeout applies to callers that do not state how long they wait.
	defaultCallerTimeout = 30 * time.Second
	reasonBodyTooLarge   = "the body is too large"
)

type (
	// inboundRequest is one request of a caller.
	inboundRequest struct {
		id        string
		arrivedAt time.Time
		route     *router.Route
		version   uint64
		deadline  time.Time
		request   exchanger.Request
		identity
		// isRelayed is set if another instance received the request, which must not be relayed again. isCounted is set if the
		// request has been counted: of an own caller, in the total; of another instance's, for its services as well.
		isRelayed bool
		isCounted bool
		// before is what is known of the attempts of other instances before this one served the request.
		before retrier.History
		// made is what is known of the attempts of this instance, or nil until they have ended.
		made *retrier.History
		// isAnswered is set if the response comes from leafs. Otherwise this instance generated it.
		isAnswered bool
		// allowedBy is who decided that the request is within the allowance of its tenant, after allowanceWait.
		allowedBy     accountant.Decider
		allowanceWait time.Duration
		// allowanceUsage is the part of its allowance that the tenant has used lately, or 0 if it is not known.
		allowanceUsage float64
		// isOverAllowance is set if the request was refused because the allowance of its tenant is used up.
		isOverAllowance bool
	}
)

// progress returns what is known of the attempts of this instance. If it was not recorded, leafs may have run the request.
func (in *inboundRequest) progress() retrier.Progress {
	if in.made == nil {
		return retrier.Unknown
	}
	return in.made.Progress()
}

// priority returns the rank of the request, 0 is the highest. That of the tenant goes before that of the route.
func (in *inboundRequest) priority() int {
	if in.tenant != nil {
		if priority, ok := in.tenant.Priority(); ok {
			return priority
		}
	}
	return in.route.Priority()
}

// usedAttempts returns the number of attempts of this instance, for each shard, that leafs may have run.
func (in *inboundRequest) usedAttempts() int {
	if in.made == nil {
		return in.route.MaxAttempts()
	}
	return in.made.Used()
}

// hopByHopHeaders are not forwarded: they apply to a single connection or are written anew.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
}

// targetPath returns the path of a request target without its query string.
func targetPath(target string) string {
	path, _, _ := strings.Cut(originForm(target), "?")
	return path
}

// originForm removes the scheme and authority from an absolute request target.
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

// callerTimeout returns how long the caller waits according to the named header.
func callerTimeout(header http.Header, name string) time.Duration {
	ms, err := strconv.ParseInt(header.Get(name), 10, 64)
	if err != nil || ms < 0 {
		return defaultCallerTimeout
	}
	return time.Duration(ms) * time.Millisecond
}

// bodyReservation returns the number of bytes to reserve for a request body.
func bodyReservation(r *http.Request, limit int) int64 {
	if !hasUnreadBody(r) {
		return 0
	}
	if r.ContentLength >= 0 {
		return min(r.ContentLength, int64(limit))
	}
	return int64(limit)
}

// bodyQuota returns the quota for a request body.
func (g *Gatekeeper) bodyQuota(reserved int64) *exchanger.Quota {
	if reserved > smallBodyBytes {
		return g.largeBodies
	}
	return g.requestBodies
}

// headBytes returns the size of the request line and the header lines.
func headBytes(r *http.Request) int {
	const lineEnd, separator, requestLine = len("\r\n"), len(": "), len("  HTTP/1.1\r\n")
	size := len(r.Method) + len(r.RequestURI) + requestLine + len("Host") + separator + len(r.Host) + lineEnd
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + separator + len(value) + lineEnd
		}
	}
	return size
}

// readBody reads a request body of at most limit bytes. The deadline is when the caller stops waiting. At the end of service it
// returns errStopping.
func (g *Gatekeeper) readBody(w http.ResponseWriter, r *http.Request, limit int, deadline time.Time) ([]byte, error) {
	if !hasUnreadBody(r) {
		return nil, nil
	}
	client := clientOf(r)
	client.ReceiveBody()
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, errors.Wrap(err, "set the read deadline of the request body")
	}
	cancelRead := context.AfterFunc(g.service, func() { _ = controller.SetReadDeadline(pastDeadline) })
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	if !cancelRead() {
		return nil, errStopping
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the request body")
	}
	if err := client.Run(); err != nil {
		return nil, errors.Wrap(err, "read the request body")
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, errors.Wrap(err, "clear the read deadline of the request body")
	}
	r.Body = http.NoBody
	return body, nil
}

func hasUnreadBody(r *http.Request) bool { return r.Body != nil && r.Body != http.NoBody }

// discardBody prepares the connection for what the HTTP server does with the body of a request that was refused: it reads and drops the rest, so
// that the connection can carry the next request.
func (g *Gatekeeper) discardBody(w http.ResponseWriter, r *http.Request) {
	if !hasUnreadBody(r) {
		return
	}
	clientOf(r).Discard()
	timeout := min(callerTimeout(r.Header, g.config.Headers.RemainingTime), defaultCallerTimeout)
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
}

// abandonBody closes the connection after the response instead of waiting for the rest of the body.
func abandonBody(w http.ResponseWriter, r *http.Request) {
	if !hasUnreadBody(r) {
		return
	}
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(pastDeadline)
	clientOf(r).Discard()
	r.Body = http.NoBody
}

// requestHead returns the request line and the header lines shared by all attempts. The key and the
// tenant that a caller states are left out, and the tenant that holds the key is added.
func requestHead(r *http.Request, headers *Headers, identity identity, hidesKey bool, body []byte) []byte {
	buffer := make([]byte, 0, headCapacity)
	buffer = append(buffer, r.Method...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, originForm(r.RequestURI)...)
	buffer = append(buffer, " HTTP/1.1\r\n"...)
	buffer = appendHeaderLine(buffer, "Host", r.Host)
	options := connectionOptions(r.Header)
	for name, values := range r.Header {
		if hopByHopHeaders[name] || options[name] || name == headers.RemainingTime || name == headers.ExpectedInstance ||
			isNamed(name, headers.Tenant) || hidesKey && isNamed(name, headers.Key) {
			continue
		}
		for _, value := range values {
			buffer = appendHeaderLine(buffer, name, value)
		}
	}
	if identity.tenant != nil {
		buffer = appendHeaderLine(buffer, headers.Tenant, identity.tenant.Name())
	}
	if len(body) > 0 || r.ContentLength == 0 && r.Method != http.MethodGet && r.Method != http.MethodHead {
		buffer = appendHeaderLine(buffer, "Content-Length", strconv.Itoa(len(body)))
	}
	return buffer
}

// isNamed reports whether a header has the given name. Some upstreams take an underscore for a hyphen.
func isNamed(name, wanted string) bool {
	return name == wanted || len(name) == len(wanted) && strings.EqualFold(strings.ReplaceAll(name, "_", "-"), wanted)
}

// headCapacity is the initial buffer size for a request head, in bytes. It fits an ordinary request.
const headCapacity = 512

func appendHeaderLine(buffer []byte, name, value string) []byte {
	buffer = append(buffer, name...)
	buffer = append(buffer, ": "...)
	buffer = append(buffer, value...)
	return append(buffer, "\r\n"...)
}

func connectionOptions(header http.Header) map[string]bool {
	values := header["Connection"]
	if len(values) == 0 {
		return nil
	}
	options := map[string]bool{}
	for _, value := range values {
		for _, name := range strings.Split(value, ",") {
			options[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return options
}
