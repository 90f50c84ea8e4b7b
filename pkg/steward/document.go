package steward

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// maxDocument bounds a routing document, in bytes.
const maxDocument = 16 << 20

// compress returns a routing document as the log holds it; hundreds of similar routes shrink to a twentieth.
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

func expand(compressed []byte) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDocument+1))
	if err == nil && len(body) > maxDocument {
		err = errors.Errorf("more than %d bytes", maxDocument)
	}
	return body, errors.Wrap(err, "expand the routing document")
}
