package transport

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"vetchhaven/internal/peer/membership"
)

// drawRecord draws a record with arbitrary valid values.
func drawRecord(t *rapid.T) membership.Record {
	text := rapid.StringMatching("[a-z]{0,20}")
	return membership.Record{
		Name:               text.Draw(t, "name"),
		Addr:               "127.100.100.100:65535",
		Zone:               text.Draw(t, "zone"),
		Version:            text.Draw(t, "program"),
		Boot:               rapid.Uint64().Draw(t, "boot"),
		RunID:              rapid.Uint64().Draw(t, "run ID"),
		Incarnation:        rapid.Uint32().Draw(t, "incarnation"),
		State:              membership.Suspect,
		Reporter:           text.Draw(t, "reporter"),
		Instances:          rapid.Uint32().Draw(t, "instances"),
		Balancers:          rapid.Uint32().Draw(t, "balancers"),
		NameVerified:       true,
		AgeSeconds:         rapid.Uint32().Draw(t, "age"),
		Metadata:           rapid.SliceOfN(rapid.Byte(), 0, membership.MaxMetadataBytes).Draw(t, "metadata"),
		Region:             rapid.StringMatching("[a-z]{0,64}").Draw(t, "region"),
		UnreachableRegions: rapid.SliceOfN(rapid.Uint32(), 0, 20).Draw(t, "unreachable regions"),
	}
}

func drawMessage(t *rapid.T) *membership.Message {
	text := rapid.StringMatching("[a-z]{0,20}")
	return &membership.Message{
		From:         text.Draw(t, "from"),
		Boot:         rapid.Uint64().Draw(t, "boot"),
		RunID:        rapid.Uint64().Draw(t, "run ID"),
		Number:       rapid.Uint64().Draw(t, "number"),
		Digest:       rapid.Uint64().Draw(t, "digest"),
		Kind:         membership.IdentityResponse,
		Seq:          rapid.Uint32().Draw(t, "seq"),
		Target:       text.Draw(t, "target"),
		Addr:         "127.0.0.1:1",
		Reply:        "127.0.0.1:2",
		UptimeMS:     rapid.Uint64().Draw(t, "uptime"),
		SubjectRunID: rapid.Uint64().Draw(t, "subject run ID"),
		Updates:      rapid.SliceOfN(rapid.Custom(drawRecord), 0, 8).Draw(t, "updates"),
	}
}

func TestEncodedMessagesStayWithinTheirBound(t *testing.T) {
	const fleet = "abcdefghijklmnopqrstuvwxyzabcdef"
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		data, err := encodeMembership(fleet, m)
		if err != nil {
			t.Fatal(err)
		}
		if bound := m.MaxEncodedSize(); len(data) > bound {
			t.Fatalf("%d bytes, bound %d", len(data), bound)
		}
		back := &membership.Message{}
		if err := decodeMembership(fleet, data, back); err != nil || back.Number != m.Number || len(back.Updates) != len(m.Updates) {
			t.Fatalf("decoded %+v, %v", back, err)
		}
		at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
		data[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if err := decodeMembership(fleet, data, back); err == nil {
			t.Fatalf("message accepted with a changed bit in byte %d", at)
		}
	})
}

func TestForeignOrDamagedMessagesAreRejected(t *testing.T) {
	encode := func(fleet string) []byte {
		data, err := encodeMembership(fleet, &membership.Message{From: "a", Kind: membership.Gossip})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	otherFormat := encode("f")
	otherFormat[formatOffset] = sharedFormat
	for _, c := range []struct {
		name string
		data []byte
		want error
	}{
		{"nothing", nil, ErrUnknownProtocol},
		{"another protocol", []byte("GET / HTTP/1.1\r\n"), ErrUnknownProtocol},
		{"another format", otherFormat, ErrUnknownFormat},
		{"truncated", encode("f")[:9], ErrDamaged},
		{"another fleet", encode("g"), ErrOtherFleet},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := decodeMembership("f", c.data, &membership.Message{}); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

func TestUnknownKeysAreSkipped(t *testing.T) {
	type laterMessage struct {
		membership.Message
		More string `cbor:"99,keyasint"`
	}
	later := &laterMessage{Message: membership.Message{From: "a", Kind: membership.Gossip}, More: "x"}
	data, err := encodeMembership("f", later)
	if err != nil {
		t.Fatal(err)
	}
	m := &membership.Message{}
	if err := decodeMembership("f", data, m); err != nil || m.From != "a" {
		t.Errorf("decoded %+v, %v", m, err)
	}
}

// A member that starts without a view receives a complete view on one stream. A view of DefaultMaxMembers records
// fits, with each field at its maximum length except UnreachableRegions, which only a region's three watchers set.
func TestFullViewOfMaxMembersFitsAStream(t *testing.T) {
	longName := strings.Repeat("x", membership.MaxNameBytes)
	x := &membership.Exchange{From: longName}
	for n := range membership.DefaultMaxMembers {
		x.Records = append(x.Records, membership.Record{
			Name:         fmt.Sprintf("%0*d", membership.MaxNameBytes, n),
			Addr:         strings.Repeat("a", 64),
			Zone:         longName,
			Region:       longName,
			Version:      longName,
			Boot:         1 << 62,
			RunID:        1 << 63,
			Incarnation:  1 << 31,
			State:        membership.Dead,
			Reporter:     longName,
			Instances:    1 << 31,
			Balancers:    1 << 31,
			NameVerified: true,
			AgeSeconds:   1 << 31,
			Metadata:     make([]byte, membership.MaxMetadataBytes),
		})
	}
	var stream bytes.Buffer
	if err := writeExchange(&stream, "vetchhaven", x); err != nil {
		t.Fatalf("%d members: %v", membership.DefaultMaxMembers, err)
	}
	back, err := readExchange(&stream, "vetchhaven")
	if err != nil || len(back.Records) != membership.DefaultMaxMembers {
		t.Fatalf("a view of %d members is not decoded completely: %v", membership.DefaultMaxMembers, err)
	}
}
