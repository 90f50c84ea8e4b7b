package verifier

import (
	"bytes"
	"unicode"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

var (
	// ErrInvalidHead is the error for any invalid head. The bytes that follow belong to no response.
	ErrInvalidHead = errors.New("the head of the response is invalid")
	// ErrInvalidVersion is an ErrInvalidHead because the response does not begin with "HTTP/1." and a digit. RFC 9112 defines the heads of
	// major version 1 alone.
	ErrInvalidVersion = errors.Wrap(ErrInvalidHead, "the version is not HTTP/1")
	// ErrInvalidStatus is an ErrInvalidHead because the status is not a number from 100 to 599, the range of RFC 9110, section 15.
	ErrInvalidStatus = errors.Wrap(ErrInvalidHead, "the status is not between 100 and 599")
	// ErrProtocolSwitch is an ErrInvalidHead because of the status 101. No request asks for another protocol, and the bytes after the head
	// would be of that protocol.
	ErrProtocolSwitch = errors.Wrap(ErrInvalidHead, "the status switches to another protocol")
	// ErrControlByte is an ErrInvalidHead because the reason or a value holds a control byte other than a tab, which RFC 9112, section 4, and
	// RFC 9110, section 5.5, do not allow. Some readers take a carriage return in it for the end of the line.
	ErrControlByte = errors.Wrap(ErrInvalidHead, "a line holds a control byte")
	// ErrInvalidFraming is an ErrInvalidHead because of a Transfer-Encoding in another version than HTTP/1.1, of which RFC 9112, section 6.1,
	// says that the framing is faulty. fasthttp would ignore it and take the chunks for the body.
	ErrInvalidFraming = errors.Wrap(ErrInvalidHead, "a version other than HTTP/1.1 has a transfer encoding")
	// ErrSecondStatusLine is an ErrInvalidHead because a status line stands within a line, which happens if the upstream breaks off one
	// response in its head and starts another.
	ErrSecondStatusLine = errors.Wrap(ErrInvalidHead, "a line holds the status line of another response")
	// ErrInvalidFieldName is an ErrInvalidHead because a line does not begin with a token and a colon, as RFC 9112, section 5, requires.
	// That includes continuation lines, which section 5.2 lets a gateway discard the response for, and a line feed at the beginning of a
	// name, which looks like the end of the head.
	ErrInvalidFieldName = errors.Wrap(ErrInvalidHead, "the name of a field is invalid")
)

const (
	// versionPrefix precedes the minor version, which is one digit.
	versionPrefix = "HTTP/1."
	// chunkedVersion is the minor version that defines the transfer encodings that fasthttp reads.
	chunkedVersion = '1'
	encodingName   = "transfer-encoding"
	// statusLineForm begins each status line; 0 stands for any digit.
	statusLineForm = "HTTP/1.0 000"
	// statusDigits is the length of a status.
	statusDigits = 3
	// deleteByte is the control byte above the printable ones.
	deleteByte = 0x7f
)

type headState int

// These are the places in a head at which the next byte may stand.
const (
	beforeVersion headState = iota
	inVersion
	beforeStatus
	inStatus
	inReason
	atLineStart
	inName
	inValue
	inEmptyLine
	complete
)

// Head verifies the head of one response while it arrives. The zero value is ready for use.
type Head struct {
	state headState
	// versionBytes is how much of the version has been read.
	versionBytes int
	minorVersion byte
	// status is the number that the digits read so far form.
	status      int
	digitsCount int
	// nameBytes is the length of the name read so far. isEncodingName is set if encodingName begins with it and is not allowed.
	nameBytes      int
	isEncodingName bool
	// formBytes is how much of statusLineForm the last bytes of the line match.
	formBytes int
	// previous is the last byte taken.
	previous byte
	// hasBareFeed is set if the last line ended without a carriage return.
	hasBareFeed bool
}

// IsComplete reports whether the whole head has been verified.
func (h *Head) IsComplete() bool { return h.state == complete }

// IsInterim reports whether the response is followed by another one to the same request. It is valid once the head is complete.
func (h *Head) IsInterim() bool { return h.status < 200 }

// Verify takes the next bytes of a response and returns how many of them belong to the head and are valid. The error is an
// ErrInvalidHead, after which the Head must not be used any more.
func (h *Head) Verify(data []byte) (validBytes int, err error) {
	for i := 0; i < len(data); i++ {
		if h.IsComplete() {
			return i, nil
		}
		i += h.takePlainField(data[i:])
		if h.state, err = h.after(data[i]); err != nil {
			return i, err
		}
		h.previous = data[i]
	}
	return len(data), nil
}

// takePlainField takes a whole field line but for its end, if that is valid at first sight, and returns its length. Otherwise it returns 0,
// and the bytes have to be taken one by one.
func (h *Head) takePlainField(data []byte) int {
	if h.state != atLineStart || h.minorVersion != chunkedVersion {
		return 0
	}
	line := bytes.TrimSuffix(data[:max(0, bytes.IndexByte(data, '\n'))], []byte{'\r'})
	name, value, isField := bytes.Cut(line, []byte{':'})
	if !isField || !isToken(name) || hasControl(value) || bytes.Contains(value, []byte(versionPrefix)) {
		return 0
	}
	h.state, h.previous = inValue, line[len(line)-1]
	return len(line)
}

func isToken(name []byte) bool {
	for _, next := range name {
		if !httpguts.IsTokenRune(rune(next)) {
			return false
		}
	}
	return len(name) > 0
}

func hasControl(text []byte) bool {
	for _, next := range text {
		if isControl(next) {
			return true
		}
	}
	return false
}

// after returns the state after the next byte. It accepts lines that end without a carriage return, except the last two, and empty lines
// before the head, as fasthttp does.
func (h *Head) after(next byte) (headState, error) {
	switch h.state {
	case beforeVersion:
		if next == '\r' || next == '\n' {
			return beforeVersion, nil
		}
		return h.afterVersion(next)
	case inVersion:
		return h.afterVersion(next)
	case beforeStatus:
		if next == ' ' {
			return beforeStatus, nil
		}
		return h.afterStatus(next)
	case inStatus:
		return h.afterStatus(next)
	case atLineStart:
		return h.afterLineStart(next)
	case inName:
		return h.afterName(next)
	case inEmptyLine:
		if next == '\n' {
			return complete, nil
		}
		return inEmptyLine, ErrInvalidFieldName
	default:
		return h.afterText(next)
	}
}

func (h *Head) afterVersion(next byte) (headState, error) {
	index := h.versionBytes
	h.versionBytes++
	switch {
	case index < len(versionPrefix) && next == versionPrefix[index]:
		return inVersion, nil
	case index == len(versionPrefix) && isDigit(next):
		h.minorVersion = next
		return inVersion, nil
	case index > len(versionPrefix) && next == ' ':
		return beforeStatus, nil
	}
	return inVersion, ErrInvalidVersion
}

func (h *Head) afterStatus(next byte) (headState, error) {
	if h.digitsCount < statusDigits {
		if !isDigit(next) {
			return inStatus, ErrInvalidStatus
		}
		h.status = 10*h.status + int(next-'0')
		h.digitsCount++
		if h.digitsCount == statusDigits {
			return inStatus, checkStatus(h.status)
		}
		return inStatus, nil
	}
	switch next {
	case ' ', '\r':
		return inReason, nil
	case '\n':
		return h.afterLine(), nil
	}
	return inStatus, ErrInvalidStatus
}

func checkStatus(status int) error {
	switch {
	case status < 100 || status > 599:
		return ErrInvalidStatus
	case status == fasthttp.StatusSwitchingProtocols:
		return ErrProtocolSwitch
	}
	return nil
}

// afterText returns the state after a byte of the reason or of a value, or of the end of that line.
func (h *Head) afterText(next byte) (headState, error) {
	switch {
	case next == '\n':
		return h.afterLine(), nil
	case h.previous == '\r', isControl(next) && next != '\r':
		return h.state, ErrControlByte
	case h.endsStatusLine(next):
		return h.state, ErrSecondStatusLine
	}
	return h.state, nil
}

// endsStatusLine reports whether a status line, as far as its status, ends with the next byte of a line.
func (h *Head) endsStatusLine(next byte) bool {
	form := statusLineForm[h.formBytes]
	switch {
	case form == next, form == '0' && isDigit(next):
		h.formBytes++
	case next == statusLineForm[0]:
		h.formBytes = 1
	default:
		h.formBytes = 0
	}
	return h.formBytes == len(statusLineForm)
}

// afterLine returns the state after the line feed of a line that is not empty.
func (h *Head) afterLine() headState {
	h.hasBareFeed = h.previous != '\r'
	h.formBytes = 0
	return atLineStart
}

func (h *Head) afterLineStart(next byte) (headState, error) {
	if next == '\r' && !h.hasBareFeed {
		return inEmptyLine, nil
	}
	h.isEncodingName = h.minorVersion != chunkedVersion
	return h.afterName(next)
}

func (h *Head) afterName(next byte) (headState, error) {
	switch {
	case next == ':' && h.nameBytes > 0:
		if h.isEncodingName && h.nameBytes == len(encodingName) {
			return inName, ErrInvalidFraming
		}
		h.nameBytes, h.isEncodingName = 0, false
		return inValue, nil
	case !httpguts.IsTokenRune(rune(next)):
		return inName, ErrInvalidFieldName
	}
	h.isEncodingName = h.isEncodingName && h.nameBytes < len(encodingName) && unicode.ToLower(rune(next)) == rune(encodingName[h.nameBytes])
	h.nameBytes++
	return inName, nil
}

func isDigit(next byte) bool { return next >= '0' && next <= '9' }

func isControl(next byte) bool { return next < ' ' && next != '\t' || next == deleteByte }
