package http1

import (
	"bytes"
	"slices"
)

// field is one field line.
type field struct {
	name  []byte
	value []byte // without the surrounding whitespace
	line  []byte // the whole line, without its line ending
}

// isForwarded reports whether a request's field is forwarded. Hop-by-hop fields (RFC 9110, 7.6.1) and fields that are
// written anew are not.
func (f *field) isForwarded() bool {
	return !slices.ContainsFunc(notForwardedFields[:], f.is)
}

var notForwardedFields = [...]string{
	"Host", "Content-Length", "Transfer-Encoding", "Connection", "Expect", "X-Expires-In",
	"Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Upgrade",
}

// isTokenByte marks the bytes that a token may contain (RFC 9110, 5.6.2).
var isTokenByte = func() (all [256]bool) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		all[c] = true
	}
	return all
}()

// isToken reports whether b is a token: a method or a field name.
func isToken(b []byte) bool {
	for _, c := range b {
		if !isTokenByte[c] {
			return false
		}
	}
	return len(b) > 0
}

// parseField parses one field line, as strictly as RFC 9112, 5.1 requires: it accepts no whitespace before the colon,
// and no line folding (obs-fold, 5.2). A value has no control characters except tabs (RFC 9110, 5.5).
func parseField(line []byte) (f field, ok bool) {
	i := bytes.IndexByte(line, ':')
	if i < 0 || !isToken(line[:i]) {
		return f, false
	}
	f.name = line[:i]
	f.line = line
	f.value = bytes.Trim(line[i+1:], " \t")
	for _, c := range f.value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return f, false
		}
	}
	return f, true
}

// is reports whether the field has this name, ignoring case (RFC 9110, 5.1).
func (f *field) is(name string) bool {
	if len(f.name) != len(name) {
		return false
	}
	for i, c := range f.name {
		d := name[i]
		if c|0x20 != d|0x20 || c != d && c|0x20 < 'a' {
			return false
		}
	}
	return true
}

// cutLine splits off the first line of b, without its CRLF or LF. ok is false if b has no complete line.
func cutLine(b []byte) (line, rest []byte, ok bool) {
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		return nil, b, false
	}
	line = b[:i]
	rest = b[i+1:]
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	return line, rest, true
}
