package forecaster

import (
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/linker"
)

const (
	// ServiceName is the name under which a Service is registered.
	ServiceName = "Forecaster"

	callExplain = ServiceName + ".Explain"
)

type (
	// ExplainFunc explains where a request would go.
	ExplainFunc func(question Question) Reply

	// Service is the net/rpc receiver of an entry instance.
	Service struct {
		explain ExplainFunc
		// mu lets one explanation run at a time, so that they take little from the service of requests.
		mu sync.Mutex
	}
)

// ErrFormerBuild is returned if the instance is of a build that explains no routes.
var ErrFormerBuild = errors.New("the instance is of a build that explains no routes")

// NewService returns a receiver that passes questions to explain.
func NewService(explain ExplainFunc) *Service { return &Service{explain: explain} }

// Explain explains where a request would go.
func (s *Service) Explain(question Question, reply *Reply) (err error) {
	defer linker.RecoverAs(&err)
	if problem := question.Check(); problem != "" {
		*reply = Reply{Problem: ProblemInvalid, Message: problem}
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	*reply = s.explain(question)
	return nil
}

// Ask asks the entry instance at an address over a connection of its own. It returns ErrFormerBuild, or another error if the instance
// cannot be reached or has not answered within the timeout.
func Ask(l *linker.Linker, address string, question Question, timeout time.Duration) (Reply, error) {
	var reply Reply
	peer := l.NewPeer(address)
	defer peer.Close()
	err := peer.Call(callExplain, question, &reply, timeout)
	var serverError rpc.ServerError
	if errors.As(err, &serverError) && isUnknownService(serverError) {
		return reply, ErrFormerBuild
	}
	return reply, err
}

// isUnknownService reports whether net/rpc found no receiver for the call.
func isUnknownService(err rpc.ServerError) bool {
	return err.Error() == "rpc: can't find service "+callExplain
}
