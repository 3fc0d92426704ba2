package handoff

import (
	"encoding/json"
	"testing"

	"vetchhaven/internal/testkit/golden"
)

// The format of the file that the processes of an agent share must not change.
func TestStateFileStaysAsEarlierBuildsWriteIt(t *testing.T) {
	var s OperatorState
	golden.Fill(&s)
	golden.Codec[OperatorState]{Name: "said.json",
		Encode: func(s OperatorState) ([]byte, error) { return json.Marshal(s) },
		Decode: parse,
	}.Check(t)
}
