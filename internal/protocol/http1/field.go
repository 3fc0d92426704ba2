package http1

import (
	"bytes"
)

// field is one header line.
type field struct {
	name, value  []byte
	line         []byte // both, without the line's end
	notForwarded bool   // ends here: it is not passed on
}

// isTokenByte are the bytes of a token (RFC 9110, 5.6.2).
var isTokenByte = func() (all [256]bool) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		all[c] = true
	}
	return all
}()

func isToken(b []byte) bool {
	for _, c := range b {
		if !isTokenByte[c] {
			return false
		}
	}
	return len(b) > 0
}

// parseField reads one header line (RFC 9112, 5). A line that goes on from the one before is not taken.
func parseField(line []byte) (f field, ok bool) {
	i := bytes.IndexByte(line, ':')
	if i < 0 || !isToken(line[:i]) {
		return f, false
	}
	f.name, f.line = line[:i], line
	f.value = bytes.Trim(line[i+1:], " \t")
	for _, c := range f.value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return f, false
		}
	}
	return f, true
}

// is compares a name that has no case.
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

// cutLine cuts the first line off, without its end. ok is false where there is no end.
func cutLine(b []byte) (one, rest []byte, ok bool) {
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		return nil, b, false
	}
	one, rest = b[:i], b[i+1:]
	if n := len(one); n > 0 && one[n-1] == '\r' {
		one = one[:n-1]
	}
	return one, rest, true
}
