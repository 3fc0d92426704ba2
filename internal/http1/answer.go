package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"time"

	"vetchhaven/internal/core"
)

// answer is a backend's whole answer.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	reusable bool // the connection may carry another request
}

const (
	maxAnswerHead = 16 << 10 // bytes of the heads of one answer, 1xx ones included
	// Chunked bodies are longer on the wire than what they hold; one in chunks of few bytes is
	// no answer of a backend.
	maxFraming = 2 * maxBody
)

var (
	errTooLong   = errors.New("longer than an answer may be")
	errNoRoom    = errors.New("too many bytes of answers at once")
	aLongTimeAgo = time.Unix(1, 0)
	errNoFraming = errors.New("an answer whose end can't be told")
)

// source reads from a backend no more than so many bytes at a time: nothing that a backend sends
// is believed to end.
type source struct {
	ctx   context.Context
	conn  net.Conn
	stall time.Duration // the longest gap once the answer has begun
	begun bool
	broke bool // the connection has ended
	left  int
}

func (s *source) Read(p []byte) (int, error) {
	if s.left <= 0 {
		return 0, errTooLong
	}
	if s.begun {
		if err := s.conn.SetReadDeadline(time.Now().Add(s.stall)); err != nil {
			return 0, err
		}
		if s.ctx.Err() != nil { // ended meanwhile: its deadline must not be put off
			return 0, s.ctx.Err()
		}
	}
	n, err := s.conn.Read(p[:min(len(p), s.left)])
	s.begun = true
	s.left -= n
	s.broke = err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// readAnswer reads one answer whole. The framing is read here, and more strictly than
// http.ReadResponse does it: an answer that tells its end twice, or not at all, can't be told
// from a part of one.
func readAnswer(in *bufio.Reader, src *source, room *core.Budget) (*answer, error) {
	src.left = maxAnswerHead
	text := textproto.NewReader(in)
	a := &answer{}
	for a.status < 200 { // 1xx ones come ahead of the answer
		line, err := text.ReadLine()
		if err != nil {
			return nil, err
		}
		if a.status, err = parseStatus(line); err != nil {
			return nil, err
		}
		header, err := text.ReadMIMEHeader()
		if err != nil {
			return nil, err
		}
		a.header = http.Header(header)
	}
	src.left += maxBody
	var err error
	coding, lengths := a.header["Transfer-Encoding"], a.header["Content-Length"]
	switch {
	case a.status == http.StatusNoContent || a.status == http.StatusNotModified:
	case len(coding) == 1 && strings.EqualFold(coding[0], "chunked") && len(lengths) == 0:
		src.left += maxFraming
		a.body, err = readChunked(in, text, room)
	case len(coding) == 0 && len(lengths) == 1:
		a.body, err = readLength(in, lengths[0], room)
	default:
		err = errNoFraming
	}
	if err != nil {
		return nil, err
	}
	a.reusable = in.Buffered() == 0
	for _, v := range a.header["Connection"] {
		a.reusable = a.reusable && !strings.Contains(strings.ToLower(v), "close")
	}
	return a, nil
}

// parseStatus reads a status line of HTTP/1.1.
func parseStatus(line string) (int, error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.ParseUint(code, 10, 16)
	if version != "HTTP/1.1" || err != nil || len(code) != 3 || status < 100 || status == http.StatusSwitchingProtocols {
		return 0, fmt.Errorf("no status line: %.40q", line)
	}
	return int(status), nil
}

func readLength(in *bufio.Reader, length string, room *core.Budget) ([]byte, error) {
	n, err := strconv.ParseUint(length, 10, 63)
	switch {
	case err != nil:
		return nil, err
	case n > maxBody:
		return nil, errTooLong
	case !room.Take(int(n)):
		return nil, errNoRoom
	}
	defer room.Put(int(n))
	body := make([]byte, n)
	_, err = io.ReadFull(in, body)
	return body, err
}

func readChunked(in *bufio.Reader, text *textproto.Reader, room *core.Budget) ([]byte, error) {
	if !room.Take(maxBody) {
		return nil, errNoRoom
	}
	defer room.Put(maxBody)
	body, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(in), maxBody+1))
	if err == nil && len(body) > maxBody {
		err = errTooLong
	}
	if err == nil {
		_, err = text.ReadMIMEHeader() // the trailers: of no use, but they belong to the answer
	}
	return body, err
}
