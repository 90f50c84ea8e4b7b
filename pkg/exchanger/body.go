// Response bodies are read into buffers that are reserved from a memory quota
// before they are allocated, because an upstream may send an endless body on
// any number of connections at once.

package exchanger

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// firstBufferBytes is the size of the first buffer for a body of unknown length, bufferBytes that of each later one.
	firstBufferBytes = 2 << 10
	bufferBytes      = 16 << 10
	// maxPreallocBytes is the longest body of known length that is allocated in full before it is read. Most bodies are shorter.
	maxPreallocBytes = 64 << 10
	// maxInterimResponses is how many 1xx responses may precede the final one. Upstreams send at most one.
	maxInterimResponses = 8

	// chunkedContentLength and unknownContentLength are the values that fasthttp reports for bodies without a Content-Length.
	chunkedContentLength = -1
	unknownContentLength = -2
)

// bodyReader reads one body within a length limit and a memory quota.
type bodyReader struct {
	quota    *Quota
	limit    int
	reserved int64
	length   int
	buffers  [][]byte
}

// readBody reads the body that follows the head of response and returns the number of bytes reserved for it. The caller
// releases these bytes. On error, nothing stays reserved.
func readBody(reader *bufio.Reader, response *fasthttp.Response, limit int, quota *Quota) (reserved int64, err error) {
	if !hasBody(response) {
		return 0, nil
	}
	b := &bodyReader{quota: quota, limit: limit}
	content, err := b.read(reader, response)
	if err != nil {
		quota.Release(b.reserved)
		return 0, err
	}
	response.SetBodyRaw(content)
	return b.reserved, nil
}

func hasBody(response *fasthttp.Response) bool {
	status := response.StatusCode()
	return !response.SkipBody && status >= fasthttp.StatusOK && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

func (b *bodyReader) read(reader *bufio.Reader, response *fasthttp.Response) ([]byte, error) {
	switch length := response.Header.ContentLength(); length {
	case chunkedContentLength:
		content, err := b.readUntilEOF(httputil.NewChunkedReader(reader))
		if err != nil {
			return nil, err
		}
		if err := response.Header.ReadTrailer(reader); err != nil && !errors.Is(err, io.EOF) {
			return nil, errors.Wrap(err, "read trailer")
		}
		return content, nil
	case unknownContentLength:
		return b.readUntilEOF(reader)
	default:
		return b.readFixedLength(reader, length)
	}
}

func (b *bodyReader) readFixedLength(reader io.Reader, length int) ([]byte, error) {
	if length > b.limit {
		return nil, errors.Wrapf(ErrResponseTooLarge, "Content-Length %d exceeds %d bytes", length, b.limit)
	}
	if length > maxPreallocBytes {
		content, err := b.readUntilEOF(io.LimitReader(reader, int64(length)))
		if err == nil && len(content) < length {
			err = io.ErrUnexpectedEOF
		}
		return content, err
	}
	if err := b.reserve(length); err != nil {
		return nil, err
	}
	content := make([]byte, length)
	_, err := io.ReadFull(reader, content)
	return content, err
}

func (b *bodyReader) readUntilEOF(reader io.Reader) ([]byte, error) {
	for size := firstBufferBytes; ; size = bufferBytes {
		if err := b.reserve(size); err != nil {
			return nil, err
		}
		buffer := make([]byte, size)
		n, err := fill(reader, buffer)
		b.length += n
		b.buffers = append(b.buffers, buffer[:n])
		switch {
		case b.length > b.limit:
			return nil, errors.Wrapf(ErrResponseTooLarge, "body exceeds %d bytes", b.limit)
		case errors.Is(err, io.EOF):
			return b.join()
		case err != nil:
			return nil, err
		}
	}
}

// fill reads until buffer is full or the reader returns an error. Unlike io.ReadFull it returns that error unchanged.
func fill(reader io.Reader, buffer []byte) (filled int, err error) {
	for filled < len(buffer) && err == nil {
		var n int
		n, err = reader.Read(buffer[filled:])
		filled += n
	}
	return filled, err
}

// join returns the buffers as one slice. If there is more than one, exactly the length of the body stays reserved.
func (b *bodyReader) join() ([]byte, error) {
	if len(b.buffers) == 1 {
		return b.buffers[0], nil
	}
	bufferReservation := b.reserved
	if err := b.reserve(b.length); err != nil {
		return nil, err
	}
	content := make([]byte, 0, b.length)
	for _, buffer := range b.buffers {
		content = append(content, buffer...)
	}
	b.buffers = nil
	b.quota.Release(bufferReservation)
	b.reserved -= bufferReservation
	return content, nil
}

func (b *bodyReader) reserve(count int) error {
	if !b.quota.Reserve(int64(count)) {
		return errors.Wrapf(ErrQuotaExceeded, "after reading %d bytes", b.length)
	}
	b.reserved += int64(count)
	return nil
}
