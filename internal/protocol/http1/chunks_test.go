package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"vetchhaven/internal/testkit"
)

func TestChunkedBodyIsDecodedStrictly(t *testing.T) {
	for _, tt := range []struct{ text, body, rest string }{
		{"0\r\n\r\n", "", ""},
		{"5\r\nhello\r\n0\r\n\r\nGET", "hello", "GET"},
		{"005;a=b;c=\"d\"\r\nhello\r\n000\r\n\r\n", "hello", ""},
		{"5 \t;x\r\nhello\r\nA\r\n0123456789\r\n0\r\nX-Sum: 1\r\nY: 2\r\n\r\n", "hello0123456789", ""},
		{"5\nhello\n0\n\n", "hello", ""},
	} {
		for name, r := range map[string]io.Reader{"at once": strings.NewReader(tt.text), "by byte": iotest.OneByteReader(strings.NewReader(tt.text))} {
			in := bufio.NewReader(r)
			body, err := io.ReadAll(&chunkedBody{in: in})
			rest, _ := io.ReadAll(in)
			if err != nil || string(body) != tt.body || string(rest) != tt.rest {
				t.Errorf("%q, %s: %q, rest %q, %v", tt.text, name, body, rest, err)
			}
		}
	}
	for _, text := range []string{"", "5", "5\r\nhel", "5\r\nhello", "5\r\nhello\r\n", "5\r\nhello\r\n0\r\n", "5\r\nhelloX\r\n0\r\n\r\n",
		"\r\n", "x\r\n", "-1\r\n", "+5\r\nhello\r\n0\r\n\r\n", " 5\r\nhello\r\n0\r\n\r\n", "0x5\r\nhello\r\n0\r\n\r\n", "5\rhello", "5,5\r\nhello\r\n0\r\n\r\n",
		"ffffffffffffffffff\r\n", "2000001\r\n", "0\r\nno colon\r\n\r\n", "0\r\n" + strings.Repeat("a: b\r\n", 1<<14) + "\r\n",
		"5;" + strings.Repeat("x", 1<<11) + "\r\nhello\r\n0\r\n\r\n", "5;\x00\r\nhello\r\n0\r\n\r\n"} {
		if body, err := io.ReadAll(&chunkedBody{in: bufio.NewReader(strings.NewReader(text))}); err == nil {
			t.Errorf("%.40q was read as %q", text, body)
		}
	}
	endless := &chunkedBody{in: bufio.NewReader(io.MultiReader(strings.NewReader(strings.Repeat("1;"+strings.Repeat("x", 500)+"\r\nx\r\n", 1<<12))))}
	if n, err := io.Copy(io.Discard, endless); !errors.Is(err, errChunk) || n > 1000 {
		t.Errorf("a body that is mostly framing: %d bytes, %v", n, err)
	}
}

// The bytes of a chunk that have arrived are returned at once, even if they do not fill the caller's buffer.
func TestChunkedBodyReturnsWhatHasComeAtOnce(t *testing.T) {
	r, w := io.Pipe()
	c := &chunkedBody{in: bufio.NewReader(r)}
	got := make(chan string, 10)
	go func() {
		buf := make([]byte, 1<<10)
		for {
			n, err := c.Read(buf)
			if err != nil {
				return
			}
			got <- string(buf[:n])
		}
	}()
	for _, piece := range []string{"64\r\nhel", "lo"} {
		if _, err := io.WriteString(w, piece); err != nil {
			t.Fatal(err)
		}
		want := strings.TrimPrefix(piece, "64\r\n")
		select {
		case s := <-got:
			if s != want {
				t.Errorf("%q, want %q", s, want)
			}
		case <-time.After(testkit.EventTimeout):
			t.Fatalf("%q is delayed", want)
		}
	}
	w.Close()
}

// No input causes a panic. The standard library decodes an accepted body alike, and appendChunk encodes it as the same
// body.
func FuzzChunks(f *testing.F) {
	f.Add([]byte("5\r\nhello\r\n0\r\n\r\n"), byte(1))
	f.Add([]byte("5;x=y\r\nhello\r\n0\r\nA: b\r\n\r\nrest"), byte(7))
	f.Add([]byte("a\n0123456789\n0\n\n"), byte(3))
	f.Fuzz(func(t *testing.T, raw []byte, room byte) {
		c := &chunkedBody{in: bufio.NewReader(bytes.NewReader(raw))}
		var body, again []byte
		buf := make([]byte, int(room)+1)
		for {
			n, err := c.Read(buf)
			body = append(body, buf[:n]...)
			again = appendChunk(again, buf[:n])
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				return
			}
		}
		if theirs, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(raw))); err == nil && !bytes.Equal(theirs, body) {
			t.Errorf("%q: %q, the standard library reads %q", raw, body, theirs)
		}
		again = append(again, lastChunk...)
		if same, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(again))); err != nil || !bytes.Equal(same, body) {
			t.Errorf("%q is forwarded as %q: %q, %v", raw, again, same, err)
		}
	})
}
