package linker

import (
	"io"

	"github.com/pkg/errors"

	"lovagedeck/pkg/custodian"
)

const (
	// largeMessageBytes is the size from which a message in part is kept in the account of all clients.
	largeMessageBytes = 32 << 10
	// maxLengthBytes is the size of the longest length of a gob message, and maxShortLength the largest length in a single byte.
	maxLengthBytes = 8
	maxShortLength = 0x7f
)

// frameReader follows the lengths of gob messages. The decoder of gob allocates the memory of a message of up to 10 MB as soon as it has read
// its length, so that there must be room for it before.
type frameReader struct {
	reader io.Reader
	// client is the connection in the account of all clients, or nil.
	client *custodian.Conn
	// lengthLeft is the number of bytes of the length that are missing, and length its value so far.
	lengthLeft int
	length     uint64
	// messageLeft is the number of bytes of the message that are missing.
	messageLeft uint64
	isLarge     bool
}

// Read reads from one message, or one byte of a length.
func (f *frameReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if f.messageLeft > 0 {
		n, err := f.reader.Read(p[:min(uint64(len(p)), f.messageLeft)])
		f.messageLeft -= uint64(n)
		return n, err
	}
	n, err := f.reader.Read(p[:1])
	if n == 1 {
		if err := f.onLengthByte(p[0]); err != nil {
			return 0, err
		}
	}
	return n, err
}

// ReadByte reads one byte. A reader without this method would be buffered again by the decoder.
func (f *frameReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(f, b[:])
	return b[0], err
}

func (f *frameReader) onLengthByte(b byte) error {
	switch {
	case f.lengthLeft > 0:
		f.length = f.length<<8 | uint64(b)
		if f.lengthLeft--; f.lengthLeft == 0 {
			return f.begin(f.length)
		}
	case b <= maxShortLength:
		return f.begin(uint64(b))
	default:
		// The number of further bytes is written as a negative number.
		f.length, f.lengthLeft = 0, -int(int8(b))
		if f.lengthLeft > maxLengthBytes {
			return errors.Errorf("message with a length of %d bytes", f.lengthLeft)
		}
	}
	return nil
}

func (f *frameReader) begin(size uint64) error {
	if size > maxMessageBytes {
		return errors.Errorf("message of more than %d bytes", maxMessageBytes)
	}
	f.messageLeft = size
	if size < largeMessageBytes {
		return nil
	}
	f.isLarge = true
	return errors.Wrapf(f.client.BeginMessage(int64(size)), "message of %d bytes", size)
}

// end states that the messages so far have been decoded.
func (f *frameReader) end() {
	if f.isLarge {
		f.isLarge = false
		f.client.EndMessage()
	}
}
