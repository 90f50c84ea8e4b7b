// The codecs are net/rpc's gob codec with a bound on the size of one message,
// so that a peer cannot make an instance hold an unbounded body.

package linker

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
	"sync/atomic"

	"github.com/pkg/errors"
)

const maxMessage = 32 << 20

type (
	boundedReader struct {
		reader io.Reader
		left   int
	}

	// codec is what both ends share.
	codec struct {
		conn    io.ReadWriteCloser
		bounded *boundedReader
		decoder *gob.Decoder
		encoder *gob.Encoder
		buffer  *bufio.Writer
		closed  atomic.Bool
	}

	serverCodec struct{ *codec }

	clientCodec struct{ *codec }
)

func newServerCodec(conn io.ReadWriteCloser) *serverCodec {
	return &serverCodec{codec: newCodec(conn)}
}

func newClientCodec(conn io.ReadWriteCloser) *clientCodec {
	return &clientCodec{codec: newCodec(conn)}
}

func newCodec(conn io.ReadWriteCloser) *codec {
	bounded := &boundedReader{reader: conn, left: maxMessage}
	buffer := bufio.NewWriter(conn)
	return &codec{
		conn: conn, bounded: bounded, decoder: gob.NewDecoder(bufio.NewReader(bounded)),
		encoder: gob.NewEncoder(buffer), buffer: buffer,
	}
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errors.Errorf("message of more than %d bytes", maxMessage)
	}
	n, err := b.reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

func (c *serverCodec) ReadRequestHeader(request *rpc.Request) error { return c.readHeader(request) }

func (c *serverCodec) ReadRequestBody(body any) error { return c.decoder.Decode(body) }

func (c *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	return c.write(response, body)
}

func (c *clientCodec) WriteRequest(request *rpc.Request, body any) error {
	return c.write(request, body)
}

func (c *clientCodec) ReadResponseHeader(response *rpc.Response) error { return c.readHeader(response) }

func (c *clientCodec) ReadResponseBody(body any) error { return c.decoder.Decode(body) }

// readHeader begins a message, which has the whole bound for itself.
func (c *codec) readHeader(header any) error {
	c.bounded.left = maxMessage
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

// Close closes the connection.
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
