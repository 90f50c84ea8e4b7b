package gatekeeper

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lovagedeck/pkg/exchanger"
)

type (
	// refusal is an answer of this instance itself.
	refusal struct {
		id         string
		status     int
		retryAfter time.Duration
		reason     string
		// missing names the shards that a query lacked.
		missing []string
		route   string
		version uint64
		took    time.Duration
		// patience is how long the caller would have waited, by its own word.
		patience time.Duration
		asked    int
	}
)

// writeHead begins an answer; during a stop it asks the caller to leave. Turning keep-alives off in the server would close
// idle connections, also one whose next request is just read.
func (g *Gatekeeper) writeHead(w http.ResponseWriter, status int) {
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(status)
}

// refuse answers without an upstream's answer; statuses 429 and 503 say that the request has not run.
func (g *Gatekeeper) refuse(w http.ResponseWriter, r refusal) {
	if r.retryAfter > 0 {
		w.Header().Set("Retry-After", seconds(r.retryAfter))
	}
	g.counters.refused(r.reason).Inc()
	g.config.Log.Info("gatekeeper: refused", "request", r.id, "status", r.status, "reason", r.reason, "route", r.route,
		"version", r.version, "took-ms", r.took.Milliseconds(), "patience-ms", r.patience.Milliseconds(), "asked", r.asked, "missing", r.missing, "retry-after", r.retryAfter.Seconds())
	if r.id != "" {
		w.Header().Set(g.config.Headers.RequestID, r.id)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	g.writeHead(w, r.status)
	_, _ = w.Write([]byte(r.reason + "\n"))
}

// refuseBody ends a request whose body could not be read; nothing was sent on.
func (g *Gatekeeper) refuseBody(w http.ResponseWriter, id string, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		g.refuse(w, refusal{id: id, status: http.StatusRequestEntityTooLarge, reason: "the body is too large"})
		return
	}
	g.config.Log.Info("gatekeeper: the caller did not send its whole body", "request", id, "error", err.Error())
	panic(http.ErrAbortHandler)
}

// pass hands the answer of an upstream to the caller.
func (g *Gatekeeper) pass(w http.ResponseWriter, in *inbound, result exchanger.Result) {
	answer := result.Answer
	target := w.Header()
	for name, value := range answer.Header.All() {
		key := http.CanonicalHeaderKey(string(name))
		if !connectionHeaders[key] {
			target.Add(key, string(value))
		}
	}
	if _, ok := target["Date"]; !ok {
		target["Date"] = nil
	}
	if _, ok := target["Content-Type"]; !ok {
		target["Content-Type"] = nil
	}
	body := answer.Body()
	if in.request.NoAnswerBody {
		if length := answer.Header.ContentLength(); length >= 0 {
			target.Set("Content-Length", strconv.Itoa(length))
		}
	} else if bodyAllowed(answer.StatusCode()) {
		target.Set("Content-Length", strconv.Itoa(len(body)))
	}
	g.writeHead(w, answer.StatusCode())
	if len(body) > 0 {
		_, _ = w.Write(body)
	}
}

func bodyAllowed(status int) bool {
	return status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}
