package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
)

// chunkedBody decodes a chunked body (RFC 9112, 7.1), and consumes no byte after its end. It returns bytes as soon as
// they arrive: net/http's decoder waits within a chunk until the caller's buffer is full, and so delays the bytes of a
// slow peer.
type chunkedBody struct {
	in        *bufio.Reader
	remaining int64 // bytes of the current chunk that are still to be read
	started   bool  // the first chunk's size was read
	decoded   int64 // bytes of the body so far
	framing   int64 // bytes of framing so far
	err       error // returned by all further reads; io.EOF if the body is complete
}

const (
	// maxChunkLine is how many bytes a chunk size with its extensions, or a trailer's field line, may have.
	maxChunkLine = 1 << 10
	// maxTrailers is how many bytes the field lines of the trailer section may have.
	maxTrailers = 16 << 10
	// The framing of small chunks may be longer than their content. Up to freeFraming bytes of framing are always
	// allowed, and framingPerByte bytes for each byte of content: a body that is mostly framing is an attack (RFC
	// 9112, 7.1.1).
	framingPerByte = 16
	freeFraming    = 64 << 10
)

var errChunk = errors.New("malformed chunked body")

// Read implements io.Reader.
func (c *chunkedBody) Read(p []byte) (int, error) {
	if c.err == nil && c.remaining == 0 {
		c.err = c.next()
	}
	if c.err != nil {
		return 0, c.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	n, err := c.in.Read(p[:min(int64(len(p)), c.remaining)])
	c.remaining -= int64(n)
	c.decoded += int64(n)
	if err != nil {
		c.err = unexpectedEOF(err)
	}
	if n > 0 {
		return n, nil
	}
	return 0, c.err
}

// unexpectedEOF returns io.ErrUnexpectedEOF for io.EOF, which within a body is an error, and any other error
// unchanged.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// next reads up to the data of the next chunk. It returns io.EOF if there is no further chunk and the trailer section
// has been read.
func (c *chunkedBody) next() error {
	if c.started {
		line, err := c.line() // the line ending after the previous chunk
		if err != nil {
			return err
		}
		if len(line) != 0 {
			return errChunk
		}
	}
	c.started = true
	line, err := c.line()
	if err != nil {
		return err
	}
	if c.remaining, err = parseSize(line); err != nil || c.remaining > 0 {
		return err
	}
	return c.skipTrailers()
}

// skipTrailers reads and drops the trailer section (RFC 9112, 7.1.2). It returns io.EOF at the body's end.
func (c *chunkedBody) skipTrailers() error {
	for total := 0; ; {
		line, err := c.line()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
		total += len(line)
		if total > maxTrailers {
			return errChunk
		}
		if _, ok := parseField(line); !ok {
			return errChunk
		}
	}
}

// line reads one line of framing, without its line ending.
func (c *chunkedBody) line() ([]byte, error) {
	line, err := c.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || len(line) > maxChunkLine {
		return nil, errChunk
	}
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	c.framing += int64(len(line))
	if c.framing > freeFraming+framingPerByte*c.decoded {
		return nil, errChunk
	}
	line = line[:len(line)-1]
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	return line, nil
}

// parseSize parses a chunk size of hexadecimal digits only; the extensions after it are ignored (RFC 9112, 7.1.1).
func parseSize(line []byte) (n int64, err error) {
	digits := 0
	for ; digits < len(line); digits++ {
		d := int64(0)
		switch c := line[digits]; {
		case c >= '0' && c <= '9':
			d = int64(c - '0')
		case c|0x20 >= 'a' && c|0x20 <= 'f':
			d = int64(c|0x20-'a') + 10
		default:
			d = -1
		}
		if d < 0 {
			break
		}
		if n = n<<4 + d; n > maxBody {
			return 0, errTooLong
		}
	}
	rest := line[digits:]
	for len(rest) > 0 && (rest[0] == ' ' || rest[0] == '\t') {
		rest = rest[1:]
	}
	if digits == 0 || len(rest) > 0 && rest[0] != ';' {
		return 0, fmt.Errorf("%w: size %.20q", errChunk, line)
	}
	for _, c := range rest {
		if c < ' ' && c != '\t' || c == 0x7f {
			return 0, errChunk
		}
	}
	return n, nil
}

// appendChunk appends a piece of a body as one chunk; an empty one is left out.
func appendChunk(b, piece []byte) []byte {
	if len(piece) == 0 {
		return b // an empty chunk would end the body
	}
	b = appendHex(b, len(piece))
	b = append(append(b, "\r\n"...), piece...)
	return append(b, "\r\n"...)
}

// appendHex appends a number in hexadecimal digits.
func appendHex(b []byte, n int) []byte { return fmt.Appendf(b, "%x", n) }

// lastChunk ends a chunked body without trailers.
const lastChunk = "0\r\n\r\n"
