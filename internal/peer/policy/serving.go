package policy

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Serving contains the documents and terms by which a member serves. The member admits requests while Blocked is empty
// and the time is before Until.
type Serving struct {
	Document    *Document  // active global document; Number 0: the member serves by the daemon's own file
	Parts       []Document // active documents of the other parts that the member holds, sorted by part
	ServedParts []string   // parts besides the global one that it may serve, by their document or by its own file
	// Preparing contains changes that may have been committed. If it is not empty, the member admits only what both the
	// active documents and these changes allow.
	Preparing  []*Document
	Until      time.Duration // time by this member's clock from which on it admits no request
	Standalone bool          // the member reached no voter, and its settings allow it to serve nevertheless
	Blocked    string        // why the member admits no request; empty: it admits requests
}

// equal reports whether s and o have the same effect.
func (s *Serving) equal(o *Serving) bool {
	sameDocument := func(a, b Document) bool { return a.Part == b.Part && a.Number == b.Number && a.ID == b.ID }
	return sameDocument(*s.Document, *o.Document) &&
		slices.EqualFunc(s.Parts, o.Parts, sameDocument) &&
		slices.Equal(changeIDs(s.Preparing), changeIDs(o.Preparing)) &&
		slices.Equal(s.ServedParts, o.ServedParts) &&
		s.Until == o.Until &&
		s.Standalone == o.Standalone &&
		s.Blocked == o.Blocked
}

// Fingerprint identifies the documents and changes that the member serves by. It is equal for two values that have the
// same documents and changes.
func (s *Serving) Fingerprint() string {
	var b strings.Builder
	if s.Document != nil {
		fmt.Fprintf(&b, "%d %s", s.Document.Number, s.Document.ID)
	}
	for i := range s.Parts {
		fmt.Fprintf(&b, ", %s %d %s", s.Parts[i].Part, s.Parts[i].Number, s.Parts[i].ID)
	}
	for _, change := range s.Preparing {
		fmt.Fprintf(&b, " and %s", change.ID)
	}
	return b.String()
}

// Lookup returns the active document of a part, whose Number is 0 if the part has none, and whether the part may be
// served.
func (s *Serving) Lookup(part string) (d *Document, served bool) {
	if part == "" {
		return s.Document, true
	}
	served = slices.Contains(s.ServedParts, part)
	if i := slices.IndexFunc(s.Parts, func(x Document) bool { return x.Part == part }); i >= 0 {
		return &s.Parts[i], served
	}
	return &Document{Part: part}, served
}

// PreparingChange returns the change that may have replaced a part's active document, or nil if no such change is
// being prepared.
func (s *Serving) PreparingChange(part string) *Document {
	if i := slices.IndexFunc(s.Preparing, func(d *Document) bool { return d.Includes(part) }); i >= 0 {
		return s.Preparing[i]
	}
	return nil
}
