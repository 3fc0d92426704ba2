package ldapmsg

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	ber "github.com/go-asn1-ber/asn1-ber"
	"pgregory.net/rapid"
)

// The package and a BER library read each other's messages.
func TestMessagesAgreeWithGoLDAP(t *testing.T) {
	p, err := ber.DecodePacketErr(Response(7, ModifyResponse, Busy, "later"))
	if err != nil {
		t.Fatal(err)
	}
	if id := p.Children[0].Value.(int64); id != 7 || p.Children[1].Tag != 7 || p.Children[1].Children[0].Value.(int64) != Busy {
		t.Errorf("%v", p)
	}
	rapid.Check(t, func(t *rapid.T) {
		id, text := rapid.Int32Range(0, MaxID).Draw(t, "id"), rapid.SliceOfN(rapid.Byte(), 0, 70000).Draw(t, "text")
		m := ber.Encode(ber.ClassUniversal, ber.TypeConstructed, ber.TagSequence, nil, "")
		m.AppendChild(ber.NewInteger(ber.ClassUniversal, ber.TypePrimitive, ber.TagInteger, int64(id), ""))
		op := ber.Encode(ber.ClassApplication, ber.TypeConstructed, 7, nil, "")
		op.AppendChild(ber.NewInteger(ber.ClassUniversal, ber.TypePrimitive, ber.TagEnumerated, 5, ""))
		op.AppendChild(ber.NewString(ber.ClassUniversal, ber.TypePrimitive, ber.TagOctetString, "", ""))
		op.AppendChild(ber.NewString(ber.ClassUniversal, ber.TypePrimitive, ber.TagOctetString, string(text), ""))
		m.AppendChild(op)
		raw := m.Bytes()
		got, err := Parse(raw)
		if err != nil || got.ID != id || got.Op != ModifyResponse {
			t.Fatalf("%+v, %v", got, err)
		}
		if code, ok := got.Code(); !ok || code != 5 {
			t.Errorf("code %d, %v", code, ok)
		}
		again, err := Parse(WithID(id^1, got.Rest))
		if err != nil || again.ID != id^1 || !bytes.Equal(again.Content, got.Content) {
			t.Errorf("%+v, %v", again, err)
		}
		if err := CheckDepth(raw); err != nil {
			t.Error(err)
		}
	})
}

// The reader returns the same messages whatever pieces the bytes come in.
func TestReaderFramesMessagesInPieces(t *testing.T) {
	var all []byte
	want := 0
	for i := range int32(50) {
		all = append(all, Response(i, SearchDone, 0, string(make([]byte, int(i)*200)))...)
		want++
	}
	for name, in := range map[string]io.Reader{"whole": bytes.NewReader(all), "bytes": iotest.OneByteReader(bytes.NewReader(all)),
		"halves": iotest.HalfReader(bytes.NewReader(all)), "with the error": iotest.DataErrReader(bytes.NewReader(all))} {
		r := NewReader(in, 1<<20)
		n := 0
		for {
			raw, err := r.Next()
			if err != nil {
				if !errors.Is(err, io.EOF) {
					t.Errorf("%s: %v", name, err)
				}
				break
			}
			if m, err := Parse(raw); err != nil || m.ID != int32(n) {
				t.Errorf("%s: %+v, %v", name, m, err)
			}
			n++
		}
		if n != want {
			t.Errorf("%s: %d messages", name, n)
		}
	}
}

// An announced length without the bytes does not make the reader allocate memory for it.
func TestAnnouncedLengthTakesNoMemory(t *testing.T) {
	r := NewReader(io.MultiReader(bytes.NewReader([]byte{0x30, 0x84, 0, 0x0f, 0, 0}), iotest.ErrReader(io.ErrNoProgress)), 1<<20)
	if _, err := r.Next(); !errors.Is(err, io.ErrNoProgress) {
		t.Errorf("%v", err)
	}
	if len(r.buf) > 4*minBuffer {
		t.Errorf("the buffer has %d bytes after 6 were received", len(r.buf))
	}
}

func TestDeepNestingIsRejected(t *testing.T) {
	nest := func(n int) []byte {
		b := []byte{0x04, 0}
		for range n {
			b = appendElement(nil, 0x30, b)
		}
		return b
	}
	if err := CheckDepth(nest(maxDepth)); err != nil {
		t.Error(err)
	}
	if err := CheckDepth(nest(maxDepth + 1)); !errors.Is(err, ErrMalformed) {
		t.Error("elements that are nested too deep were accepted")
	}
	if err := CheckDepth([]byte{0x30, 4, 0x30, 5, 0x04, 0}); !errors.Is(err, ErrMalformed) {
		t.Error("an element that exceeds its container was accepted")
	}
}

func TestPagedCookieIsRead(t *testing.T) {
	value := appendElement(nil, 0x30, append([]byte{0x02, 1, 0}, appendElement(nil, 0x04, []byte("cookie"))...))
	c := appendElement(nil, 0x30, append(appendElement(nil, 0x04, []byte(OIDPagedResults)), append([]byte{0x01, 1, 0xff}, appendElement(nil, 0x04, value)...)...))
	other := appendElement(nil, 0x30, appendElement(nil, 0x04, []byte("1.2.3")))
	if cookie, found := PagedCookie(append(other, c...)); !found || string(cookie) != "cookie" {
		t.Errorf("%q, %v", cookie, found)
	}
	if _, found := PagedCookie(other); found {
		t.Error("found a cookie without a paged results control")
	}
}

// Arbitrary bytes cause no panic, and a message that is accepted keeps its content under another message ID.
func FuzzParse(f *testing.F) {
	f.Add(Response(1, SearchDone, 0, "x"))
	f.Add(SimpleBind(2, []byte("cn=a"), []byte("p")))
	f.Add(Extended(3, OIDCancel, []byte{0x30, 3, 2, 1, 1}))
	f.Add(Abandon(4, 3))
	f.Add(NoticeOfDisconnection(52, "bye"))
	f.Add([]byte{0x30, 0x80, 0, 0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		_ = CheckDepth(raw)
		r := NewReader(bytes.NewReader(raw), 1<<16)
		for {
			b, err := r.Next()
			if err != nil {
				break
			}
			m, err := Parse(b)
			if err != nil {
				continue
			}
			_, _ = m.Code()
			_, _ = ParseBind(m.Content)
			_, _, _ = ExtendedName(m.Content)
			_, _ = ParseSearch(m.Content)
			_, _ = ParseAbandon(m.Content)
			_, _ = PagedCookie(m.Controls)
			again, err := Parse(WithID(9, m.Rest))
			if err != nil || again.ID != 9 || again.Op != m.Op || !bytes.Equal(again.Content, m.Content) || !bytes.Equal(again.Controls, m.Controls) {
				t.Errorf("%x became %+v, %v", b, again, err)
			}
		}
	})
}
