package policy

import (
	"encoding/json"
	"testing"

	"vetchhaven/internal/testkit/golden"
)

// stored is the encoding of a structure on a disk or in a message.
func stored[T any](name string) golden.Codec[T] {
	return golden.Codec[T]{Name: name,
		Encode: func(v T) ([]byte, error) { return encode(&v), nil },
		Decode: func(data []byte) (v T, err error) { return v, decoding.Unmarshal(data, &v) },
	}
}

// What voters and members keep, and what they say to one another, is read and written as earlier builds do.
func TestStoredStructuresStayAsEarlierBuildsWriteThem(t *testing.T) {
	stored[state]("state.cbor").Check(t)
	stored[command]("command.cbor").Check(t)
	stored[savedMember]("member.cbor").Check(t)
	stored[HandoffState]("handed.cbor").Check(t)
	stored[Message]("message.cbor").Check(t)
}

// A state in which one change of the whole policy is under way is written as form 1 has it; with parts it is not.
func TestBothFormsOfTheStateStayAsEarlierBuildsWriteThem(t *testing.T) {
	var full state
	golden.Fill(&full)
	full.Pending, full.Without = nil, nil
	full.Commits, full.Force.CommitIndex = 0, 0
	plain := full
	plain.Under = []underWay{full.Under[0]}
	plain.Under[0].Doc.Part, plain.Under[0].Doc.OtherParts = "", nil
	plain.Under[0].Since = plain.Version
	for name, s := range map[string]*state{"state-parts.cbor": &full, "state-form1.cbor": &plain} {
		golden.Check(t, name, encodeState(s))
		back, err := decodeState(golden.Read(t, name))
		if err != nil {
			t.Fatal(err)
		}
		if len(back.Under) != len(s.Under) || back.Under[0].Doc.ID != s.Under[0].Doc.ID || back.Commits != s.Force.Number || back.Pending != nil {
			t.Errorf("%s is read to %+v", name, back)
		}
		golden.Check(t, "again-"+name, encodeState(back))
	}
}

// What the admin endpoint shows of the policy.
func TestShownPolicyKeepsItsKeys(t *testing.T) {
	shown := func(name string, v any) {
		t.Helper()
		golden.Fill(v)
		data, err := json.MarshalIndent(v, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, name, data)
	}
	shown("shown.json", &Status{})
	shown("fate.json", &ChangeStatus{})
	shown("past.json", &History{})
}
