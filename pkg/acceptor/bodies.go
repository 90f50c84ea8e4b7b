package acceptor

import (
	"io"
	"slices"
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lovagedeck/pkg/custodian"
	"lovagedeck/pkg/exchanger"
)

const (
	// PrefetchedBodyBytes is how much of a body the HTTP library reads before the handler runs. It must be the library's limit for a
	// body, with streaming of longer ones.
	PrefetchedBodyBytes = 4 << 10
	// DefaultBodyQuota limits the memory for the bodies at one address, in bytes, if the instance has no memory limit.
	DefaultBodyQuota = 64 << 20
	// bodyPieceBytes is the size of the pieces in which a body is read.
	bodyPieceBytes = 64 << 10
	// copiesOfBody is how often a body is held while its pieces are joined.
	copiesOfBody = 2
	// bodyRetryAfterSeconds is the Retry-After of a call for which no memory is left. Bodies are read for seconds at most.
	bodyRetryAfterSeconds = "1"
	// identityEncoding is the content encoding that changes nothing.
	identityEncoding = "identity"
)

var (
	errBodyTooLarge = errors.New("the body is too large")
	errNoBodyMemory = errors.New("no memory is left for bodies")
	errBodyEncoded  = errors.New("the body must have no content encoding")
	errBodyCut      = errors.New("the body cannot be read")
)

// BodyReader reads the bodies of requests, all of which together stay within a quota.
type BodyReader struct {
	quota        *exchanger.Quota
	maxBodyBytes int
}

// NewBodyReader returns a reader with a quota for all bodies, DefaultBodyQuota if it is 0, and a limit for each, in bytes.
func NewBodyReader(quota int64, maxBodyBytes int) *BodyReader {
	if quota <= 0 {
		quota = DefaultBodyQuota
	}
	return &BodyReader{quota: exchanger.NewQuota(quota, nil), maxBodyBytes: maxBodyBytes}
}

// Reserved returns the number of bytes that are reserved for bodies.
func (b *BodyReader) Reserved() int64 { return b.quota.Reserved() }

// Handler passes requests with their whole bodies to next. It answers 413 to a body above the limit, 415 to one with a content encoding,
// 503 if no memory is left for bodies, and 400 to one that ends early.
func (b *BodyReader) Handler(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		reserved, err := b.load(ctx)
		defer b.quota.Release(reserved)
		if err != nil {
			ctx.Error(err.Error()+"\n", statusOfBodyError(err))
			closeAfterRefusal(ctx, err)
			return
		}
		next(ctx)
	}
}

// Middleware does the same as Handler for a fiber application, whose error handler gets a *fiber.Error.
func (b *BodyReader) Middleware(c fiber.Ctx) error {
	reserved, err := b.load(c.RequestCtx())
	defer b.quota.Release(reserved)
	if err != nil {
		closeAfterRefusal(c.RequestCtx(), err)
		return fiber.NewError(statusOfBodyError(err), err.Error())
	}
	return c.Next()
}

// load puts the whole body in place of its stream and returns the number of bytes that it reserved, which the caller must release also
// after an error.
func (b *BodyReader) load(ctx *fasthttp.RequestCtx) (reserved int64, err error) {
	client := custodian.Of(ctx.Conn())
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return 0, client.Run()
	}
	client.ReceiveBody()
	if encoding := string(ctx.Request.Header.ContentEncoding()); encoding != "" && !strings.EqualFold(encoding, identityEncoding) {
		return 0, errBodyEncoded
	}
	body, reserved, err := b.read(client, stream, ctx.Request.Header.ContentLength())
	if err != nil {
		return reserved, err
	}
	ctx.Request.SetBodyRaw(body)
	return reserved, client.Run()
}

// read returns the body and the number of bytes that it reserved. The length is that of the Content-Length header, or negative without one.
func (b *BodyReader) read(client *custodian.Conn, stream io.Reader, length int) (body []byte, reserved int64, err error) {
	var pieces [][]byte
	for size := 0; err == nil; {
		pieceBytes := bodyPieceBytes
		if length >= 0 {
			// One byte more lets the end of the body be read with its last piece.
			pieceBytes = min(pieceBytes, max(length-size, 0)+1)
		}
		if !client.AwaitQuota(func() bool { return b.quota.Reserve(int64(copiesOfBody * pieceBytes)) }) {
			return nil, reserved, errNoBodyMemory
		}
		reserved += int64(copiesOfBody * pieceBytes)
		piece := make([]byte, 0, pieceBytes)
		for err == nil && len(piece) < pieceBytes {
			var n int
			n, err = stream.Read(piece[len(piece):cap(piece)])
			piece = piece[:len(piece)+n]
		}
		pieces = append(pieces, piece)
		if size += len(piece); size > b.maxBodyBytes {
			return nil, reserved, errBodyTooLarge
		}
		// The library reports the end of the connection as the end of a body with a length.
		if errors.Is(err, io.EOF) && length >= 0 && size < length {
			err = io.ErrUnexpectedEOF
		}
	}
	if !errors.Is(err, io.EOF) {
		return nil, reserved, errBodyCut
	}
	return slices.Concat(pieces...), reserved, nil
}

func statusOfBodyError(err error) int {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, errBodyEncoded):
		return fasthttp.StatusUnsupportedMediaType
	case errors.Is(err, errNoBodyMemory), errors.Is(err, custodian.ErrNoMemory):
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusBadRequest
}

// closeAfterRefusal closes the connection after the response, since the rest of the body has not been read.
func closeAfterRefusal(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, errNoBodyMemory) || errors.Is(err, custodian.ErrNoMemory) {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, bodyRetryAfterSeconds)
	}
	ctx.SetConnectionClose()
}
