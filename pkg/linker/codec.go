// The codecs are the gob codecs of net/rpc with a limit on the size of a
// message, so that a peer cannot make an instance allocate memory without bound.

package linker

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
	"sync/atomic"

	"github.com/pkg/errors"

	"lovagedeck/pkg/custodian"
)

// maxMessageBytes limits the header and the body of a message together.
const maxMessageBytes = 32 << 20

type (
	limitedReader struct {
		reader    io.Reader
		remaining int
	}

	// codec is the part that the server codec and the client codec share.
	codec struct {
		conn    io.ReadWriteCloser
		limited *limitedReader
		frames  *frameReader
		decoder *gob.Decoder
		encoder *gob.Encoder
		buffer  *bufio.Writer
		closed  atomic.Bool
	}

	serverCodec struct {
		*codec
		replies *replies
	}

	// replies is the state of the replies on all connections of a server.
	replies struct {
		// unanswered is the number of calls whose replies have not been written.
		unanswered atomic.Int64
		// areDropped is set once the server has closed the sending direction of its connections.
		areDropped atomic.Bool
	}

	clientCodec struct{ *codec }
)

func newServerCodec(conn io.ReadWriteCloser, replies *replies, client *custodian.Conn) *serverCodec {
	return &serverCodec{codec: newCodec(conn, client), replies: replies}
}

func newClientCodec(conn io.ReadWriteCloser) *clientCodec {
	return &clientCodec{codec: newCodec(conn, nil)}
}

func newCodec(conn io.ReadWriteCloser, client *custodian.Conn) *codec {
	limited := &limitedReader{reader: conn, remaining: maxMessageBytes}
	frames := &frameReader{reader: bufio.NewReader(limited), client: client}
	buffer := bufio.NewWriter(conn)
	return &codec{
		conn: conn, limited: limited, frames: frames, decoder: gob.NewDecoder(frames),
		encoder: gob.NewEncoder(buffer), buffer: buffer,
	}
}

func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errors.Errorf("message of more than %d bytes", maxMessageBytes)
	}
	n, err := r.reader.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}

func (c *serverCodec) ReadRequestHeader(request *rpc.Request) error {
	if err := c.readHeader(request); err != nil {
		return err
	}
	c.replies.unanswered.Add(1)
	return nil
}

func (c *serverCodec) ReadRequestBody(body any) error { return c.decoder.Decode(body) }

func (c *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	defer c.replies.unanswered.Add(-1)
	if c.replies.areDropped.Load() {
		return nil
	}
	return c.write(response, body)
}

func (c *clientCodec) WriteRequest(request *rpc.Request, body any) error {
	return c.write(request, body)
}

// ReadResponseHeader reads the head of the next reply. It does not return io.EOF: if this end has closed the connection as well, net/rpc
// would take that for rpc.ErrShutdown, the error of calls that were not sent, and give it to the calls in progress.
func (c *clientCodec) ReadResponseHeader(response *rpc.Response) error {
	err := c.readHeader(response)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (c *clientCodec) ReadResponseBody(body any) error { return c.decoder.Decode(body) }

// readHeader starts a message and resets the size limit.
func (c *codec) readHeader(header any) error {
	c.frames.end()
	c.limited.remaining = maxMessageBytes
	return c.decoder.Decode(header)
}

func (c *codec) write(header, body any) error {
	if err := c.encoder.Encode(header); err != nil {
		return c.abort(err)
	}
	if err := c.encoder.Encode(body); err != nil {
		return c.abort(err)
	}
	return c.buffer.Flush()
}

// Close closes the connection; further calls have no effect.
func (c *codec) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	return c.conn.Close()
}

func (c *codec) abort(err error) error {
	_ = c.Close()
	return errors.Wrap(err, "encode a message")
}
