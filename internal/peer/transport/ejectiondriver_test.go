package transport

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"vetchhaven/internal/peer/ejection"
	"vetchhaven/internal/peer/membership"
)

func withEjection(o *Options) {
	o.Ejection = &ejection.Settings{}
	o.EjectionsChanged = func([]ejection.Ejection, time.Time) {}
}

// A member announces its subscriptions, also after the daemon has announced a change of its instances.
func TestMembersAnnounceTheirSubscriptions(t *testing.T) {
	a := startMember(t, memberOptions{name: "a", change: withEjection})
	b := startMember(t, memberOptions{name: "b", seeds: []string{a.addr}, change: withEjection})
	a.awaitState(t, "b", "alive")
	awaitSubscriptions := func(lists ...string) {
		t.Helper()
		want := ejection.NewSubscriptionFilter(lists)
		await(t, "b knows the subscriptions of a", func() bool {
			record, ok := b.record("a")
			return ok && bytes.Equal(record.Metadata, want)
		})
	}
	a.ListUpdated(ejection.ListUpdated{Source: "main", Servers: []ejection.Server{{ID: "main/s1", StartedMS: 1}}})
	awaitSubscriptions("main")
	a.ListUpdated(ejection.ListUpdated{Source: "other"})
	awaitSubscriptions("main", "other")
	a.SetLocalInfo(membership.LocalInfo{Instances: 3, Balancers: 3})
	await(t, "b knows the instances of a", func() bool {
		record, _ := b.record("a")
		return record.Instances == 3
	})
	awaitSubscriptions("main", "other")

	var peers []ejection.Peer
	b.do(func() { peers = membersChanged(b.view.Members()).Peers })
	if len(peers) != 2 {
		t.Fatalf("peers %+v", peers)
	}
	ofA, ofB := peers[0].Subscriptions, peers[1].Subscriptions
	if !ofA.MayInclude("other") || ofA.MayInclude("none") || !ofB.MayInclude("none") {
		t.Errorf("peers %+v", peers)
	}
}

// The following types are the messages as defined by a version that supports only format 1.
type (
	firstFormatMessage struct {
		PollNumber uint64                   `cbor:"1,keyasint,omitempty"`
		ResponseTo uint64                   `cbor:"2,keyasint,omitempty"`
		Notify     bool                     `cbor:"3,keyasint,omitempty"`
		Evidence   []firstFormatEvidence    `cbor:"4,keyasint,omitempty"`
		Drains     []ejection.Drain         `cbor:"5,keyasint,omitempty"`
		More       int                      `cbor:"6,keyasint,omitempty"`
		About      []ejection.ServerProcess `cbor:"7,keyasint,omitempty"`
	}
	firstFormatEvidence struct {
		Server    string  `cbor:"1,keyasint,omitempty"`
		StartedMS int64   `cbor:"2,keyasint,omitempty"`
		Origin    string  `cbor:"3,keyasint,omitempty"`
		RunID     uint64  `cbor:"4,keyasint,omitempty"`
		Number    uint32  `cbor:"5,keyasint,omitempty"`
		Failed    float32 `cbor:"7,keyasint,omitempty"`
	}
	firstFormatPacket struct {
		From     string              `cbor:"1,keyasint,omitempty"`
		Ejection *firstFormatMessage `cbor:"4,keyasint,omitempty"`
	}
)

// Both formats of ejection messages share one envelope, and each version reads the fields that it defines from
// messages of the other.
func TestEjectionMessageFormatsReadOneAnother(t *testing.T) {
	const fleet = "f"
	wire := Wire{Fleet: fleet}
	about := []ejection.ServerProcess{{Server: "main/s1", StartedMS: 3}}
	t.Run("format 1 reads the current one", func(t *testing.T) {
		current := &ejection.Message{
			PollNumber:    5,
			Notify:        true,
			OwnOnly:       true,
			FormatVersion: 2,
			About:         about,
			Evidence:      []ejection.Evidence{{Server: "main/s1", Origin: "c", Failed: 2, BaselineFailureRate: 0.4}},
		}
		data, err := wire.Marshal("a", current)
		if err != nil {
			t.Fatal(err)
		}
		got := &firstFormatPacket{}
		if err := decodeEnvelope(sharedFormat, fleet, data, got); err != nil {
			t.Fatal(err)
		}
		want := &firstFormatMessage{
			PollNumber: 5,
			Notify:     true,
			About:      about,
			Evidence:   []firstFormatEvidence{{Server: "main/s1", Origin: "c", Failed: 2}},
		}
		if got.From != "a" || !reflect.DeepEqual(got.Ejection, want) {
			t.Errorf("from %s: %+v, want %+v", got.From, got.Ejection, want)
		}
	})
	t.Run("the current one reads format 1", func(t *testing.T) {
		first := &firstFormatMessage{ResponseTo: 6, More: 1, Evidence: []firstFormatEvidence{{Server: "main/s2", Failed: 1}}}
		data, err := encodeEnvelope(sharedFormat, fleet, &firstFormatPacket{From: "b", Ejection: first})
		if err != nil {
			t.Fatal(err)
		}
		got, err := wire.Unmarshal(data)
		want := &ejection.Message{ResponseTo: 6, More: 1, Evidence: []ejection.Evidence{{Server: "main/s2", Failed: 1}}}
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%+v, %v, want %+v", got, err, want)
		}
	})
}
