package policy

import (
	"testing"

	"vetchhaven/internal/testkit/golden"
)

// cborCodec returns the codec for a structure that is stored on the disk or sent in a message.
func cborCodec[T any](name string) golden.Codec[T] {
	return golden.Codec[T]{Name: name,
		Encode: func(v T) ([]byte, error) { return encode(&v), nil },
		Decode: func(data []byte) (v T, err error) { return v, decoding.Unmarshal(data, &v) },
	}
}

// The data that voters and members store, and the messages between them, keep the encoding of earlier builds, and data
// of earlier builds can be decoded.
func TestStoredEncodingsMatchEarlierBuilds(t *testing.T) {
	cborCodec[replicatedState]("state.cbor").Check(t)
	cborCodec[command]("command.cbor").Check(t)
	cborCodec[savedMember]("member.cbor").Check(t)
	cborCodec[HandoffState]("handed.cbor").Check(t)
	cborCodec[Message]("message.cbor").Check(t)
}

// A state in which one change of only the global part is being prepared is written in format 1. A state with parts is
// written in format 2.
func TestBothStateFormatsMatchEarlierBuilds(t *testing.T) {
	var full replicatedState
	golden.Fill(&full)
	full.LegacyPending, full.LegacyExcluded = nil, nil
	full.CommitCount, full.Active.CommitIndex = 0, 0
	plain := full
	plain.PendingChanges = []pendingChange{full.PendingChanges[0]}
	plain.PendingChanges[0].Document.Part, plain.PendingChanges[0].Document.AdditionalParts = "", nil
	plain.PendingChanges[0].MinRosterVersion = plain.RosterVersion
	for name, s := range map[string]*replicatedState{"state-parts.cbor": &full, "state-form1.cbor": &plain} {
		golden.Check(t, name, encodeState(s))
		back, err := decodeState(golden.Read(t, name))
		if err != nil {
			t.Fatal(err)
		}
		if len(back.PendingChanges) != len(s.PendingChanges) || back.PendingChanges[0].Document.ID != s.PendingChanges[0].Document.ID || back.CommitCount != s.Active.Number || back.LegacyPending != nil {
			t.Errorf("%s is decoded to %+v", name, back)
		}
		golden.Check(t, "again-"+name, encodeState(back))
	}
}

// The bodies of the admin endpoint keep the keys of earlier builds.
func TestAdminBodiesKeepTheirKeys(t *testing.T) {
	golden.CheckBody(t, "shown.json", &Status{}, nil)
	golden.CheckBody(t, "fate.json", &ChangeStatus{}, nil)
	golden.CheckBody(t, "past.json", &History{}, nil)
}
