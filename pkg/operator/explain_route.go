// Where a request would go is asked at the operators' address of a control
// instance, which asks an entry instance:
//
//	POST /explain-route   {"entry":"entry-1","host":"h.example","path":"/p/x"}

package operator

import (
	"encoding/json"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lovagedeck/pkg/forecaster"
)

const (
	explainRoutePath = "/explain-route"
	// maxQuestionBytes limits the body of a question.
	maxQuestionBytes = 64 << 10
	// adviceNoExplain is for an instance of another kind or of a former build.
	adviceNoExplain = "it does not explain routes: give --instance the operators' address of a control instance of a deployment with seeds, of this build"
)

// ExplainBackend is the interface to the control instance that serves the API.
type ExplainBackend interface {
	// ExplainRoute has an entry instance explain where a request would go. If it returns an error, the HTTP status says what it is about.
	ExplainRoute(question forecaster.Question) (explanation forecaster.Explanation, statusCode int, err error)
}

// NewExplainHandler returns a handler that serves the API, and passes other requests to next.
func NewExplainHandler(backend ExplainBackend, next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(request *fasthttp.RequestCtx) {
		if string(request.Path()) != explainRoutePath || !request.IsPost() {
			next(request)
			return
		}
		explanation, statusCode, err := explainRoute(backend, request.PostBody())
		if err != nil {
			sendJSONError(request, statusCode, err)
			return
		}
		body, err := json.Marshal(explanation)
		if err != nil {
			sendJSONError(request, fasthttp.StatusInternalServerError, err)
			return
		}
		request.SetContentType(jsonType)
		request.SetBody(body)
	}
}

func explainRoute(backend ExplainBackend, body []byte) (forecaster.Explanation, int, error) {
	var question forecaster.Question
	if len(body) > maxQuestionBytes || json.Unmarshal(body, &question) != nil {
		// The cause is left out, since it may repeat a part of the body.
		return forecaster.Explanation{}, fasthttp.StatusBadRequest, errors.New("the question is no JSON object with host and path")
	}
	if problem := question.Check(); problem != "" {
		return forecaster.Explanation{}, fasthttp.StatusBadRequest, errors.New(problem)
	}
	return backend.ExplainRoute(question)
}

// refuseToExplain answers for an instance with settings of its own, which has no routes.
func refuseToExplain(fiber.Ctx) error {
	return fiber.NewError(fiber.StatusNotImplemented, adviceNoExplain)
}

// ExplainRoute returns where a request would go now and why.
func (c *Client) ExplainRoute(question forecaster.Question) (forecaster.Explanation, error) {
	var explanation forecaster.Explanation
	data, err := json.Marshal(question)
	if err != nil {
		return explanation, errors.Wrap(err, "encode the question")
	}
	statusCode, body, err := c.do(fasthttp.MethodPost, explainRoutePath, data)
	if err != nil {
		return explanation, errors.WithMessage(err, "no answer; check --instance, or name another control instance")
	}
	if statusCode == fasthttp.StatusOK {
		err = json.Unmarshal(body, &explanation)
		return explanation, errors.Wrapf(err, "decode response of instance %s", c.address)
	}
	var reply struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(body, &reply) != nil || reply.Error == "" {
		reply.Error = adviceNoExplain
	}
	return explanation, &APIError{statusCode: statusCode, instance: c.address, message: reply.Error}
}
