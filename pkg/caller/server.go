package caller

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"lovagedeck/pkg/acceptor"
	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/dispatcher"
	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/ticketer"
)

const (
	readTimeout  = 10 * time.Second
	idleTimeout  = 2 * time.Minute
	pollInterval = 2 * time.Millisecond
)

type (
	// ForwardTicket sends a query to the incarnation that granted its ticket and returns the encoded answer, or an error if
	// that incarnation has ended or did not answer.
	ForwardTicket func(to tabulator.MemberID, ticket string, request []byte) ([]byte, error)

	// Config holds the dependencies of a Server.
	Config struct {
		// Self identifies the incarnation that grants the tickets of this server.
		Self tabulator.MemberID
		Run  func(ctx context.Context, request dispatcher.Request) dispatcher.Result
		// UnreadyReason returns the reason why the instance accepts no queries, or an empty string if it accepts them.
		UnreadyReason func() string
		ForwardTicket ForwardTicket
		// Now returns the current time of a monotonic clock.
		Now func() time.Duration
		// TLS is the configuration for HTTPS; nil selects plain HTTP.
		TLS *tls.Config
		// BodyMemoryBytes limits the memory for bodies of requests; 0 selects acceptor.DefaultBodyQuota.
		BodyMemoryBytes int64
	}

	// Server serves the HTTP API for queries.
	Server struct {
		*acceptor.Acceptor
		config  Config
		mu      sync.Mutex
		tickets *ticketer.Ticketer
	}
)

// New returns a server that accepts no connections until Serve is called.
func New(config Config) *Server {
	server := &Server{config: config, tickets: ticketer.New(config.Self)}
	app := fiber.New(fiber.Config{
		BodyLimit: acceptor.PrefetchedBodyBytes, StreamRequestBody: true, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, ErrorHandler: sendError,
	})
	app.Use(acceptor.WatchClient)
	app.Use(acceptor.NewBodyReader(config.BodyMemoryBytes, maxBodyBytes).Middleware)
	app.Post("/query", server.onQuery)
	app.Post("/ticket", server.onNewTicket)
	app.Get("/ready", server.onReady)
	app.Get("/health", func(c fiber.Ctx) error { return c.SendString("ok") })
	server.Acceptor = acceptor.New(app, config.TLS)
	return server
}

// RunTicket runs the query in body under a ticket that this incarnation granted, or waits for the earlier run under that
// ticket, and returns the encoded answer, or an error if the query or the ticket is invalid.
func (s *Server) RunTicket(ticket string, body []byte) ([]byte, error) {
	query, err := Decode(body)
	if err != nil {
		return nil, err
	}
	for {
		s.mu.Lock()
		phase, outcome, err := s.tickets.Begin(ticket, s.config.Now())
		s.mu.Unlock()
		switch {
		case err != nil:
			return nil, err
		case phase == ticketer.PhaseDone:
			return outcome, nil
		case phase == ticketer.PhaseExpired:
			return json.Marshal(unknownOutcome("the ticket has expired"))
		case phase == ticketer.PhaseNew:
			return s.runAndRecord(ticket, query)
		}
		time.Sleep(pollInterval)
	}
}

func (s *Server) runAndRecord(ticket string, query Query) ([]byte, error) {
	answer := newAnswer(s.config.Run(context.Background(), query.toRequest()))
	outcome, err := json.Marshal(answer)
	if err != nil {
		outcome, err = json.Marshal(unknownOutcome("the answer could not be encoded"))
	}
	s.mu.Lock()
	s.tickets.Finish(ticket, outcome)
	s.mu.Unlock()
	return outcome, err
}

func (s *Server) onQuery(c fiber.Ctx) error {
	// The server reuses the buffer of the body once the handler has returned. Decode copies all values that the query keeps.
	query, err := Decode(c.Body())
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	if query.Ticket != "" {
		return s.onTicketQuery(c, query)
	}
	return sendAnswer(c, newAnswer(s.config.Run(context.Background(), query.toRequest())))
}

func (s *Server) onTicketQuery(c fiber.Ctx, query Query) error {
	grantor, _, err := ticketer.Parse(query.Ticket)
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	body := append([]byte(nil), c.Body()...)
	outcome, err := s.runOrForward(grantor, query.Ticket, body)
	if err != nil {
		return sendAnswer(c, unknownOutcome(err.Error()))
	}
	var answer Answer
	if err := json.Unmarshal(outcome, &answer); err != nil {
		return sendAnswer(c, unknownOutcome("the outcome could not be read"))
	}
	return sendAnswer(c, answer)
}

func (s *Server) runOrForward(grantor tabulator.MemberID, ticket string, body []byte) ([]byte, error) {
	if grantor == s.config.Self {
		return s.RunTicket(ticket, body)
	}
	return s.config.ForwardTicket(grantor, ticket, body)
}

func (s *Server) onNewTicket(c fiber.Ctx) error {
	s.mu.Lock()
	ticket, err := s.tickets.Grant(s.config.Now())
	s.mu.Unlock()
	if err != nil {
		return fiber.NewError(fiber.StatusServiceUnavailable, err.Error())
	}
	return c.JSON(struct {
		Ticket string `json:"ticket"`
	}{Ticket: ticket})
}

func (s *Server) onReady(c fiber.Ctx) error {
	if reason := s.config.UnreadyReason(); reason != "" {
		return fiber.NewError(fiber.StatusServiceUnavailable, "not ready: "+reason)
	}
	return c.SendString("ready")
}

// unknownOutcome returns the answer to a query that may have run but whose result is not available.
func unknownOutcome(reason string) Answer {
	return Answer{Outcome: string(coordinator.OutcomeFailed), Reason: reason}
}

func sendAnswer(c fiber.Ctx, answer Answer) error {
	if answer.RetryAfterMs > 0 {
		seconds := (answer.RetryAfterMs + 999) / 1000
		c.Set(fiber.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	return c.Status(httpStatus(answer)).JSON(answer)
}

func httpStatus(answer Answer) int {
	switch coordinator.Outcome(answer.Outcome) {
	case coordinator.OutcomeComplete, coordinator.OutcomePartial:
		return fiber.StatusOK
	case coordinator.OutcomeRefused:
		if answer.Reason == dispatcher.ReasonUnknownService {
			return fiber.StatusNotFound
		}
		return fiber.StatusServiceUnavailable
	}
	return fiber.StatusBadGateway
}

func sendError(c fiber.Ctx, err error) error {
	return c.Status(acceptor.StatusOf(err)).JSON(struct {
		Outcome string `json:"outcome"`
		Error   string `json:"error"`
	}{Outcome: string(coordinator.OutcomeRefused), Error: err.Error()})
}
