package steward

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// maxDocumentBytes is the size limit of an uncompressed routing document.
const maxDocumentBytes = 16 << 20

// compress returns a routing document in the form in which the replicated log stores it. Documents with hundreds of similar
// routes shrink to a twentieth of their size.
func compress(body []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress the routing document")
	}
	if _, err := writer.Write(body); err != nil {
		return nil, errors.Wrap(err, "compress the routing document")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress the routing document")
	}
	return buffer.Bytes(), nil
}

// decompress reverses compress. It returns an error for invalid data and for a document above maxDocumentBytes.
func decompress(compressed []byte) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDocumentBytes+1))
	if err == nil && len(body) > maxDocumentBytes {
		err = errors.Errorf("more than %d bytes", maxDocumentBytes)
	}
	return body, errors.Wrap(err, "expand the routing document")
}
