// Package httpresponse checks that what a server sends is a response as RFC 9110 and RFC 9112 define it, where net/http accepts
// more: status codes outside of 100 to 599, blanks in the names of fields, folded lines, contradictory lengths, and a
// connection that is reset while the request is still being written.
package httpresponse

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// ErrMalformed says that a server has sent something that is not an HTTP response.
var ErrMalformed = errors.New("malformed response")

// malformed returns an error that wraps ErrMalformed.
func malformed(format string, args ...any) error { return errors.Wrapf(ErrMalformed, format, args...) }

const (
	// minStatus and maxStatus bound the status codes of RFC 9110, section 15.
	minStatus, maxStatus = 100, 599
	// statusEnd is the length of the part of a status line up to the status code, "HTTP/1.1 200".
	statusEnd = 12
)

// headCheck checks the head of a response, and of the interim responses before it, line by line. It is not safe for
// concurrent use.
type headCheck struct {
	// line is the beginning of a line whose end has not arrived.
	line []byte
	// inFields says that the status line has been read.
	inFields bool
	// status is the status code of the current head, minorVersion the minor version of its protocol.
	status       int
	minorVersion byte
	// hasLength and hasEncoding say that the current head states a length or a transfer coding of the body.
	hasLength, hasEncoding bool
	// done says that the head of the final response is complete.
	done bool
	err  error
}

// add checks the bytes that follow. It ignores those after the head. Once it has returned an error it always does.
func (h *headCheck) add(p []byte) error {
	for len(p) > 0 && !h.done && h.err == nil {
		part, rest, ended := bytes.Cut(p, []byte("\n"))
		p = rest
		if !ended || len(h.line) > 0 {
			h.line = append(h.line, part...)
			part = h.line
		}
		if ended {
			h.err = h.checkLine(bytes.TrimSuffix(part, []byte("\r")))
			h.line = h.line[:0]
		}
	}
	return h.err
}

// checkLine checks a line, without its end.
func (h *headCheck) checkLine(line []byte) error {
	switch {
	case !h.inFields:
		return h.checkStatusLine(line)
	case len(line) > 0:
		return h.checkField(line)
	}
	return h.endHead()
}

func (h *headCheck) checkStatusLine(line []byte) error {
	if len(line) < statusEnd || string(line[:7]) != "HTTP/1." || !isDigit(line[7]) || line[8] != ' ' ||
		len(line) > statusEnd && line[statusEnd] != ' ' || !isText(line) {
		return malformed("status line %.80q", line)
	}
	h.status = 0
	for _, digit := range line[9:statusEnd] {
		if !isDigit(digit) {
			return malformed("status line %.80q", line)
		}
		h.status = 10*h.status + int(digit-'0')
	}
	if h.status < minStatus || h.status > maxStatus {
		return malformed("status code %03d", h.status)
	}
	if h.status == http.StatusSwitchingProtocols {
		return malformed("protocols switched without a request for it")
	}
	h.inFields, h.minorVersion = true, line[7]
	return nil
}

// checkField checks a field line. Folded lines are rejected as RFC 9112, section 5.2, permits, because they are indistinguishable from
// names that begin with a blank.
func (h *headCheck) checkField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) || !isText(value) {
		return malformed("field line %.80q", line)
	}
	switch {
	case strings.EqualFold(string(name), "Content-Length"):
		if h.hasLength {
			return malformed("more than one Content-Length")
		}
		h.hasLength = true
	case strings.EqualFold(string(name), "Transfer-Encoding"):
		h.hasEncoding = true
	}
	return nil
}

// endHead checks a head at its end. The values of the fields that frame the body are left to net/http.
func (h *headCheck) endHead() error {
	switch {
	case h.hasEncoding && h.hasLength:
		return malformed("both Content-Length and Transfer-Encoding")
	case h.hasEncoding && h.minorVersion == '0':
		return malformed("Transfer-Encoding in HTTP/1.0")
	}
	h.done = h.status >= http.StatusOK
	h.inFields, h.hasLength, h.hasEncoding = false, false, false
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isToken reports whether a text is a token of RFC 9110, section 5.6.2.
func isToken[T string | []byte](text T) bool {
	for i := range len(text) {
		b := text[i]
		if !isDigit(b) && (b < 'a' || b > 'z') && (b < 'A' || b > 'Z') && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return false
		}
	}
	return len(text) > 0
}

// isText reports whether a text contains no control byte other than tabs.
func isText(text []byte) bool {
	return !bytes.ContainsFunc(text, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f })
}
