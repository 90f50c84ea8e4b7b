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
	readTimeout = 10 * time.Second
	idleTimeout = 2 * time.Minute
	pollPause   = 2 * time.Millisecond
)

type (
	// Pass hands a request with a ticket to the incarnation that granted it.
	Pass func(to tabulator.MemberID, ticket string, request []byte) ([]byte, error)

	// Config is what a Server needs of its instance.
	Config struct {
		Self    tabulator.MemberID
		Run     func(ctx context.Context, request dispatcher.Request) dispatcher.Result
		Unready func() string
		Pass    Pass
		Now     func() time.Duration
		TLS     *tls.Config
	}

	// Server answers callers.
	Server struct {
		*acceptor.Acceptor
		config  Config
		mu      sync.Mutex
		tickets *ticketer.Ticketer
	}
)

// New returns a server; Serve starts it.
func New(config Config) *Server {
	server := &Server{config: config, tickets: ticketer.New(config.Self)}
	app := fiber.New(fiber.Config{
		BodyLimit: maxBody, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, ErrorHandler: answerError,
	})
	app.Post("/query", server.onQuery)
	app.Post("/ticket", server.onTicket)
	app.Get("/ready", server.onReady)
	app.Get("/health", func(c fiber.Ctx) error { return c.SendString("ok") })
	server.Acceptor = acceptor.New(app, config.TLS)
	return server
}

// RunTicket runs a request whose ticket this incarnation granted, or returns its first outcome.
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
			return json.Marshal(gone("the ticket has expired"))
		case phase == ticketer.PhaseNew:
			return s.runFirst(ticket, query)
		}
		time.Sleep(pollPause)
	}
}

func (s *Server) runFirst(ticket string, query Query) ([]byte, error) {
	answer := toAnswer(s.config.Run(context.Background(), query.request()))
	outcome, err := json.Marshal(answer)
	if err != nil {
		outcome, err = json.Marshal(gone("the answer could not be encoded"))
	}
	s.mu.Lock()
	s.tickets.Finish(ticket, outcome)
	s.mu.Unlock()
	return outcome, err
}

func (s *Server) onQuery(c fiber.Ctx) error {
	// The body is recycled after the handler, so everything that is kept is copied by Decode.
	query, err := Decode(c.Body())
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	if query.Ticket != "" {
		return s.onTicketQuery(c, query)
	}
	return send(c, toAnswer(s.config.Run(context.Background(), query.request())))
}

func (s *Server) onTicketQuery(c fiber.Ctx, query Query) error {
	owner, _, err := ticketer.Parse(query.Ticket)
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	body := append([]byte(nil), c.Body()...)
	outcome, err := s.routeTicket(owner, query.Ticket, body)
	if err != nil {
		return send(c, gone(err.Error()))
	}
	var answer Answer
	if err := json.Unmarshal(outcome, &answer); err != nil {
		return send(c, gone("the outcome could not be read"))
	}
	return send(c, answer)
}

func (s *Server) routeTicket(owner tabulator.MemberID, ticket string, body []byte) ([]byte, error) {
	if owner == s.config.Self {
		return s.RunTicket(ticket, body)
	}
	return s.config.Pass(owner, ticket, body)
}

func (s *Server) onTicket(c fiber.Ctx) error {
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
	if reason := s.config.Unready(); reason != "" {
		return fiber.NewError(fiber.StatusServiceUnavailable, "not ready: "+reason)
	}
	return c.SendString("ready")
}

// gone is the answer where the first send of a request may have run and its outcome cannot be learnt.
func gone(reason string) Answer {
	return Answer{Outcome: string(coordinator.OutcomeFailed), Reason: reason}
}

func send(c fiber.Ctx, answer Answer) error {
	if answer.RetryAfterMs > 0 {
		seconds := (answer.RetryAfterMs + 999) / 1000
		c.Set(fiber.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	return c.Status(status(answer)).JSON(answer)
}

func status(answer Answer) int {
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

func answerError(c fiber.Ctx, err error) error {
	return c.Status(acceptor.StatusOf(err)).JSON(struct {
		Outcome string `json:"outcome"`
		Error   string `json:"error"`
	}{Outcome: string(coordinator.OutcomeRefused), Error: err.Error()})
}
