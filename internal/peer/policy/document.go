package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// Document is the text of one part, with a description of the change that made it. A Document that represents a change
// of several parts also contains the texts of the change's other parts.
type Document struct {
	// Number counts the part's committed texts, from 1. 0 means that none was committed: each daemon uses its own
	// file.
	Number uint64 `cbor:"1,keyasint,omitempty" json:"Number"`
	ID     string `cbor:"2,keyasint,omitempty" json:"ID"`     // ID of the change
	Digest string `cbor:"3,keyasint,omitempty" json:"Digest"` // digest of Body: see DigestOf
	Body   []byte `cbor:"4,keyasint,omitempty" json:"Body"`   // text of the policy file
	Author string `cbor:"5,keyasint,omitempty" json:"Author"` // the member that proposed the change, and the operator
	Reason string `cbor:"6,keyasint,omitempty" json:"Reason"`
	// CreatedMS is the time of the proposal in Unix milliseconds by the author's clock. It is only shown to
	// operators: no decision depends on it.
	CreatedMS int64  `cbor:"7,keyasint,omitempty" json:"At"`
	Part      string `cbor:"8,keyasint,omitempty" json:"Part"` // name of a service; empty: the global part
	// CommitIndex is the position of this text among the committed texts of all parts.
	CommitIndex uint64 `cbor:"9,keyasint,omitempty" json:"Order"`
	// AdditionalParts are the change's other parts. They are committed together with this part, or not at all.
	AdditionalParts []Document `cbor:"10,keyasint,omitempty" json:"More"`
}

// Documents returns one Document for each part of a change. Each has the change's ID, author, reason and time, and no
// AdditionalParts.
func (d *Document) Documents() []Document {
	first := *d
	first.AdditionalParts = nil
	documents := []Document{first}
	for _, part := range d.AdditionalParts {
		part.ID = d.ID
		part.Author = d.Author
		part.Reason = d.Reason
		part.CreatedMS = d.CreatedMS
		part.AdditionalParts = nil
		documents = append(documents, part)
	}
	return documents
}

// Includes reports whether the change has a text for a part.
func (d *Document) Includes(part string) bool {
	return d.Part == part || slices.ContainsFunc(d.AdditionalParts, func(x Document) bool { return x.Part == part })
}

// isGlobalOnly reports whether the global part is the only part of the change, so that format 1 can express the
// change.
func (d *Document) isGlobalOnly() bool { return d.Part == "" && len(d.AdditionalParts) == 0 }

// filterParts returns the change reduced to the parts that a member holds, or nil if it holds none of them.
func (d *Document) filterParts(holds func(part string) bool) *Document {
	documents := slices.DeleteFunc(d.Documents(), func(x Document) bool { return !holds(x.Part) })
	return joinDocuments(documents)
}

// joinDocuments makes one change of several documents, as the inverse of Document.Documents. It returns nil if there
// are no documents.
func joinDocuments(documents []Document) *Document {
	if len(documents) == 0 {
		return nil
	}
	change := documents[0]
	for _, part := range documents[1:] {
		change.AdditionalParts = append(change.AdditionalParts, Document{
			Part:        part.Part,
			Number:      part.Number,
			Digest:      part.Digest,
			Body:        part.Body,
			CommitIndex: part.CommitIndex,
		})
	}
	return &change
}

// bodyBytes returns the sum of the sizes of all texts of a change.
func (d *Document) bodyBytes() int {
	size := 0
	for _, part := range d.Documents() {
		size += len(part.Body)
	}
	return size
}

// changeIDs returns the IDs of changes, in the order of the argument.
func changeIDs(changes []*Document) []string {
	var ids []string
	for _, change := range changes {
		ids = append(ids, change.ID)
	}
	return ids
}

// DocumentRef identifies the active document of a part without its text.
type DocumentRef struct {
	Part   string `cbor:"1,keyasint,omitempty" json:"part"`
	Number uint64 `cbor:"2,keyasint,omitempty" json:"number"`
	ID     string `cbor:"3,keyasint,omitempty" json:"id,omitempty"`
}

// DigestOf returns the first 16 bytes of a text's SHA-256, in hexadecimal.
func DigestOf(body []byte) string {
	const digestBytes = 16
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:digestBytes])
}
