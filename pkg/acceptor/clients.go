package acceptor

import (
	"net"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"lovagedeck/pkg/custodian"
)

// DiscardBodies passes requests to next. Load pattern: many clients send large bodies with requests that are refused, or need none. The HTTP
// library reads and drops what next leaves unread, so that the connection can carry the next request; these bytes are not charged. The server
// needs OnState.
func DiscardBodies(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		next(ctx)
		discardBody(ctx)
	}
}

// WatchClient is the first handler of a fiber application that an Acceptor serves. It does the same as DiscardBodies, and charges answers.
// Load pattern: many clients ask for large answers and read none. A connection whose answer finds no room is closed.
func WatchClient(c fiber.Ctx) error {
	err := c.Next()
	ctx := c.RequestCtx()
	discardBody(ctx)
	if custodian.Of(ctx.Conn()).Answer(len(ctx.Response.Body())) != nil {
		_ = ctx.Conn().Close()
	}
	return err
}

// OnState takes the states of connections from a fasthttp.Server.
func OnState(conn net.Conn, state fasthttp.ConnState) {
	if state == fasthttp.StateIdle {
		custodian.Of(conn).EndDiscard()
	}
}

func discardBody(ctx *fasthttp.RequestCtx) {
	if ctx.RequestBodyStream() != nil {
		custodian.Of(ctx.Conn()).Discard()
	}
}
