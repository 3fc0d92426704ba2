package policy

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

func TestInvalidProposalsAreRejected(t *testing.T) {
	longName := strings.Repeat("p", MaxPartNameBytes+1)
	largeBody := bytes.Repeat([]byte("#"), MaxBodyBytes+1)
	manyParts := partsChange("many", strings.Split(strings.Repeat("p,", maxPartsPerChange+1), ",")...)
	wrongDigest := partsChange("x", "p", "q")
	wrongDigest.AdditionalParts[0].Body = []byte("other")
	for name, proposal := range map[string]Proposal{
		"a long name":           {Document: *partsChange("x", longName)},
		"a part twice":          {Document: *partsChange("x", "p", "p"), Bases: []uint64{0}},
		"fewer bases":           {Document: *partsChange("x", "p", "q")},
		"too many parts":        {Document: *manyParts, Bases: make([]uint64, len(manyParts.AdditionalParts))},
		"a part too large":      {Document: Document{ID: "x", Part: "p", Body: largeBody, Digest: DigestOf(largeBody)}},
		"a digest that differs": {Document: *wrongDigest, Bases: []uint64{0}},
	} {
		t.Run(name, func(t *testing.T) {
			if proposal.Check() == nil {
				t.Error("accepted")
			}
		})
	}
	valid := Proposal{Document: *partsChange("x", "p", "q"), Bases: []uint64{0}}
	if err := valid.Check(); err != nil {
		t.Error(err)
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for name, settings := range map[string]Settings{
		"empty":         {},
		"no voters":     {Name: "a", RunID: 1},
		"two voters":    {Name: "a", RunID: 1, Voters: []string{"a", "b"}},
		"a voter twice": {Name: "a", RunID: 1, Voters: []string{"a", "a", "b"}},
		"a short lease": {Name: "a", RunID: 1, Voters: []string{"a"}, Lease: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := New(settings, StoredState{}, 1); err == nil {
				t.Error("accepted")
			}
		})
	}
	valid := Settings{Name: "a", RunID: 1, Voters: []string{"a"}}
	if _, err := New(valid, StoredState{Member: []byte("?")}, 1); err == nil {
		t.Error("a stored state that can't be decoded is accepted")
	}
}
