// The reader distinguishes a torn last record from other damage. A record that a
// crash truncated was never acknowledged, so it is dropped. Any other damage could
// hide acknowledged records, so it is returned as a FolderError with its offset.

package journaler

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/syndtr/goleveldb/leveldb/journal"
	"github.com/syndtr/goleveldb/leveldb/util"

	"lovagedeck/pkg/replicator"
)

// Layout of the LevelDB journal format. A chunk starts with its checksum (4 bytes), its length (2) and its kind (1).
const (
	blockBytes    = 32 * 1024
	headerBytes   = 7
	minChunkKind  = 1
	maxChunkKind  = 4
	adviceReplace = "do not delete the file; format a new folder and add it as a new member, as docs/OPERATING.md says"
)

func readLog(path string, toleratesTornWrites bool) (replicator.PersistentState, error) {
	var state replicator.PersistentState
	content, err := os.ReadFile(path)
	if err != nil {
		return state, errors.Wrap(err, "read journal")
	}
	reader := journal.NewReader(bytes.NewReader(content), nil, true, true)
	offset := 0
	for {
		data, err := nextRecord(reader)
		if err == io.EOF {
			return state, nil
		}
		if err != nil {
			if toleratesTornWrites || isTorn(content, offset) {
				return state, nil
			}
			return state, damageError(path, offset, err)
		}
		decoded, err := decodeRecord(data)
		if err != nil {
			return state, damageError(path, offset, err)
		}
		if err := decoded.applyTo(&state); err != nil {
			return state, damageError(path, offset, err)
		}
		offset = endOfRecord(offset, len(data))
	}
}

func nextRecord(reader *journal.Reader) ([]byte, error) {
	r, err := reader.Next()
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(r)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return data, err
}

func damageError(path string, offset int, cause error) error {
	return &FolderError{file: path, offset: int64(offset), reason: fmt.Sprintf("damaged record: %v", cause), advice: adviceReplace}
}

// endOfRecord returns the end offset of a record of length bytes that starts at offset, including its chunk headers.
func endOfRecord(offset, length int) int {
	for {
		remaining := blockBytes - offset%blockBytes
		if remaining < headerBytes {
			offset += remaining
			remaining = blockBytes
		}
		part := min(remaining-headerBytes, length)
		offset += headerBytes + part
		length -= part
		if length == 0 {
			return offset
		}
	}
}

// isTorn reports whether the content from offset on is a single truncated record. A valid chunk after the first invalid one
// means that the damage is not at the end.
func isTorn(content []byte, offset int) bool {
	for offset < len(content) {
		if remaining := blockBytes - offset%blockBytes; remaining < headerBytes {
			offset += remaining
			continue
		}
		length, isComplete := parseChunk(content, offset)
		if !isComplete {
			break
		}
		offset += headerBytes + length
	}
	if offset >= len(content) {
		return true
	}
	for next := offset + 1; next < len(content); next++ {
		if _, isValid := parseChunk(content, next); isValid {
			return false
		}
	}
	return isTruncated(content, offset)
}

// isTruncated reports whether the chunk at offset extends past the end of the file or the file ends in zeros.
func isTruncated(content []byte, offset int) bool {
	rest := content[offset:]
	if len(rest) < headerBytes || rest[len(rest)-1] == 0 {
		return true
	}
	length := int(binary.LittleEndian.Uint16(rest[4:6]))
	return headerBytes+length > len(rest)
}

func parseChunk(content []byte, offset int) (length int, isValid bool) {
	if offset+headerBytes > len(content) {
		return 0, false
	}
	header := content[offset : offset+headerBytes]
	length = int(binary.LittleEndian.Uint16(header[4:6]))
	end := offset + headerBytes + length
	kind := header[6]
	if kind < minChunkKind || kind > maxChunkKind || end > len(content) {
		return 0, false
	}
	checksum := binary.LittleEndian.Uint32(header[:4])
	return length, checksum == util.NewCRC(content[offset+headerBytes-1:end]).Value()
}
