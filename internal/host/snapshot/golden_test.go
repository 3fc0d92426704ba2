package snapshot

import (
	"reflect"
	"testing"

	"vetchhaven/internal/testkit/golden"
)

// The format of last.state, with every field set, must not change. Earlier builds wrote it without the states of merges.
func TestStateStaysAsEarlierBuildsWriteIt(t *testing.T) {
	golden.Codec[State]{Name: "last.state.merges", Encode: func(s State) ([]byte, error) { return Encode(&s) }}.Check(t)
	golden.Codec[State]{Name: "last.state", Encode: func(s State) ([]byte, error) {
		s.Merges = nil
		return Encode(&s)
	}}.Check(t)
	var filled State
	golden.Fill(&filled)
	merged, err := Decode(golden.Read(t, "last.state.merges"), Moment{BootID: filled.BootID}, 1<<62)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(merged.Merges, filled.Merges) {
		t.Errorf("merges are decoded as %+v, want %+v", merged.Merges, filled.Merges)
	}
	var want State
	golden.Fill(&want)
	got, err := Decode(golden.Read(t, "last.state"), Moment{BootID: want.BootID}, 1<<62)
	if err != nil {
		t.Fatal(err)
	}
	for addr, list := range want.Sources { // a saved list is used until the list itself is read
		list.Full, list.Version = true, 0
		if len(got.Sources[addr].Servers) != len(list.Servers) {
			t.Errorf("%+v", got.Sources[addr])
		}
	}
	again, err := Encode(got)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "last.state.again", again)
}
