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
	maxBody        = 8 << 20
	maxRows        = 20_000
	adviceUnknown  = "ask with `lovagedeck table put --change-id ID` or GET /changes/ID; the same change id never takes effect twice"
	adviceConflict = "run `lovagedeck table get`, make the edit on the present rows, and put it again"
)

type (
	// Backend is what the administration API needs of its instance.
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

	// Config is what a Server needs.
	Config struct {
		Backend         Backend
		ReadTokenSHA256 string
		// WriteTokenSHA256 is the sum of the token that may also change; both sums empty leave the API open.
		WriteTokenSHA256 string
		TLS              *tls.Config
	}

	// Server is the administration API of one instance.
	Server struct {
		*acceptor.Acceptor
		config Config
	}
)

// New returns a server; Serve starts it.
func New(config Config) *Server {
	s := &Server{config: config}
	app := fiber.New(fiber.Config{BodyLimit: maxBody, ErrorHandler: answerError})
	read, write := s.allow(false), s.allow(true)
	app.Get("/status", read, s.onStatus)
	app.Get("/table", read, s.onTable)
	app.Get("/changes/:id", read, s.onLookup)
	app.Get("/in-force/:revision", read, s.onInForce)
	app.Get("/history", read, s.onHistory)
	app.Get("/events", read, s.onEvents)
	app.Get("/traces", read, s.onTraces)
	app.Get("/traces/:id", read, s.onTrace)
	app.Get("/metrics", read, s.onMetrics)
	app.Post("/table", write, s.onChangeRows)
	app.Post("/data-centre", write, s.onSetDataCentre)
	app.Post("/control", write, s.onConfigure)
	s.Acceptor = acceptor.New(app, config.TLS)
	return s
}

// allow lets a request pass whose token is good for reading, or for changes as well.
func (s *Server) allow(change bool) fiber.Handler {
	return func(c fiber.Ctx) error {
		if s.config.ReadTokenSHA256 == "" && s.config.WriteTokenSHA256 == "" {
			return c.Next()
		}
		sum := sha256.Sum256([]byte(strings.TrimPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")))
		presented := hex.EncodeToString(sum[:])
		if same(presented, s.config.WriteTokenSHA256) {
			return c.Next()
		}
		if same(presented, s.config.ReadTokenSHA256) {
			if !change {
				return c.Next()
			}
			return fiber.NewError(fiber.StatusForbidden, "this token may read only; use the write token")
		}
		return fiber.NewError(fiber.StatusUnauthorized, "the bearer token is missing or not known")
	}
}

func same(presented, expected string) bool {
	return expected != "" && subtle.ConstantTimeCompare([]byte(presented), []byte(expected)) == 1
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
	if len(body.Rows) > maxRows {
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
	change := toChange(changeID, reply, err)
	return c.Status(changeStatus(change.Outcome)).JSON(change)
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
	return c.JSON(toChange(strings.Clone(id), controller.ProposeReply{Result: reply.Result}, nil))
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
		Revision: revision, Acting: reply.Acting, Members: reply.Members, Everywhere: reply.Everywhere, After: reply.After,
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
	change := toChange("", controller.ProposeReply{Refused: reply.Refused, Unknown: reply.Unknown}, err)
	if reply.Refused == "" && !reply.Unknown && err == nil {
		change.Outcome = OutcomeAccepted
	}
	return c.Status(changeStatus(change.Outcome)).JSON(change)
}

func toChange(changeID string, reply controller.ProposeReply, err error) Change {
	change := Change{
		ChangeID: changeID, Revision: reply.Result.Revision, Conflicts: reply.Result.Conflicts,
		Faults: reply.Result.Faults, Repeated: reply.Result.Repeated,
	}
	switch {
	case reply.Unknown:
		change.Outcome, change.Advice = OutcomeUnknown, adviceUnknown
	case reply.Refused != "":
		change.Outcome, change.Faults = OutcomeRefused, []string{reply.Refused}
	case err != nil:
		change.Outcome, change.Advice = OutcomeUnknown, adviceUnknown
		change.Faults = []string{err.Error()}
	case reply.Result.Verdict == tabulator.VerdictConflict:
		change.Outcome, change.Advice = OutcomeConflict, adviceConflict
	case reply.Result.Verdict == tabulator.VerdictInvalid:
		change.Outcome = OutcomeInvalid
	default:
		change.Outcome = OutcomeAccepted
	}
	return change
}

func changeStatus(outcome ChangeOutcome) int {
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

func answerError(c fiber.Ctx, err error) error {
	return c.Status(acceptor.StatusOf(err)).JSON(struct {
		Error string `json:"error"`
	}{Error: err.Error()})
}
