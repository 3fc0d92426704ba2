package http1

import (
	"bytes"
	"errors"
	"net/url"
	"strings"
)

// requestHead is a parsed request head. Its slices refer to the bytes from which it was parsed.
type requestHead struct {
	method []byte
	target []byte
	http10 bool // the client speaks HTTP/1.0
	// fieldLines are all field lines with their line endings. They are parsed again when the request is forwarded: a
	// parsed field takes many times the memory of a short line.
	fieldLines []byte

	host      []byte
	hostCount int

	length             int64 // the value of Content-Length; 0 if there is none
	hasLength          bool
	hasTransferCoding  bool
	chunked            bool // the only transfer coding is chunked
	expectsContinue    bool // Expect: 100-continue
	unknownExpectation bool // Expect has another value

	id          []byte // X-Trace-Id
	idCount     int
	key         []byte // Idempotency-Key
	keyCount    int
	expiresIn   []byte // the first X-Expires-In, in seconds
	sizeHint    []byte // the first X-Size-Hint, in microseconds
	clientRetry bool   // X-Second-Try: 1

	connectionOptions [][]byte // the options in Connection, without close (RFC 9110, 7.6.1)
	closes            bool     // Connection: close (RFC 9112, 9.6)
}

// Errors of a malformed head. Their texts are bodies of responses with status 400.
var (
	errHead    = errors.New("malformed request line or header section")
	errVersion = errors.New("the HTTP version must be 1.1 or 1.0")
	errHost    = errors.New("exactly one Host field is required")
	errLength  = errors.New("invalid or repeated Content-Length")
	errOptions = errors.New("too many options in Connection")
)

// headEndOverlap is how many bytes of the end of a part without the head's end have to be searched again with the bytes
// that follow: an LF and the CR after it.
const headEndOverlap = 2

// headEnd returns the index in b after the empty line that ends the head, or 0 if the head is not complete. The first
// searched bytes of b are known not to contain the end. A line may end with LF alone (RFC 9112, 2.2).
func headEnd(b []byte, searched int) int {
	for at := max(0, searched-headEndOverlap); ; {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			return 0
		}
		at += i + 1
		switch {
		case at < len(b) && b[at] == '\n':
			return at + 1
		case at+1 < len(b) && b[at] == '\r' && b[at+1] == '\n':
			return at + 2
		}
	}
}

// parseHead parses a request line and field lines, up to the empty line (RFC 9112, 3 and 5).
func parseHead(b []byte) (h requestHead, err error) {
	requestLine, b, ok := cutLine(b)
	if !ok {
		return h, errHead
	}
	if err := h.parseRequestLine(requestLine); err != nil {
		return h, err
	}
	h.fieldLines = b
	for {
		var fieldLine []byte
		rest := b
		if fieldLine, b, ok = cutLine(b); !ok {
			return h, errHead
		}
		if len(fieldLine) == 0 {
			h.fieldLines = h.fieldLines[:len(h.fieldLines)-len(rest)]
			break
		}
		f, ok := parseField(fieldLine)
		if !ok {
			return h, errHead
		}
		if err := h.addField(f); err != nil {
			return h, err
		}
	}
	if h.hostCount > 1 || h.hostCount == 0 && !h.http10 { // RFC 9112, 3.2
		return h, errHost
	}
	return h, nil
}

// parseRequestLine parses method, target and version (RFC 9112, 3).
func (h *requestHead) parseRequestLine(requestLine []byte) error {
	var ok bool
	var rest, version []byte
	if h.method, rest, ok = bytes.Cut(requestLine, []byte{' '}); !ok || !isToken(h.method) {
		return errHead
	}
	if h.target, version, ok = bytes.Cut(rest, []byte{' '}); !ok || len(h.target) == 0 {
		return errHead
	}
	switch string(version) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		h.http10 = true
	default:
		return errVersion
	}
	return nil
}

// addField stores a field line, and evaluates those fields that the agent uses.
func (h *requestHead) addField(f field) error {
	switch {
	case f.is("Host"):
		h.hostCount++
		h.host = f.value
	case f.is("Content-Length"): // only one, of digits only (RFC 9110, 8.6; RFC 9112, 6.3)
		repeated := h.hasLength
		h.hasLength = true
		if repeated || !parseDigits(f.value, &h.length) {
			return errLength
		}
	case f.is("Transfer-Encoding"): // RFC 9112, 6.1
		h.chunked = !h.hasTransferCoding && strings.EqualFold(string(f.value), "chunked")
		h.hasTransferCoding = true
	case f.is("Connection"):
		return h.addConnectionOptions(f.value)
	case f.is("Expect"): // RFC 9110, 10.1.1
		if strings.EqualFold(string(f.value), "100-continue") {
			h.expectsContinue = true
		} else {
			h.unknownExpectation = true
		}
	case f.is("X-Trace-Id"):
		h.idCount++
		h.id = f.value
	case f.is("Idempotency-Key"):
		h.keyCount++
		h.key = f.value
	case f.is("X-Expires-In"):
		if h.expiresIn == nil {
			h.expiresIn = f.value
		}
	case f.is("X-Size-Hint"):
		if h.sizeHint == nil {
			h.sizeHint = f.value
		}
	case f.is("X-Second-Try"):
		h.clientRetry = h.clientRetry || string(f.value) == "1"
	}
	return nil
}

// maxConnectionOptions is how many options besides close the Connection fields of a request may have. Each field line
// is compared with each of them.
const maxConnectionOptions = 32

// addConnectionOptions parses a Connection field (RFC 9110, 7.6.1).
func (h *requestHead) addConnectionOptions(value []byte) error {
	for option := range bytes.SplitSeq(value, []byte{','}) {
		option = bytes.TrimSpace(option)
		switch {
		case strings.EqualFold(string(option), "close"):
			h.closes = true
		case len(option) == 0:
		case len(h.connectionOptions) == maxConnectionOptions:
			return errOptions
		default:
			h.connectionOptions = append(h.connectionOptions, option)
		}
	}
	return nil
}

// hasBody reports whether a body follows, other than one with a Content-Length of 0.
func (h *requestHead) hasBody() bool { return h.length > 0 || h.hasTransferCoding }

// maxDigits is how many decimal digits always fit in an int64.
const maxDigits = 18

// parseDigits parses a number that consists only of decimal digits (RFC 9110, 8.6).
func parseDigits(b []byte, n *int64) bool {
	if len(b) == 0 || len(b) > maxDigits {
		return false
	}
	*n = 0
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
		*n = *n*10 + int64(c-'0')
	}
	return true
}

// plainTarget reports whether a target is in origin-form (RFC 9112, 3.2.1) and needs no parsing by net/url.
func plainTarget(t []byte) bool {
	if t[0] != '/' {
		return false
	}
	for _, c := range t {
		if c <= ' ' || c >= 0x7f || c == '%' || c == '#' || c == '"' || c == '<' || c == '>' || c == '\\' || c == '^' || c == '`' || c == '{' || c == '|' || c == '}' {
			return false
		}
	}
	return true
}

// route returns the first segment of the path, which names the class; the target as it is forwarded, in origin-form;
// and the host.
func (h *requestHead) route() (first, target, host string, err error) {
	if plainTarget(h.target) {
		path, _, _ := bytes.Cut(h.target[1:], []byte{'?'})
		part, _, _ := bytes.Cut(path, []byte{'/'})
		return string(part), string(h.target), string(h.host), nil
	}
	u, err := url.ParseRequestURI(string(h.target))
	if err != nil {
		return "", "", "", err
	}
	host = string(h.host)
	if u.Host != "" { // a target in absolute-form overrides Host (RFC 9112, 3.2.2)
		host = u.Host
	}
	first, _, _ = strings.Cut(strings.TrimPrefix(u.Path, "/"), "/")
	forwarded := url.URL{Path: u.Path, RawPath: u.RawPath, RawQuery: u.RawQuery, ForceQuery: u.ForceQuery}
	return first, forwarded.RequestURI(), host, nil
}

// isConnectionOption reports whether Connection names the field f, which is then not forwarded (RFC 9110, 7.6.1).
func (h *requestHead) isConnectionOption(f *field) bool {
	for _, name := range h.connectionOptions {
		if f.is(string(name)) {
			return true
		}
	}
	return false
}
