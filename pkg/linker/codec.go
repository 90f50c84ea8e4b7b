// The server codec is net/rpc's gob codec with a bound on the size of one
// message, so that a peer cannot make an instance hold an unbounded body.

package linker

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"

	"github.com/pkg/errors"
)

const maxMessage = 32 << 20

type (
	boundedReader struct {
		reader io.Reader
		left   int
	}

	serverCodec struct {
		conn    io.ReadWriteCloser
		bounded *boundedReader
		decoder *gob.Decoder
		encoder *gob.Encoder
		buffer  *bufio.Writer
		closed  bool
	}
)

func newServerCodec(conn io.ReadWriteCloser) *serverCodec {
	bounded := &boundedReader{reader: conn, left: maxMessage}
	buffer := bufio.NewWriter(conn)
	return &serverCodec{
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

func (c *serverCodec) ReadRequestHeader(request *rpc.Request) error {
	c.bounded.left = maxMessage
	return c.decoder.Decode(request)
}

func (c *serverCodec) ReadRequestBody(body any) error { return c.decoder.Decode(body) }

func (c *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	if err := c.encoder.Encode(response); err != nil {
		return c.abort(err)
	}
	if err := c.encoder.Encode(body); err != nil {
		return c.abort(err)
	}
	return c.buffer.Flush()
}

func (c *serverCodec) Close() error {
	if c.closed {
		return nil
	}
	c.closed = true
	return c.conn.Close()
}

func (c *serverCodec) abort(err error) error {
	_ = c.Close()
	return errors.Wrap(err, "encode response")
}
