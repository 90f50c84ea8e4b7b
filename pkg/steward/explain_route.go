// Entry instances have no address for operators. A control instance passes the
// question on to the entry instance that the operator names, over the
// authenticated link between instances.

package steward

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lovagedeck/pkg/forecaster"
	"lovagedeck/pkg/tabulator"
)

const (
	// explainTimeout bounds the wait for an explanation, which is shorter than that of the operator.
	explainTimeout = 3 * time.Second
	// maxNamedEntries bounds the entry instances that an error names.
	maxNamedEntries = 8
)

// explainStatuses are the HTTP statuses of the problems of an explanation.
var explainStatuses = map[forecaster.Problem]int{
	forecaster.ProblemInvalid:  fasthttp.StatusBadRequest,
	forecaster.ProblemNoRoute:  fasthttp.StatusNotFound,
	forecaster.ProblemNoShard:  fasthttp.StatusNotFound,
	forecaster.ProblemNotReady: fasthttp.StatusServiceUnavailable,
}

// ExplainRoute has an entry instance explain where a request would go. If it returns an error, the HTTP status says what it is about.
func (c *Control) ExplainRoute(question forecaster.Question) (explanation forecaster.Explanation, statusCode int, err error) {
	startedAt := c.now()
	explanation, statusCode, err = c.explainRoute(question)
	c.log.Info("steward: route explained", "host", question.Host, "entry", explanation.Instance, "route", explanation.Route.Name, "tenant", explanation.Tenant.Name,
		"status", statusCode, "error", fmt.Sprint(err), "took-ms", (c.now() - startedAt).Milliseconds())
	return explanation, statusCode, err
}

func (c *Control) explainRoute(question forecaster.Question) (forecaster.Explanation, int, error) {
	members, err := c.server.Members()
	if err != nil {
		return forecaster.Explanation{}, fasthttp.StatusServiceUnavailable, errors.WithMessage(err, "this control instance cannot answer; name another one with --instance")
	}
	member, err := selectEntry(members, question.Entry)
	if err != nil {
		return forecaster.Explanation{}, fasthttp.StatusNotFound, err
	}
	reply, err := forecaster.Ask(c.linker, member.FellowAddress, question, explainTimeout)
	switch {
	case errors.Is(err, forecaster.ErrFormerBuild):
		return forecaster.Explanation{}, fasthttp.StatusNotImplemented, errors.Errorf("entry instance %s is of a build that explains no routes; name another one with --entry, such as %s", member.Instance, describeEntries(members, member.Instance))
	case err != nil:
		return forecaster.Explanation{}, fasthttp.StatusBadGateway, errors.Errorf("entry instance %s cannot be reached (%v); name another one with --entry, such as %s", member.Instance, err, describeEntries(members, member.Instance))
	case reply.Problem != forecaster.ProblemNone:
		return forecaster.Explanation{}, explainStatuses[reply.Problem], errors.New(reply.Message)
	}
	return reply.Explanation, fasthttp.StatusOK, nil
}

// selectEntry returns the entry instance of the given name, or the first one by name if that is empty.
func selectEntry(members []tabulator.MemberFields, name string) (tabulator.MemberFields, error) {
	if len(members) == 0 {
		return tabulator.MemberFields{}, errors.New("no entry instance is a member now; wait until one has reached the control instances")
	}
	if name == "" {
		return slices.MinFunc(members, func(a, b tabulator.MemberFields) int { return strings.Compare(a.Instance, b.Instance) }), nil
	}
	if i := slices.IndexFunc(members, func(member tabulator.MemberFields) bool { return member.Instance == name }); i >= 0 {
		return members[i], nil
	}
	return tabulator.MemberFields{}, errors.Errorf("no entry instance %.100q is a member now; name one with --entry, such as %s", name, describeEntries(members, ""))
}

// describeEntries names some entry instances other than the given one.
func describeEntries(members []tabulator.MemberFields, except string) string {
	var names []string
	for _, member := range members {
		if member.Instance != except {
			names = append(names, member.Instance)
		}
	}
	if len(names) == 0 {
		return "none: there is no other"
	}
	slices.Sort(names)
	if more := len(names) - maxNamedEntries; more > 0 {
		names = append(names[:maxNamedEntries], fmt.Sprintf("and %d more", more))
	}
	return strings.Join(names, ", ")
}

// explainRoute explains where a request would go, and adds what this instance knows of its contact to the control instances.
func (e *Entry) explainRoute(question forecaster.Question) forecaster.Reply {
	reply := e.gatekeeper.Explain(question)
	if reply.Problem != forecaster.ProblemNone {
		return reply
	}
	now := e.now()
	lease := forecaster.Fact{Name: "control instances", Value: "out of reach; what they have changed since is not known; revision", AgeMs: forecaster.UnknownAge}
	if e.controlClient.LeaseHeld(now) {
		lease.Value = "in contact; revision"
	}
	lease.Value = fmt.Sprintf("%s %d", lease.Value, e.controlClient.View().Revision())
	reply.Explanation.Facts = append(reply.Explanation.Facts, lease)
	if readAt, isKnown := e.controlClient.RosterReadAt(); isKnown {
		reply.Explanation.Facts = append(reply.Explanation.Facts, forecaster.Fact{Name: "list of leafs of the control instances", Value: "confirmed", AgeMs: forecaster.Age(now - readAt)})
	}
	return reply
}
