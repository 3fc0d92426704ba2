package http1

import (
	"bytes"
	"errors"
	"net/url"
	"strings"
)

// requestHead is a request's head as it came. It refers to the bytes that it was read from.
type requestHead struct {
	method, target []byte
	http10         bool // of HTTP/1.0
	fields         []field

	host                []byte
	hostCount           int
	length              int64 // of the body; 0 where none is told
	hasLength           bool  // a length is told
	hasTransferCoding   bool  // the body has a transfer coding
	chunked             bool  // which is chunked alone
	expectsContinue     bool
	unknownExpectation  bool
	idCount, keyCount   int
	id, key             []byte
	expiresIn, sizeHint []byte
	clientRetry         bool
	connectionOptions   [][]byte // what Connection names (RFC 9110, 7.6.1)
	closes              bool
}

var (
	errHead    = errors.New("the head can't be read")
	errVersion = errors.New("HTTP/1.1 is spoken here")
	errHost    = errors.New("one Host is needed")
	errLength  = errors.New("the Content-Length can't be read")
)

// headEnd is where a head ends in b, behind its empty line; 0: it does not.
func headEnd(b []byte) int {
	for at := 0; ; {
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

// parseHead reads a request line and header lines, which end with an empty one (RFC 9112, 3 and 5).
func parseHead(b []byte, fields []field) (h requestHead, err error) {
	h.fields = fields[:0]
	first, b, ok := cutLine(b)
	if !ok {
		return h, errHead
	}
	var rest, version []byte
	if h.method, rest, ok = bytes.Cut(first, []byte{' '}); !ok || !isToken(h.method) {
		return h, errHead
	}
	if h.target, version, ok = bytes.Cut(rest, []byte{' '}); !ok || len(h.target) == 0 {
		return h, errHead
	}
	switch string(version) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		h.http10 = true
	default:
		return h, errVersion
	}
	lengths := 0
	for {
		var one []byte
		if one, b, ok = cutLine(b); !ok {
			return h, errHead
		}
		if len(one) == 0 {
			break
		}
		f, ok := parseField(one)
		if !ok {
			return h, errHead
		}
		switch {
		case f.is("Host"):
			h.hostCount++
			h.host, f.notForwarded = f.value, true
		case f.is("Content-Length"):
			f.notForwarded, h.hasLength = true, true
			if lengths++; lengths > 1 || !parseDigits(f.value, &h.length) {
				return h, errLength
			}
		case f.is("Transfer-Encoding"):
			h.chunked = !h.hasTransferCoding && strings.EqualFold(string(f.value), "chunked")
			h.hasTransferCoding, f.notForwarded = true, true
		case f.is("Connection"):
			f.notForwarded = true
			for name := range bytes.SplitSeq(f.value, []byte{','}) {
				if name = bytes.TrimSpace(name); strings.EqualFold(string(name), "close") {
					h.closes = true
				} else if len(name) > 0 {
					h.connectionOptions = append(h.connectionOptions, name)
				}
			}
		case f.is("Expect"):
			f.notForwarded = true
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
			f.notForwarded = true
			if h.expiresIn == nil {
				h.expiresIn = f.value
			}
		case f.is("X-Size-Hint"):
			if h.sizeHint == nil {
				h.sizeHint = f.value
			}
		case f.is("X-Second-Try"):
			h.clientRetry = h.clientRetry || string(f.value) == "1"
		case f.is("Keep-Alive"), f.is("Proxy-Connection"), f.is("Te"), f.is("Trailer"), f.is("Upgrade"):
			f.notForwarded = true
		}
		h.fields = append(h.fields, f)
	}
	if h.hostCount > 1 || h.hostCount == 0 && !h.http10 {
		return h, errHost
	}
	return h, nil
}

// parseDigits reads a decimal number of digits alone.
func parseDigits(b []byte, n *int64) bool {
	if len(b) == 0 || len(b) > 18 {
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

// plainTarget reports whether a target needs no further reading: a path and a query of common bytes.
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

// route is the first part of the path, the target as it goes on, and the host.
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
	if u.Host != "" { // the absolute form (RFC 9112, 3.2.2)
		host = u.Host
	}
	first, _, _ = strings.Cut(strings.TrimPrefix(u.Path, "/"), "/")
	on := url.URL{Path: u.Path, RawPath: u.RawPath, RawQuery: u.RawQuery, ForceQuery: u.ForceQuery}
	return first, on.RequestURI(), host, nil
}

// isConnectionOption reports whether Connection names a field, which then ends here.
func (h *requestHead) isConnectionOption(f *field) bool {
	for _, name := range h.connectionOptions {
		if f.is(string(name)) {
			return true
		}
	}
	return false
}

func (h *requestHead) size() (n int) {
	for i := range h.fields {
		n += len(h.fields[i].line) + 2
	}
	return n
}
