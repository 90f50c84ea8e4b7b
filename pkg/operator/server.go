package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"lovagedeck/pkg/acceptor"
	"lovagedeck/pkg/controller"
	"lovagedeck/pkg/replicator"
	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/timeliner"
	"lovagedeck/pkg/tracer"
)

const (
	maxBodyBytes     = 8 << 20
	readTimeout      = 10 * time.Second
	idleTimeout      = 2 * time.Minute
	maxRowsPerChange = 20_000
	adviceUnknown    = "ask with `lovagedeck table put --change-id ID` or GET /changes/ID; the same change id never takes effect twice"
	adviceConflict   = "run `lovagedeck table get`, make the edit on the present rows, and put it again"
)

type (
	// Backend is the interface to the instance that the administration API serves.
	Backend interface {
		Status() Status
		View() *tabulator.View
		Propose(command tabulator.Command) (controller.ProposeReply, error)
		Lookup(changeID string) (controller.LookupReply, error)
		History() (controller.HistoryReply, error)
		InForce(revision uint64) (controller.InForceReply, error)
		Configure(action controller.ConfigAction, node replicator.NodeID) (controller.ConfigReply, error)
		Events(filter timeliner.Filter) []timeliner.Event
		Trace(id string) (tracer.Trace, bool)
		Slowest() []tracer.Trace
		WriteMetrics(w io.Writer)
	}

	// Config holds the dependencies and the access tokens of a Server.
	Config struct {
		Backend Backend
		// ReadTokenSHA256 is the SHA-256 hash, in hexadecimal digits, of the token that allows reads only.
		ReadTokenSHA256 string
		// WriteTokenSHA256 is the hash of the token that allows reads and changes. If both hashes are empty, the API requires
		// no token.
		WriteTokenSHA256 string
		// TLS is the configuration for HTTPS; nil selects plain HTTP.
		TLS *tls.Config
		// BodyMemoryBytes limits the memory for bodies of requests; 0 selects acceptor.DefaultBodyQuota.
		BodyMemoryBytes int64
	}

	// Server serves the administration API of one instance.
	Server struct {
		*acceptor.Acceptor
		config Config
	}
)

// New returns a server that accepts no connections until Serve is called.
func New(config Config) *Server {
	s := &Server{config: config}
	app := fiber.New(fiber.Config{
		BodyLimit: acceptor.PrefetchedBodyBytes, StreamRequestBody: true, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, ErrorHandler: sendError,
	})
	app.Use(acceptor.WatchClient)
	read, write := s.requireToken(false), s.requireToken(true)
	readBody := acceptor.NewBodyReader(config.BodyMemoryBytes, maxBodyBytes).Middleware
	app.Get("/status", read, s.onStatus)
	app.Get("/table", read, s.onTable)
	app.Get("/changes/:id", read, s.onLookup)
	app.Get("/in-force/:revision", read, s.onInForce)
	app.Get("/history", read, s.onHistory)
	app.Get("/events", read, s.onEvents)
	app.Get("/traces", read, s.onTraces)
	app.Get("/traces/:id", read, s.onTrace)
	app.Get("/metrics", read, s.onMetrics)
	app.Post("/table", write, readBody, s.onChangeRows)
	app.Post("/data-centre", write, readBody, s.onSetDataCentre)
	app.Post("/control", write, readBody, s.onConfigure)
	app.Post(explainRoutePath, read, refuseToExplain)
	s.Acceptor = acceptor.New(app, config.TLS)
	return s
}

// requireToken returns a handler that rejects requests without a valid token. The write token allows every request, the
// read token only those that change nothing.
func (s *Server) requireToken(isWrite bool) fiber.Handler {
	return func(c fiber.Ctx) error {
		if s.config.ReadTokenSHA256 == "" && s.config.WriteTokenSHA256 == "" {
			return c.Next()
		}
		hash := sha256.Sum256([]byte(strings.TrimPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")))
		tokenHash := hex.EncodeToString(hash[:])
		if matchesHash(tokenHash, s.config.WriteTokenSHA256) {
			return c.Next()
		}
		if matchesHash(tokenHash, s.config.ReadTokenSHA256) {
			if !isWrite {
				return c.Next()
			}
			return fiber.NewError(fiber.StatusForbidden, "this token may read only; use the write token")
		}
		return fiber.NewError(fiber.StatusUnauthorized, "the bearer token is missing or not known")
	}
}

func matchesHash(hash, expected string) bool {
	return expected != "" && subtle.ConstantTimeCompare([]byte(hash), []byte(expected)) == 1
}

func (s *Server) onStatus(c fiber.Ctx) error { return c.JSON(s.config.Backend.Status()) }

func (s *Server) onTable(c fiber.Ctx) error {
	view := s.config.Backend.View()
	table := Table{Revision: view.Revision(), TableRevision: view.TableRevision(), DataCentres: view.DataCentres()}
	for _, row := range view.Rows() {
		table.Rows = append(table.Rows, row.Fields())
	}
	return c.JSON(table)
}

func (s *Server) onChangeRows(c fiber.Ctx) error {
	var body tabulator.ChangeRows
	if err := json.Unmarshal(c.Body(), &body); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "decode change: "+err.Error())
	}
	if len(body.Rows) > maxRowsPerChange {
		return fiber.NewError(fiber.StatusBadRequest, "decode change: too many rows in one change")
	}
	return s.propose(c, body.ChangeID, body)
}

func (s *Server) onSetDataCentre(c fiber.Ctx) error {
	var body tabulator.SetDataCentre
	if err := json.Unmarshal(c.Body(), &body); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "decode change: "+err.Error())
	}
	return s.propose(c, body.ChangeID, body)
}

func (s *Server) propose(c fiber.Ctx, changeID string, command tabulator.Command) error {
	if changeID == "" {
		return fiber.NewError(fiber.StatusBadRequest, "decode change: change-id is missing")
	}
	reply, err := s.config.Backend.Propose(command)
	change := newChangeResult(changeID, reply, err)
	return c.Status(httpStatus(change.Outcome)).JSON(change)
}

func (s *Server) onLookup(c fiber.Ctx) error {
	id, err := url.PathUnescape(c.Params("id"))
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	reply, err := s.config.Backend.Lookup(id)
	if err != nil {
		return fiber.NewError(fiber.StatusServiceUnavailable, err.Error())
	}
	if !reply.Known {
		return fiber.NewError(fiber.StatusNotFound, "no outcome is recorded for this change id; send the change again with the same id")
	}
	return c.JSON(newChangeResult(strings.Clone(id), controller.ProposeReply{Result: reply.Result}, nil))
}

func (s *Server) onInForce(c fiber.Ctx) error {
	revision, err := strconv.ParseUint(c.Params("revision"), 10, 64)
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "the revision is not a number")
	}
	reply, err := s.config.Backend.InForce(revision)
	if err != nil {
		return fiber.NewError(fiber.StatusServiceUnavailable, err.Error())
	}
	return c.JSON(InForce{
		Revision: revision, UpToDate: reply.Acting, Members: reply.Members, IsEverywhere: reply.Everywhere, Elapsed: reply.After,
	})
}

func (s *Server) onHistory(c fiber.Ctx) error {
	reply, err := s.config.Backend.History()
	if err != nil {
		return fiber.NewError(fiber.StatusServiceUnavailable, err.Error())
	}
	return c.JSON(History{Entries: reply.Entries})
}

func (s *Server) onEvents(c fiber.Ctx) error {
	filter := timeliner.Filter{Peer: strings.Clone(c.Query("peer")), Kind: strings.Clone(c.Query("kind"))}
	if text := c.Query("since"); text != "" {
		since, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return fiber.NewError(fiber.StatusBadRequest, "since is not a time such as 2026-01-02T15:04:05Z")
		}
		filter.Since = since
	}
	return c.JSON(Events{Events: s.config.Backend.Events(filter)})
}

func (s *Server) onTraces(c fiber.Ctx) error {
	return c.JSON(Traces{Traces: s.config.Backend.Slowest()})
}

func (s *Server) onTrace(c fiber.Ctx) error {
	trace, ok := s.config.Backend.Trace(c.Params("id"))
	if !ok {
		return fiber.NewError(fiber.StatusNotFound, "this instance keeps no such query")
	}
	return c.JSON(trace)
}

func (s *Server) onMetrics(c fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
	s.config.Backend.WriteMetrics(c.Response().BodyWriter())
	return nil
}

func (s *Server) onConfigure(c fiber.Ctx) error {
	var body ConfigureBody
	if err := json.Unmarshal(c.Body(), &body); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "decode change: "+err.Error())
	}
	reply, err := s.config.Backend.Configure(body.Action, replicator.NodeID(body.Node))
	change := newChangeResult("", controller.ProposeReply{Refused: reply.Refused, Unknown: reply.Unknown}, err)
	if reply.Refused == "" && !reply.Unknown && err == nil {
		change.Outcome = OutcomeAccepted
	}
	return c.Status(httpStatus(change.Outcome)).JSON(change)
}

func newChangeResult(changeID string, reply controller.ProposeReply, err error) ChangeResult {
	change := ChangeResult{
		ChangeID: changeID, Revision: reply.Result.Revision, Conflicts: reply.Result.Conflicts,
		Errors: reply.Result.Faults, IsRepeated: reply.Result.Repeated,
	}
	switch {
	case reply.Unknown:
		change.Outcome, change.Advice = OutcomeUnknown, adviceUnknown
	case reply.Refused != "":
		change.Outcome, change.Errors = OutcomeRefused, []string{reply.Refused}
	case err != nil:
		change.Outcome, change.Advice = OutcomeUnknown, adviceUnknown
		change.Errors = []string{err.Error()}
	case reply.Result.Verdict == tabulator.VerdictConflict:
		change.Outcome, change.Advice = OutcomeConflict, adviceConflict
	case reply.Result.Verdict == tabulator.VerdictInvalid:
		change.Outcome = OutcomeInvalid
	default:
		change.Outcome = OutcomeAccepted
	}
	return change
}

func httpStatus(outcome ChangeOutcome) int {
	switch outcome {
	case OutcomeAccepted:
		return fiber.StatusOK
	case OutcomeConflict:
		return fiber.StatusConflict
	case OutcomeInvalid:
		return fiber.StatusUnprocessableEntity
	case OutcomeUnknown:
		return fiber.StatusGatewayTimeout
	}
	return fiber.StatusServiceUnavailable
}

func sendError(c fiber.Ctx, err error) error {
	return c.Status(acceptor.StatusOf(err)).JSON(struct {
		Error string `json:"error"`
	}{Error: err.Error()})
}
