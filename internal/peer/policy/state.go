package policy

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// state is what the voters' log has made so far. It is the same at each voter that has applied the same entries. While
// nothing but whole policies is agreed on it is written as form 1 has it: voters of an earlier build may read it.
type state struct {
	Voters  []string      `cbor:"1,keyasint,omitempty"`
	Force   Document      `cbor:"2,keyasint,omitempty"`  // the part ""
	Pending *Document     `cbor:"3,keyasint,omitempty"`  // in form 1 the change under way, else nil: see encodeState
	Without []string      `cbor:"4,keyasint,omitempty"`  // the same
	Roster  []place       `cbor:"5,keyasint,omitempty"`  // by name
	Version uint64        `cbor:"6,keyasint,omitempty"`  // of the roster: grows with each change of it
	Ended   []EndedChange `cbor:"7,keyasint,omitempty"`  // the last changes, oldest first
	Kept    []Document    `cbor:"8,keyasint,omitempty"`  // the last that were in force, with their texts, oldest first
	Parts   []Document    `cbor:"9,keyasint,omitempty"`  // the other parts that have a text in force, by name
	Under   []underWay    `cbor:"10,keyasint,omitempty"` // changes under way, oldest first
	Names   []string      `cbor:"11,keyasint,omitempty"` // of all parts that members hold or held: places have them by number
	Commits uint64        `cbor:"12,keyasint,omitempty"` // texts that came into force
	Form    uint8         `cbor:"13,keyasint,omitempty"` // of the log: nothing goes into it that voters of this form can't read; 0: the first

	numbers map[string]uint32 // of Names
	latest  []string          // parts, in the order in which they came into force; one may be there more than once
}

// underWay is a change that is.
type underWay struct {
	Doc     Document `cbor:"1,keyasint,omitempty"`
	Without []string `cbor:"2,keyasint,omitempty"`
	Since   uint64   `cbor:"3,keyasint,omitempty"` // version of the roster when somebody whom it concerns last came into it
}

// place is a member's in the roster: it may take requests by what is in force.
type place struct {
	Name  string   `cbor:"1,keyasint,omitempty"`
	Life  uint64   `cbor:"2,keyasint,omitempty"`
	Parts []uint32 `cbor:"3,keyasint,omitempty"` // that it holds besides "", by number, in order
	Form  uint8    `cbor:"4,keyasint,omitempty"` // 0: it came in by a command of form 1, and counts for every part
}

// EndedChange is what became of a change, for ever.
type EndedChange struct {
	Document  Document `cbor:"1,keyasint,omitempty" json:"Doc"` // without its text
	Committed bool     `cbor:"2,keyasint,omitempty" json:"InForce"`
	DroppedBy string   `cbor:"3,keyasint,omitempty" json:"By"` // dropped: by whom
	Reason    string   `cbor:"4,keyasint,omitempty" json:"Why"`
	Without   []string `cbor:"5,keyasint,omitempty" json:"Without"`
}

const (
	endedMost  = 256
	keptMost   = 16 // texts of the part for all
	keptOfPart = 1  // of each other, besides the one in force
	rosterMost = 20000
	namesKept  = 1 << 16
	underMost  = 512 // changes under way: ten times what the worst minute has
)

type deed uint8

const (
	doJoin    deed = iota + 1 // a member's life is in the roster from now on, or holds other parts
	doOut                     // a member's life is not any more: it certainly takes nothing
	doPropose                 // a change is under way
	doCommit                  // it is in force
	doDrop                    // it is not, and never will be
	doForm                    // the log has another form from now on: all voters know it
	doMany                    // from form 2 on: several, in order
)

// command is an entry of the log.
type command struct {
	Do      deed      `cbor:"1,keyasint,omitempty"`
	Name    string    `cbor:"2,keyasint,omitempty"`
	Life    uint64    `cbor:"3,keyasint,omitempty"`
	Doc     *Document `cbor:"4,keyasint,omitempty"`
	Base    uint64    `cbor:"5,keyasint,omitempty"`
	Without []string  `cbor:"6,keyasint,omitempty"`
	ID      string    `cbor:"7,keyasint,omitempty"`
	Version uint64    `cbor:"8,keyasint,omitempty"` // of a commit: the roster of which all have it
	By      string    `cbor:"9,keyasint,omitempty"`
	Why     string    `cbor:"10,keyasint,omitempty"`
	Bases   []uint64  `cbor:"11,keyasint,omitempty"`
	Parts   []string  `cbor:"12,keyasint,omitempty"` // of a join
	Form    uint8     `cbor:"13,keyasint,omitempty"` // of a join, 0: Parts are not known; of doForm: the new one
	All     []command `cbor:"14,keyasint,omitempty"` // of doMany
}

var (
	encoding = must(cbor.CoreDetEncOptions().EncMode())
	decoding = must(cbor.DecOptions{MaxArrayElements: 1 << 17, MaxMapPairs: 64, MaxNestedLevels: 16, UTF8: cbor.UTF8RejectInvalid}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic("policy: " + err.Error()) // fixed options, or a struct of our own
	}
	return v
}

func encode(v any) []byte { return must(encoding.Marshal(v)) }

// encodeState writes it, as form 1 has it where that can say it.
func encodeState(s *state) []byte {
	c := *s
	if len(s.Under) == 1 && s.Under[0].Doc.plain() {
		c.Pending, c.Without, c.Under = &s.Under[0].Doc, s.Under[0].Without, nil
	}
	return encode(&c)
}

func decodeState(data []byte) (*state, error) {
	s := &state{}
	if err := decoding.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("policy: state: %w", err)
	}
	if s.Pending != nil {
		s.Under = append(s.Under, underWay{Doc: *s.Pending, Without: s.Without, Since: s.Version})
		s.Pending, s.Without = nil, nil
	}
	if s.Commits == 0 { // form 1 counted them by the number
		s.Commits, s.Force.CommitIndex = s.Force.Number, s.Force.Number
	}
	return s, nil
}

// sumOf is a sum of parts' names, in order; 0: there are none.
func sumOf(parts []string) uint64 {
	if len(parts) == 0 {
		return 0
	}
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write(append([]byte(p), 0)) // a hash takes all
	}
	return max(1, h.Sum64())
}

// find is where a name stands in the roster, or belongs.
func (s *state) find(name string) (int, bool) {
	return slices.BinarySearchFunc(s.Roster, name, func(p place, n string) int { return strings.Compare(p.Name, n) })
}

// has reports whether a member's life is in the roster.
func (s *state) has(name string, life uint64) bool {
	i, ok := s.find(name)
	return ok && s.Roster[i].Life == life
}

// numberOf is the number that places have for a part; false: nobody ever held it.
func (s *state) numberOf(part string) (uint32, bool) {
	if s.numbers == nil || len(s.numbers) != len(s.Names) {
		s.numbers = make(map[string]uint32, len(s.Names))
		for i, n := range s.Names {
			s.numbers[n] = uint32(i)
		}
	}
	n, ok := s.numbers[part]
	return n, ok
}

// holds reports whether a member holds a part.
func (s *state) holds(p *place, part string) bool {
	if part == "" || p.Form == 0 {
		return true
	}
	n, ok := s.numberOf(part)
	if !ok {
		return false
	}
	_, ok = slices.BinarySearch(p.Parts, n)
	return ok
}

// concerns reports whether a change concerns a member.
func (s *state) concerns(d *Document, p *place) bool {
	return s.holds(p, d.Part) || slices.ContainsFunc(d.OtherParts, func(x Document) bool { return s.holds(p, x.Part) })
}

// concerned are the members whom a change concerns.
func (s *state) concerned(d *Document) []place {
	all := []place{}
	for i := range s.Roster {
		if s.concerns(d, &s.Roster[i]) {
			all = append(all, s.Roster[i])
		}
	}
	return all
}

// names are the parts of a place, in order.
func (s *state) names(p *place) []string {
	var all []string
	for _, n := range p.Parts {
		if int(n) < len(s.Names) {
			all = append(all, s.Names[n])
		}
	}
	slices.Sort(all)
	return all
}

// part is a part's text in force; Number 0: it has none.
func (s *state) part(name string) *Document {
	if name == "" {
		return &s.Force
	}
	if i, ok := s.findPart(name); ok {
		return &s.Parts[i]
	}
	return &Document{Part: name}
}

func (s *state) findPart(name string) (int, bool) {
	return slices.BinarySearchFunc(s.Parts, name, func(d Document, n string) int { return strings.Compare(d.Part, n) })
}

// under is a change under way; nil: it is not.
func (s *state) under(id string) *underWay {
	for i := range s.Under {
		if s.Under[i].Doc.ID == id {
			return &s.Under[i]
		}
	}
	return nil
}

// apply is what a command does. It depends on nothing but state and command.
func (s *state) apply(c *command) {
	switch c.Do {
	case doJoin:
		s.join(c)
	case doOut:
		if i, ok := s.find(c.Name); ok && s.Roster[i].Life == c.Life {
			s.Roster = slices.Delete(s.Roster, i, i+1)
			s.Version++
		}
	case doPropose:
		s.propose(c)
	case doCommit:
		// Who came into the roster since all had it may not have it: then it is looked at anew. Who came and has nothing to do
		// with it does not count, nor does who left; form 1 counts them, so for what it knows as well they do.
		if u := s.under(c.ID); u != nil && (c.Version == s.Version || !u.Doc.plain() && c.Version >= u.Since) {
			s.commit(u)
		}
	case doDrop:
		if u := s.under(c.ID); u != nil {
			s.end(u.Doc, false, c.By, c.Why, nil)
			s.over(c.ID)
		} else if c.ID != "" && s.fate(c.ID).State == Unknown { // should it still be on its way, it comes too late
			s.end(Document{ID: c.ID}, false, c.By, c.Why, nil)
		}
	case doForm:
		s.Form = max(s.Form, c.Form)
	case doMany:
		for i := range c.All {
			if c.All[i].Do != doMany {
				s.apply(&c.All[i])
			}
		}
	}
}

func (s *state) join(c *command) {
	i, ok := s.find(c.Name)
	p := place{Name: c.Name, Life: c.Life, Form: c.Form}
	for _, name := range c.Parts {
		n, known := s.numberOf(name)
		if !known {
			if len(s.Names) >= namesKept {
				return
			}
			n = uint32(len(s.Names))
			s.Names = append(s.Names, name)
			s.numbers[name] = n
		}
		p.Parts = append(p.Parts, n)
	}
	slices.Sort(p.Parts)
	switch {
	case c.Name == "", !ok && len(s.Roster) >= rosterMost:
		return
	case ok && s.Roster[i].Life == c.Life && (c.Form == 0 || s.Roster[i].Form == c.Form && slices.Equal(s.Roster[i].Parts, p.Parts)):
		return
	case ok:
		s.Roster[i] = p
	default:
		s.Roster = slices.Insert(s.Roster, i, p)
	}
	s.Version++
	for i := range s.Under {
		if s.concerns(&s.Under[i].Doc, &p) {
			s.Under[i].Since = s.Version
		}
	}
}

func (s *state) propose(c *command) {
	d := c.Doc
	if d == nil || s.fate(d.ID).State != Unknown { // asked for once more
		return
	}
	p := *d
	p.OtherParts = slices.Clone(d.OtherParts)
	texts := p.Documents()
	same, size := true, 0
	for i, x := range texts {
		of := s.part(x.Part)
		same = same && x.Digest == of.Digest && of.Number > 0
		size += len(x.Body) - len(of.Body)
		what := ""
		if x.Part != "" {
			what = " of part " + x.Part
		}
		for j := range s.Under {
			if u := &s.Under[j].Doc; u.Includes(x.Part) {
				s.end(*d, false, u.Author, fmt.Sprintf("another change%s is under way: %s (%s)", what, u.ID, u.Reason), nil)
				return
			}
		}
		base := c.Base
		if i > 0 {
			if base = 0; i <= len(c.Bases) {
				base = c.Bases[i-1]
			}
		}
		if base != of.Number && !(x.Digest == of.Digest && of.Number > 0) {
			s.end(*d, false, of.Author, fmt.Sprintf("it was made of policy %d%s; in force since is %d, %s", base, what, of.Number, of.ID), nil)
			return
		}
		number := of.Number + 1
		if i == 0 {
			p.Number = number
		} else {
			p.OtherParts[i-1].Number = number
		}
	}
	all := size
	for i := range s.Parts {
		all += len(s.Parts[i].Body)
	}
	for i := range s.Under {
		for _, x := range s.Under[i].Doc.Documents() {
			all += len(x.Body)
		}
	}
	switch {
	case same: // the same once more is no change
		p.Number--
		s.end(p, true, "", "it was in force already", nil)
	case !d.plain() && all > textsMost:
		s.end(*d, false, d.Author, fmt.Sprintf("all parts would have %d bytes: up to %d are allowed", all, textsMost), nil)
	case len(s.Under) >= underMost:
		s.end(*d, false, d.Author, fmt.Sprintf("%d changes are under way: no more are taken", len(s.Under)), nil)
	default:
		s.Under = append(s.Under, underWay{Doc: p, Without: c.Without, Since: s.Version})
	}
}

// commit brings a change under way into force.
func (s *state) commit(u *underWay) {
	doc, without := u.Doc, u.Without
	for _, x := range doc.Documents() {
		s.Commits++
		x.CommitIndex = s.Commits
		if len(s.latest) > 0 { // else it is made from all when it is needed
			s.latest = append(s.latest, x.Part)
		}
		if x.Part == "" {
			s.Force = x
			s.keep(x, keptMost)
		} else if i, ok := s.findPart(x.Part); ok {
			s.keep(s.Parts[i], keptOfPart)
			s.Parts[i] = x
		} else {
			s.Parts = slices.Insert(s.Parts, i, x)
		}
	}
	if len(s.latest) > 4*(len(s.Parts)+16) {
		s.latest = nil
	}
	s.end(doc, true, "", "", without)
	for _, name := range without {
		if i, ok := s.find(name); ok {
			s.Roster = slices.Delete(s.Roster, i, i+1)
			s.Version++
		}
	}
	s.over(doc.ID)
}

// keep keeps a text that came into force, and of its part the last so many.
func (s *state) keep(d Document, most int) {
	d.CommitIndex = 0
	s.Kept = append(s.Kept, d)
	n := 0
	for i := len(s.Kept) - 1; i >= 0; i-- {
		if s.Kept[i].Part == d.Part {
			if n++; n > most {
				s.Kept = slices.Delete(s.Kept, i, i+1)
			}
		}
	}
}

func (s *state) over(id string) {
	s.Under = slices.DeleteFunc(s.Under, func(u underWay) bool { return u.Doc.ID == id })
}

func (s *state) end(d Document, inForce bool, by, why string, without []string) {
	d.Body = nil
	d.OtherParts = slices.Clone(d.OtherParts)
	for i := range d.OtherParts {
		d.OtherParts[i].Body = nil
	}
	s.Ended = append(s.Ended, EndedChange{Document: d, Committed: inForce, DroppedBy: by, Reason: why, Without: without})
	if n := len(s.Ended) - endedMost; n > 0 {
		s.Ended = slices.Delete(s.Ended, 0, n)
	}
}

// fate is what became of a change, as far as the log says.
func (s *state) fate(id string) ChangeStatus {
	if s.under(id) != nil {
		return ChangeStatus{ID: id, State: Preparing}
	}
	for i := len(s.Ended) - 1; i >= 0; i-- {
		if e := &s.Ended[i]; e.Document.ID == id {
			f := ChangeStatus{ID: id, State: Dropped, DroppedBy: e.DroppedBy, Reason: e.Reason}
			if e.Committed {
				f.State, f.Number = Committed, e.Document.Number
				if !e.Document.plain() {
					for _, x := range e.Document.Documents() {
						f.Parts = append(f.Parts, DocumentRef{Part: x.Part, Number: x.Number})
					}
				}
			}
			return f
		}
	}
	return ChangeStatus{ID: id}
}

// doc is a change with the texts of its parts, as far as they are known and somebody holds them; nil: there are none.
func (s *state) doc(id string, holds func(part string) bool) *Document {
	if u := s.under(id); u != nil {
		return u.Doc.only(holds)
	}
	var texts []Document
	add := func(d *Document) {
		if d.ID == id && holds(d.Part) && !slices.ContainsFunc(texts, func(x Document) bool { return x.Part == d.Part }) {
			texts = append(texts, *d)
		}
	}
	add(&s.Force)
	for i := range s.Parts {
		add(&s.Parts[i])
	}
	for i := len(s.Kept) - 1; i >= 0; i-- {
		add(&s.Kept[i])
	}
	return changeOf(texts)
}

// wants is what a member that fetches a change is to get of it: what it names, else what the roster has for it, else all.
func (s *state) wants(name string, parts []string) func(part string) bool {
	if len(parts) > 0 {
		return func(part string) bool { return part == "" || slices.Contains(parts, part) }
	}
	if i, ok := s.find(name); ok {
		p := s.Roster[i]
		return func(part string) bool { return s.holds(&p, part) }
	}
	return func(string) bool { return true }
}

// since is what came into force after an Order, of the parts that a member holds.
func (s *state) since(order uint64, holds func(part string) bool) (all []DocumentRef) {
	if order >= s.Commits {
		return nil
	}
	if len(s.latest) == 0 {
		type one struct {
			part  string
			order uint64
		}
		in := []one{{"", s.Force.CommitIndex}}
		for i := range s.Parts {
			in = append(in, one{s.Parts[i].Part, s.Parts[i].CommitIndex})
		}
		slices.SortFunc(in, func(a, b one) int { return int(a.order) - int(b.order) })
		for _, x := range in {
			s.latest = append(s.latest, x.part)
		}
	}
	seen := map[string]bool{}
	for i := len(s.latest) - 1; i >= 0; i-- {
		d := s.part(s.latest[i])
		if seen[d.Part] {
			continue
		}
		if d.CommitIndex <= order {
			break // those before it are older still
		}
		if seen[d.Part] = true; holds(d.Part) {
			all = append(all, DocumentRef{d.Part, d.Number, d.ID})
		}
	}
	slices.Reverse(all)
	return all
}

// past is the last changes, and a part's text with its number.
func (s *state) past(part string, number uint64) *History {
	p := &History{IsResponse: true, Part: part, Number: number, Changes: s.Ended}
	if d := *s.part(part); d.Number > 0 && (d.Number == number || number == 0 && part != "") {
		p.Document = &d
	}
	for i := range s.Kept {
		if s.Kept[i].Number == number && s.Kept[i].Part == part {
			d := s.Kept[i]
			p.Document = &d
		}
	}
	return p
}
