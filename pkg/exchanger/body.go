// The body of an answer is read in pieces, each of which is counted before it
// is allocated: an upstream may send bytes without end, at any number of
// connections at once.

package exchanger

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// firstPieceBytes is the size of the first piece of a body whose length is not known, pieceBytes that of the others.
	firstPieceBytes = 2 << 10
	pieceBytes      = 16 << 10
	// wholeBytes is the longest body with a known length that is allocated at once; usual answers have less.
	wholeBytes = 64 << 10
	// maxInterim is how many interim answers may come before the final one; upstreams send one at most.
	maxInterim = 8

	// chunkedLength and identityLength are what the HTTP library reports of bodies without a length.
	chunkedLength  = -1
	identityLength = -2
)

// body collects one body within a limit and a meter.
type body struct {
	meter  *Meter
	limit  int
	held   int64
	length int
	pieces [][]byte
}

// readBody reads the body of an answer whose head was read, and returns the bytes counted for it; they are the caller's to
// return. Nothing is held after an error.
func readBody(reader *bufio.Reader, answer *fasthttp.Response, limit int, meter *Meter) (held int64, err error) {
	if !hasBody(answer) {
		return 0, nil
	}
	b := &body{meter: meter, limit: limit}
	content, err := b.read(reader, answer)
	if err != nil {
		meter.Return(b.held)
		return 0, err
	}
	answer.SetBodyRaw(content)
	return b.held, nil
}

func hasBody(answer *fasthttp.Response) bool {
	status := answer.StatusCode()
	return !answer.SkipBody && status >= fasthttp.StatusOK && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

func (b *body) read(reader *bufio.Reader, answer *fasthttp.Response) ([]byte, error) {
	switch length := answer.Header.ContentLength(); length {
	case chunkedLength:
		content, err := b.readAll(httputil.NewChunkedReader(reader))
		if err != nil {
			return nil, err
		}
		if err := answer.Header.ReadTrailer(reader); err != nil && !errors.Is(err, io.EOF) {
			return nil, errors.Wrap(err, "trailer")
		}
		return content, nil
	case identityLength:
		return b.readAll(reader)
	default:
		return b.readLength(reader, length)
	}
}

// readLength reads a body of a known length.
func (b *body) readLength(reader io.Reader, length int) ([]byte, error) {
	if length > b.limit {
		return nil, errors.Wrapf(ErrTooLong, "%d bytes of at most %d", length, b.limit)
	}
	if length > wholeBytes {
		content, err := b.readAll(io.LimitReader(reader, int64(length)))
		if err == nil && len(content) < length {
			err = io.ErrUnexpectedEOF
		}
		return content, err
	}
	if err := b.take(length); err != nil {
		return nil, err
	}
	content := make([]byte, length)
	_, err := io.ReadFull(reader, content)
	return content, err
}

// readAll reads until the end of the body.
func (b *body) readAll(reader io.Reader) ([]byte, error) {
	for size := firstPieceBytes; ; size = pieceBytes {
		if err := b.take(size); err != nil {
			return nil, err
		}
		piece := make([]byte, size)
		n, err := fill(reader, piece)
		b.length += n
		b.pieces = append(b.pieces, piece[:n])
		switch {
		case b.length > b.limit:
			return nil, errors.Wrapf(ErrTooLong, "more than %d bytes", b.limit)
		case errors.Is(err, io.EOF):
			return b.join()
		case err != nil:
			return nil, err
		}
	}
}

// fill reads until the piece is full or the reader ends; unlike io.ReadFull it keeps the reader's error.
func fill(reader io.Reader, piece []byte) (filled int, err error) {
	for filled < len(piece) && err == nil {
		var n int
		n, err = reader.Read(piece[filled:])
		filled += n
	}
	return filled, err
}

// join returns the pieces as one, counted for exactly its length.
func (b *body) join() ([]byte, error) {
	if len(b.pieces) == 1 {
		return b.pieces[0], nil
	}
	pieces := b.held
	if err := b.take(b.length); err != nil {
		return nil, err
	}
	content := make([]byte, 0, b.length)
	for _, piece := range b.pieces {
		content = append(content, piece...)
	}
	b.pieces = nil
	b.meter.Return(pieces)
	b.held -= pieces
	return content, nil
}

func (b *body) take(bytes int) error {
	if !b.meter.Take(int64(bytes)) {
		return errors.Wrapf(ErrNoRoom, "after %d bytes of the answer", b.length)
	}
	b.held += int64(bytes)
	return nil
}
