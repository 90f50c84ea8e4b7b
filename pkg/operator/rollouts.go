// The rollouts API is HTTP with JSON bodies, at the operators' address of a control instance:
//
//	POST /rollouts           {"service":"s","version":"v2","seconds":12}
//	GET  /rollouts/SERVICE   the newest roll-out of a service, with its steps and its evidence

package operator

import (
	"encoding/json"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lovagedeck/pkg/controller"
	"lovagedeck/pkg/promoter"
)

const (
	rolloutsPath = "/rollouts"
	jsonType     = "application/json"
)

type (
	// RolloutBackend is the interface to the control instance that serves the API.
	RolloutBackend interface {
		// OrderRollout orders a roll-out for the caller of the request. It returns the HTTP status that says what became of it.
		OrderRollout(request *fasthttp.RequestCtx, order RolloutOrder) (statusCode int, err error)
		// DescribeRollout returns the newest roll-out of a service, as known to the leader.
		DescribeRollout(service string) (controller.RolloutReply, error)
	}

	// RolloutOrder orders that the requests of a service be moved to the leafs of a version.
	RolloutOrder struct {
		Service string  `json:"service"`
		Version string  `json:"version"`
		Seconds float64 `json:"seconds"`
	}

	// Rollout is the newest roll-out of a service.
	Rollout struct {
		Service string `json:"service"`
		Version string `json:"version"`
		State   string `json:"state"`
		// SharePercent is the part of the requests that the new version gets.
		SharePercent float64 `json:"share-percent"`
		DurationMs   int64   `json:"duration-ms"`
		ElapsedMs    int64   `json:"elapsed-ms"`
		Order        uint64  `json:"order"`
		Revision     uint64  `json:"revision"`
		// Reason explains the last change.
		Reason string `json:"reason"`
		// IsEverywhere is set if no entry instance acts on an older share.
		IsEverywhere bool          `json:"everywhere"`
		Steps        []RolloutStep `json:"steps"`
		// Sent, SentNew, OldInProgress and Routes are what the entry instances have seen while it runs.
		Instances     int            `json:"instances"`
		Sent          uint64         `json:"sent"`
		SentNew       uint64         `json:"sent-new"`
		OldInProgress int            `json:"old-in-progress"`
		Routes        []RolloutRoute `json:"routes"`
	}

	// RolloutStep is a change of a roll-out.
	RolloutStep struct {
		Revision uint64 `json:"revision"`
		What     string `json:"what"`
	}

	// RolloutRoute compares the versions on one route.
	RolloutRoute struct {
		Route       string `json:"route"`
		OldAnswers  uint64 `json:"old-answers"`
		OldFailures uint64 `json:"old-failures"`
		OldSlow     uint64 `json:"old-slow"`
		NewAnswers  uint64 `json:"new-answers"`
		NewFailures uint64 `json:"new-failures"`
		NewSlow     uint64 `json:"new-slow"`
	}
)

// NewRolloutHandler returns a handler that serves the rollouts API, and passes other requests to next.
func NewRolloutHandler(backend RolloutBackend, next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(request *fasthttp.RequestCtx) {
		path := string(request.Path())
		switch {
		case path == rolloutsPath && request.IsPost():
			orderRollout(request, backend)
		case strings.HasPrefix(path, rolloutsPath+"/") && request.IsGet():
			getRollout(request, backend, strings.TrimPrefix(path, rolloutsPath+"/"))
		default:
			next(request)
		}
	}
}

func orderRollout(request *fasthttp.RequestCtx, backend RolloutBackend) {
	var order RolloutOrder
	if err := json.Unmarshal(request.PostBody(), &order); err != nil {
		sendJSONError(request, fasthttp.StatusBadRequest, errors.Wrap(err, "decode the roll-out"))
		return
	}
	if statusCode, err := backend.OrderRollout(request, order); err != nil {
		sendJSONError(request, statusCode, err)
		return
	}
	request.SetContentType(jsonType)
	request.SetBodyString("{}")
}

func getRollout(request *fasthttp.RequestCtx, backend RolloutBackend, service string) {
	reply, err := backend.DescribeRollout(service)
	switch {
	case err != nil:
		sendJSONError(request, fasthttp.StatusServiceUnavailable, err)
		return
	case reply.Refused != "":
		sendJSONError(request, fasthttp.StatusServiceUnavailable, errors.New(reply.Refused))
		return
	case !reply.Known:
		sendJSONError(request, fasthttp.StatusNotFound, errors.Errorf("service %.100q has had no roll-out", service))
		return
	}
	body, err := json.Marshal(newRollout(reply))
	if err != nil {
		sendJSONError(request, fasthttp.StatusInternalServerError, err)
		return
	}
	request.SetContentType(jsonType)
	request.SetBody(body)
}

func sendJSONError(request *fasthttp.RequestCtx, statusCode int, cause error) {
	body, err := json.Marshal(struct {
		Error string `json:"error"`
	}{Error: cause.Error()})
	if err != nil {
		body = nil
	}
	request.SetStatusCode(statusCode)
	request.SetContentType(jsonType)
	request.SetBody(body)
}

func newRollout(reply controller.RolloutReply) Rollout {
	status := reply.Status
	evidence := status.Report.Evidence
	rollout := Rollout{
		Service: status.Rollout.Service, Version: status.Rollout.Version, State: string(status.Rollout.State), SharePercent: status.Rollout.SharePercent(),
		DurationMs: status.Rollout.Duration.Milliseconds(), ElapsedMs: status.Elapsed.Milliseconds(), Order: status.Rollout.Order, Revision: status.Rollout.Revision,
		Reason: status.Rollout.Reason, IsEverywhere: status.InForce.Everywhere, Instances: status.Report.Instances,
		Sent: evidence.Sent, SentNew: evidence.SentNew, OldInProgress: evidence.OldInProgress,
	}
	if !status.Rollout.IsRunning() {
		rollout.ElapsedMs = status.Rollout.Elapsed.Milliseconds()
	}
	for _, step := range reply.Steps {
		rollout.Steps = append(rollout.Steps, RolloutStep{Revision: step.Revision, What: step.What})
	}
	for _, route := range evidence.Routes {
		rollout.Routes = append(rollout.Routes, newRolloutRoute(route))
	}
	return rollout
}

func newRolloutRoute(route promoter.RouteEvidence) RolloutRoute {
	return RolloutRoute{
		Route: route.Route, OldAnswers: route.Old.Answers, OldFailures: route.Old.Failures, OldSlow: route.Old.Slow,
		NewAnswers: route.New.Answers, NewFailures: route.New.Failures, NewSlow: route.New.Slow,
	}
}

// Elapsed returns the time since the order, or the time that the roll-out took.
func (r Rollout) Elapsed() time.Duration { return time.Duration(r.ElapsedMs) * time.Millisecond }

// HasEnded reports whether the roll-out does not run any more.
func (r Rollout) HasEnded() bool { return r.State != "running" }

// Rollout returns the newest roll-out of a service, or an APIError with status 404 if it has had none.
func (c *Client) Rollout(service string) (Rollout, error) {
	return get[Rollout](c, rolloutsPath+"/"+url.PathEscape(service))
}

// OrderRollout orders a roll-out. After an APIError with status 503 it may be sent again.
func (c *Client) OrderRollout(order RolloutOrder) error {
	data, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "encode the roll-out")
	}
	statusCode, responseBody, err := c.do(fasthttp.MethodPost, rolloutsPath, data)
	if err != nil {
		return err
	}
	if statusCode != fasthttp.StatusOK {
		return c.newAPIError(statusCode, responseBody)
	}
	return nil
}
