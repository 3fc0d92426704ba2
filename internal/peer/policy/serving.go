package policy

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Serving is what a member serves by. It admits requests while Blocked is empty and the time is before Until.
type Serving struct {
	Document    *Document     // the active global document; Number 0: the daemon's own file
	Parts       []Document    // the active documents of the other parts that it holds, by name
	ServedParts []string      // besides the global one: it may serve these, by their document or by its own file
	Preparing   []*Document   // not empty: only what both the active documents and these changes allow
	Until       time.Duration // by this member's clock; no request is admitted from then on
	Standalone  bool          // it reached no voter, and its settings let it serve nevertheless
	Blocked     string        // why no request is admitted; empty: requests are
}

// equal reports whether two values have the same effect.
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

// Fingerprint names the documents and changes that it serves by: it is equal for two values that have the same ones.
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

// Lookup returns the active document of a part, with Number 0 if it has none, and whether the part may be served.
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

// PreparingChange returns the change that may have been committed in place of a part's active document; nil: there is
// none.
func (s *Serving) PreparingChange(part string) *Document {
	if i := slices.IndexFunc(s.Preparing, func(d *Document) bool { return d.Includes(part) }); i >= 0 {
		return s.Preparing[i]
	}
	return nil
}
