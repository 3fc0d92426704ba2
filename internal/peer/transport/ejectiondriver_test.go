package transport

import (
	"reflect"
	"testing"
	"time"

	"vetchhaven/internal/peer/ejection"
	"vetchhaven/internal/peer/membership"
)

func withEjection(o *Options) {
	o.Ejection, o.EjectionsChanged = &ejection.Settings{}, func([]ejection.Ejection, time.Time) {}
}

// What a daemon tells of its instances later leaves its lists as they are.
func TestMembersAnnounceTheirSubscriptions(t *testing.T) {
	a := startMember(t, "a", "", "", nil, withEjection)
	b := startMember(t, "b", "", "", []string{a.addr}, withEjection)
	a.awaitState(t, "b", "alive")
	want := func(of string, lists ...string) {
		t.Helper()
		var got ejection.SubscriptionFilter
		for limit := time.Now().Add(testTimeout); time.Now().Before(limit); time.Sleep(5 * time.Millisecond) {
			b.do(func() {
				for _, p := range b.view.Members() {
					if p.Name == of {
						got = p.Metadata
					}
				}
			})
			if reflect.DeepEqual(got, ejection.NewSubscriptionFilter(lists)) {
				return
			}
		}
		t.Fatalf("%s tells %x, want %x", of, got, ejection.NewSubscriptionFilter(lists))
	}
	a.ListUpdated(ejection.ListUpdated{Source: "main", Servers: []ejection.Server{{ID: "main/s1", StartedMS: 1}}})
	want("a", "main")
	a.ListUpdated(ejection.ListUpdated{Source: "other"})
	want("a", "main", "other")
	a.SetLocalInfo(membership.LocalInfo{Instances: 3, Balancers: 3})
	for limit := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		instances := uint32(0)
		b.do(func() {
			for _, p := range b.view.Members() {
				if p.Name == "a" {
					instances = p.Instances
				}
			}
		})
		if instances == 3 {
			break
		}
		if time.Now().After(limit) {
			t.Fatal("b never hears of a's instances")
		}
	}
	want("a", "main", "other")
	var peers []ejection.Peer
	b.do(func() { peers = membersChanged(b.view.Members()).Peers })
	if len(peers) != 2 || !peers[0].Subscriptions.MayInclude("other") || peers[0].Subscriptions.MayInclude("none") || !peers[1].Subscriptions.MayInclude("none") {
		t.Errorf("%+v", peers)
	}
}

// firstFormatMessage is a message as the version before knew it.
type firstFormatMessage struct {
	Ask    uint64                 `cbor:"1,keyasint,omitempty"`
	Answer uint64                 `cbor:"2,keyasint,omitempty"`
	Poke   bool                   `cbor:"3,keyasint,omitempty"`
	Items  []firstFormatEvidence  `cbor:"4,keyasint,omitempty"`
	Drains []ejection.Drain       `cbor:"5,keyasint,omitempty"`
	More   int                    `cbor:"6,keyasint,omitempty"`
	About  []ejection.Incarnation `cbor:"7,keyasint,omitempty"`
}

type firstFormatEvidence struct {
	Server string  `cbor:"1,keyasint,omitempty"`
	Start  int64   `cbor:"2,keyasint,omitempty"`
	Origin string  `cbor:"3,keyasint,omitempty"`
	Life   uint64  `cbor:"4,keyasint,omitempty"`
	Number uint32  `cbor:"5,keyasint,omitempty"`
	Bad    float32 `cbor:"7,keyasint,omitempty"`
}

type firstFormatPacket struct {
	From     string              `cbor:"1,keyasint,omitempty"`
	Verdicts *firstFormatMessage `cbor:"4,keyasint,omitempty"`
}

// Both forms of messages stand in one envelope, and each reads of the other's what it knows.
func TestEjectionMessageFormatsReadOneAnother(t *testing.T) {
	w := Wire{Fleet: "f"}
	about := []ejection.Incarnation{{Server: "main/s1", StartedMS: 3}}
	data, err := w.Marshal("a", &ejection.Message{PollNumber: 5, Notify: true, OwnOnly: true, FormatVersion: 2, About: about, Evidence: []ejection.Evidence{{Server: "main/s1", Origin: "c", Failed: 2, BaselineFailureRate: 0.4}}})
	if err != nil {
		t.Fatal(err)
	}
	old := &firstFormatPacket{}
	if err := decodeEnvelope(sharedFormat, "f", data, old); err != nil {
		t.Fatal(err)
	}
	if want := (&firstFormatMessage{Ask: 5, Poke: true, About: about, Items: []firstFormatEvidence{{Server: "main/s1", Origin: "c", Bad: 2}}}); old.From != "a" || !reflect.DeepEqual(old.Verdicts, want) {
		t.Errorf("the version before reads %+v", old.Verdicts)
	}
	if data, err = encodeEnvelope(sharedFormat, "f", &firstFormatPacket{From: "b", Verdicts: &firstFormatMessage{Answer: 6, More: 1, Items: []firstFormatEvidence{{Server: "main/s2", Bad: 1}}}}); err != nil {
		t.Fatal(err)
	}
	back, err := w.Unmarshal(data)
	if want := (&ejection.Message{ResponseTo: 6, More: 1, Evidence: []ejection.Evidence{{Server: "main/s2", Failed: 1}}}); err != nil || !reflect.DeepEqual(back, want) {
		t.Errorf("of the version before %+v is read, %v", back, err)
	}
}
