package handoff

import (
	"encoding/json"
	"testing"

	"vetchhaven/internal/testkit/golden"
)

// The file that the processes of an agent share.
func TestSaidFileStaysAsEarlierBuildsWriteIt(t *testing.T) {
	var s Said
	golden.Fill(&s)
	golden.Codec[Said]{Name: "said.json",
		Encode: func(s Said) ([]byte, error) { return json.Marshal(s) },
		Decode: parse,
	}.Check(t)
}
