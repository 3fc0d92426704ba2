package snapshot

import (
	"testing"

	"vetchhaven/internal/testkit/golden"
)

// The format of last.state, with every field set, must not change.
func TestStateStaysAsEarlierBuildsWriteIt(t *testing.T) {
	golden.Codec[State]{Name: "last.state", Encode: func(s State) ([]byte, error) { return Encode(&s) }}.Check(t)
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
