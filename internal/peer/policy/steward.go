package policy

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"go.etcd.io/raft/v3"
)

// steward is what the voter that leads does besides: it answers members, and decides when a change comes into force, or is
// dropped. What it knows of members is heard anew by each leader; what it decides goes through the log.
//
// It answers a question only once a quorum has confirmed that it led after the question had come (Raft's read index, by
// which everything decided before is applied as well). So no answer of a leader that has lost its place comes later than
// the vote for the next, and the next one waits one lease before it holds any member's for over.
type steward struct {
	term  uint64 // in which it leads; 0: it does not
	began time.Duration
	at    time.Duration // it looks again then

	asked   []question // not yet confirmed, nor asked to be
	asking  []question
	ctx     uint64
	askedAt time.Duration
	sure    []assured // confirmed; what was decided by then is to be applied yet

	members map[string]*known     // by name
	under   map[string]*following // changes under way, by ID
	fresh   []recent              // came into force lately: some may not know it
	looks   int                   // through those that a change under way concerns
	joins   map[string]joining
	pokeAt  time.Duration
	poked   int
	lookAt  time.Duration
	raised  time.Duration // it proposed the form of this build
}

// following is what a leader knows of a change under way.
type following struct {
	since    time.Duration
	concerns []place // of the roster of a version
	version  uint64
	lacking  int           // of these that had it not on their disks at the last look, less those that have said so since
	proposed string        // what it proposed of it: "commit" or "drop"
	said     time.Duration // and when
}

// recent is a change that came into force, and whom it concerned.
type recent struct {
	order    uint64
	at       time.Duration
	concerns []place
}

// question is a member's, and by whom it came.
type question struct {
	ask  *LeaseRequest
	from string
}

// assured are questions that may be answered once the log is applied up to an index.
type assured struct {
	index uint64
	all   []question
}

// known is what a leader knows of a member.
type known struct {
	life     uint64
	form     uint8
	heard    time.Duration // it asked last
	granted  time.Duration // it was told that it may go on; 0: not by this leader
	upto     uint64        // it knows what came into force up to this Order
	have     []string
	nay, why string
	out      bool // it is being taken out of the roster: it is told nothing meanwhile
	deaf     int  // questions on end by which its lease is over, though it was answered
}

func (m *known) has(id string) bool { return slices.Contains(m.have, id) }

type joining struct {
	life, holds uint64
	at          time.Duration
}

const (
	lookEvery = 100 * time.Millisecond
	pokeEvery = 150 * time.Millisecond
	pokesMost = 64 // at a time
	sayAgain  = time.Second
	confirmIn = 2 * time.Second
	slackOut  = 20 * time.Millisecond // a lease is over so long after its end
	aliveFor  = 2 * time.Second       // who asked so lately is there
	deafAfter = 3
)

// due does what is due.
func (l *steward) due(v *voter) {
	n := v.n
	s := v.status()
	if s.RaftState != raft.StateLeader {
		if l.term > 0 {
			*l = steward{}
		}
		l.at = Never
		return
	}
	if l.term != s.HardState.GetTerm() {
		*l = steward{term: s.HardState.GetTerm(), began: n.now, members: map[string]*known{}, joins: map[string]joining{}, under: map[string]*following{}}
		n.say(false, "this voter leads in term %d", l.term)
	}
	l.at = n.now + lookEvery
	l.confirm(v)
	if n.now >= l.lookAt {
		l.lookAt = n.now + lookEvery
		l.roster(v)
		l.changes(v)
		l.poke(v)
	}
}

// ask takes a member's question.
func (l *steward) ask(v *voter, q question) {
	if len(l.asked) < 4096 {
		l.asked = append(l.asked, q)
	}
	l.confirm(v)
}

// confirm has Raft confirm that this one leads still, for all questions that have come.
func (l *steward) confirm(v *voter) {
	if len(l.asking) > 0 && v.n.now-l.askedAt > confirmIn {
		l.asking = nil
	}
	if len(l.asked) == 0 || len(l.asking) > 0 || l.term == 0 {
		return
	}
	l.asking, l.asked = l.asked, nil
	l.ctx++
	l.askedAt = v.n.now
	v.rn.ReadIndex(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, l.term), l.ctx))
}

// confirmed takes Raft's word: all that was decided when it was asked for lies up to an index.
func (l *steward) confirmed(v *voter, r raft.ReadState) {
	if len(r.RequestCtx) != 16 || binary.BigEndian.Uint64(r.RequestCtx) != l.term || binary.BigEndian.Uint64(r.RequestCtx[8:]) != l.ctx || !v.leads() || l.members == nil {
		return
	}
	l.sure = append(l.sure, assured{r.Index, l.asking})
	l.asking = nil
	l.settle(v)
	l.confirm(v)
}

// settle answers what is confirmed, and for which enough is applied.
func (l *steward) settle(v *voter) {
	for len(l.sure) > 0 && l.sure[0].index <= v.applied && l.members != nil {
		all := l.sure[0].all
		l.sure = l.sure[1:]
		for _, q := range all {
			l.answer(v, q)
		}
	}
}

// answer answers one member.
func (l *steward) answer(v *voter, q question) {
	n, a, s := v.n, q.ask, v.state
	m := l.members[a.Name]
	if m == nil || m.life != a.RunID {
		if m != nil && n.now-m.heard < aliveFor && s.has(a.Name, m.life) && !n.viewHas(a.Name, a.RunID) {
			l.reply(v, q, &LeaseResponse{Seq: a.Seq, Refused: "another process has this name, and is there"})
			return
		}
		m = &known{life: a.RunID}
		l.members[a.Name] = m
	}
	m.heard, m.form, m.upto, m.nay, m.why = n.now, a.Format, a.KnownUpTo, a.RejectedID, a.RejectReason
	had := m.have
	if m.have = a.PreparedIDs; a.Format == 0 {
		if m.have = nil; a.Prepared != "" {
			m.have = []string{a.Prepared}
		}
		if m.upto = 0; a.ActiveNumber == s.Force.Number {
			m.upto = s.Commits
		}
	}
	switch {
	case !a.LeaseExpired:
		m.deaf = 0
	case m.granted > 0 && n.now-m.granted < n.s.Lease:
		m.deaf++
	}
	at, in := s.find(a.Name)
	in = in && s.Roster[at].Life == a.RunID
	var p *place
	if in {
		p = &s.Roster[at]
	}
	var under []*underWay // that concern it
	lacks := false
	for i := range s.Under {
		if u := &s.Under[i]; in && s.concerns(&u.Doc, p) || !in && l.offered(a, &u.Doc) {
			under = append(under, u)
			lacks = lacks || in && !m.has(u.Doc.ID)
		}
	}
	if n.s.StopWhenIsolated && m.deaf >= deafAfter && lacks {
		return // it hears no answer: the change goes on without it once what it was told is over
	}
	x := &LeaseResponse{Seq: a.Seq, Voters: s.Voters, Format: FormatVersion, CommittedUpTo: s.Commits, Complete: a.KnownUpTo == 0}
	join := false
	switch {
	case a.StopWhenIsolated != n.s.StopWhenIsolated || time.Duration(a.LeaseMS)*time.Millisecond != n.s.Lease:
		x.Refused = fmt.Sprintf("its file's cut_off or lease are not those of %s, which leads (lease %v)", n.s.Name, n.s.Lease)
	case in:
		x.InRoster, x.CountsForAllParts = !m.out, p.Form == 0
		x.WantsParts = x.CountsForAllParts && s.Form >= FormatVersion
		// What it holds has changed, or was not known to a leader of an earlier form.
		join = a.Format > 0 && a.PartsHash == sumOf(a.Parts) && s.Form >= FormatVersion && (x.CountsForAllParts || sumOf(s.names(p)) != a.PartsHash)
	case a.Join:
		join = true
	}
	// While something about its place is on its way into the log, what the roster has for it may be over at any moment: nothing is
	// said of it, and what was lost is asked for again.
	j, pending := l.joins[a.Name]
	if pending = pending && j.life == a.RunID && in && a.Format > 0; pending {
		x.CountsForAllParts = false
		join = join || a.PartsHash == sumOf(a.Parts) && s.Form >= FormatVersion && n.now-j.at > sayAgain
	}
	if join && (j.life != a.RunID || j.holds != a.PartsHash || n.now-j.at > sayAgain) {
		l.joins[a.Name] = joining{a.RunID, a.PartsHash, n.now}
		c := &command{Do: doJoin, Name: a.Name, Life: a.RunID}
		if parts, err := partsOf(a.Parts); a.Format > 0 && s.Form >= FormatVersion && err == nil {
			c.Form, c.Parts = FormatVersion, parts
		}
		v.propose(c)
	}
	if x.InRoster {
		m.granted = n.now
	}
	if a.Format > 0 {
		holds := func(part string) bool { return part == "" || slices.Contains(a.Parts, part) }
		switch x.PartsHash = sumOf(a.Parts); {
		case x.CountsForAllParts:
			holds, x.PartsHash = func(string) bool { return true }, a.PartsHash
		case in:
			holds, x.PartsHash = func(part string) bool { return s.holds(p, part) }, sumOf(s.names(p))
		}
		if x.Changed = s.since(a.KnownUpTo, holds); pending {
			x.PartsHash = ^a.PartsHash
		}
	}
	for _, u := range under {
		x.PendingIDs = append(x.PendingIDs, u.Doc.ID)
	}
	if a.Format == 0 { // it knows one part
		x = &LeaseResponse{Seq: x.Seq, Voters: x.Voters, InRoster: x.InRoster, Refused: x.Refused, ActiveNumber: s.Force.Number, ActiveID: s.Force.ID}
		if i := slices.IndexFunc(under, func(u *underWay) bool { return u.Doc.plain() }); i >= 0 {
			x.Pending = under[i].Doc.ID
		}
	}
	for _, id := range a.StatusOf[:min(aboutMost, len(a.StatusOf))] {
		x.Statuses = append(x.Statuses, l.fate(v, id))
	}
	l.reply(v, q, x)
	if !in {
		return
	}
	// Only who may be the last one to have a change is worth a look at all whom it concerns now; each 100 ms there is one anyway.
	for _, u := range under {
		f, id := l.under[u.Doc.ID], u.Doc.ID
		told := m.has(id) && !slices.Contains(had, id)
		if told && f != nil {
			f.lacking--
		}
		if m.nays(id) || told && (f == nil || f.lacking <= 0) {
			l.look(v, u)
		}
	}
}

// offered reports whether a change is one of the parts that a member would hold once it is in the roster.
func (l *steward) offered(a *LeaseRequest, d *Document) bool {
	return d.Includes("") || slices.ContainsFunc(a.Parts, d.Includes)
}

// knows reports whether a member is known to read the log as it is.
func (l *steward) knows(v *voter, name string) bool {
	if i, ok := v.state.find(name); ok && v.state.Roster[i].Form >= v.state.Form {
		return true
	}
	m := l.members[name]
	return v.state.Form == 0 || m != nil && m.form >= v.state.Form
}

// raise has the log take on this build's form, for good, at the first change of a service's part: until then an earlier
// build can be gone back to. It reports whether all voters are known to read it.
func (l *steward) raise(v *voter) bool {
	if !l.votersOf(v, FormatVersion) {
		return false
	}
	if v.n.now-l.raised > sayAgain {
		l.raised = v.n.now
		v.propose(&command{Do: doForm, Form: FormatVersion})
	}
	return true
}

// votersOf reports whether all voters are known to be of a form, or a later one.
func (l *steward) votersOf(v *voter, form uint8) bool {
	for _, name := range v.state.Voters {
		if m := l.members[name]; m == nil || m.form < form {
			return false
		}
	}
	return true
}

func (l *steward) reply(v *voter, q question, x *LeaseResponse) {
	x.Leader = v.n.s.Name
	m := &Message{LeaseResponse: x}
	if q.from != q.ask.Name {
		m.To = q.ask.Name
	}
	v.n.send(q.from, m)
}

// fate is what became of a change, or how far it is.
func (l *steward) fate(v *voter, id string) ChangeStatus {
	f := v.state.fate(id)
	if u := v.state.under(id); u != nil {
		missing := l.missing(v, u)
		for _, p := range l.follow(v, u).concerns {
			if !slices.Contains(u.Without, p.Name) {
				f.RequiredMembers++
			}
		}
		f.PreparedMembers = f.RequiredMembers - len(missing)
		f.Missing = missing[:min(namesMost, len(missing))]
	}
	return f
}

// follow is what is known of a change under way, with whom it concerns now.
func (l *steward) follow(v *voter, u *underWay) *following {
	f := l.under[u.Doc.ID]
	if f == nil {
		f = &following{since: v.n.now}
		l.under[u.Doc.ID] = f
		l.pokeAt = v.n.now
	}
	if f.concerns == nil || f.version != v.state.Version {
		f.concerns, f.version = v.state.concerned(&u.Doc), v.state.Version
	}
	return f
}

// missing are the members that have to have a change under way on their disks, and have not said so.
func (l *steward) missing(v *voter, u *underWay) []string {
	var all []string
	for _, p := range l.follow(v, u).concerns {
		if l.lacks(&p, u) {
			all = append(all, p.Name)
		}
	}
	return all
}

func (l *steward) lacks(p *place, u *underWay) bool {
	m := l.members[p.Name]
	return (m == nil || m.life != p.Life || !m.has(u.Doc.ID)) && !slices.Contains(u.Without, p.Name)
}

// applied takes note of what the log has done.
func (l *steward) applied(v *voter, c *command) {
	switch c.Do {
	case doMany:
		for i := range c.All {
			l.applied(v, &c.All[i])
		}
	case doJoin, doOut:
		delete(l.joins, c.Name)
		if m := l.members[c.Name]; m != nil && m.life == c.Life {
			m.out = false
		}
	case doCommit:
		f := l.under[c.ID]
		if v.state.under(c.ID) != nil {
			if f != nil && f.proposed == "commit" { // somebody came in between
				f.proposed = ""
			}
			break
		}
		for i := len(v.state.Ended) - 1; i >= 0 && f != nil; i-- {
			if e := &v.state.Ended[i]; e.Document.ID == c.ID {
				if e.Committed {
					v.n.say(false, "%s is in force", said(&e.Document))
					l.fresh = append(l.fresh, recent{v.state.Commits, v.n.now, f.concerns})
				}
				break
			}
		}
		delete(l.under, c.ID)
	case doDrop:
		delete(l.under, c.ID)
		v.n.say(false, "change %s was dropped by %s: %s", c.ID, c.By, c.Why)
	}
	l.lookAt, l.pokeAt = v.n.now, v.n.now
	l.at = v.n.now
}

// said names a change for people.
func said(d *Document) string {
	var parts []string
	for _, x := range d.Documents() {
		if x.Part == "" {
			parts = append(parts, fmt.Sprintf("policy %d", x.Number))
		} else {
			parts = append(parts, fmt.Sprintf("policy %d of %s", x.Number, x.Part))
		}
	}
	return fmt.Sprintf("%s (%s, by %s: %s)", strings.Join(parts, " and "), d.ID, d.Author, d.Reason)
}

// roster takes out who has left in order.
func (l *steward) roster(v *voter) {
	for _, name := range sorted(v.n.who) {
		if w := v.n.who[name]; w.Left && v.state.has(name, w.RunID) {
			l.takeOut(v, name, w.RunID, "it left")
		}
	}
	for _, name := range sorted(l.members) { // what was proposed of them may have been lost
		if m := l.members[name]; m.out && v.state.has(name, m.life) {
			l.takeOut(v, name, m.life, "as was proposed before")
		}
	}
}

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func (l *steward) takeOut(v *voter, name string, life uint64, why string) {
	m := l.members[name]
	if m == nil {
		m = &known{life: life}
		l.members[name] = m
	}
	if j, ok := l.joins[name]; ok && j.life == life && v.n.now-j.at < sayAgain { // proposed already
		return
	}
	m.out = m.life == life
	l.joins[name] = joining{life, 0, v.n.now}
	v.propose(&command{Do: doOut, Name: name, Life: life, Why: why})
}

// lapsed reports whether a member certainly takes nothing any more: what this leader, or one before it, told it is over.
func (l *steward) lapsed(v *voter, name string, life uint64) bool {
	from := l.began
	if m := l.members[name]; m != nil && m.life == life {
		from = max(from, m.granted)
	}
	return v.n.now > from+v.n.s.LeaseExpiry()+slackOut
}

// changes looks at all changes under way.
func (l *steward) changes(v *voter) {
	ids := map[string]bool{}
	for i := range v.state.Under { // a look decides nothing itself: what it proposes comes through the log
		ids[v.state.Under[i].Doc.ID] = true
		l.look(v, &v.state.Under[i])
	}
	for id := range l.under {
		if !ids[id] {
			delete(l.under, id)
		}
	}
}

// look looks at a change under way.
func (l *steward) look(v *voter, u *underWay) {
	n, id := v.n, u.Doc.ID
	f := l.follow(v, u)
	if f.proposed != "" && n.now-f.said < sayAgain {
		return
	}
	propose := func(what string, c *command) {
		if v.propose(c) {
			f.proposed, f.said = what, n.now
		}
	}
	missing := l.missing(v, u)
	f.lacking, l.looks = len(missing), l.looks+1
	for _, name := range missing {
		switch m := l.members[name]; {
		case m.nays(id):
			propose("drop", &command{Do: doDrop, ID: id, By: name, Why: m.why})
			return
		case m != nil && m.form < FormatVersion && !u.Doc.plain() && n.now-m.heard < aliveFor:
			propose("drop", &command{Do: doDrop, ID: id, By: name, Why: "it is of an earlier version, and knows no parts of services"})
			return
		}
	}
	if len(missing) == 0 {
		propose("commit", &command{Do: doCommit, ID: id, Version: f.version})
		return
	}
	if n.s.StopWhenIsolated { // whose lease is over takes nothing: the change goes on without it
		for _, name := range missing {
			i, _ := v.state.find(name)
			if life := v.state.Roster[i].Life; l.lapsed(v, name, life) {
				l.takeOut(v, name, life, "its lease has ended, and it is not heard")
			}
		}
	}
	late := n.s.PrepareTimeout
	if n.s.StopWhenIsolated { // a lease may have been given at the last moment
		late += n.s.LeaseExpiry()
	}
	if n.now-f.since > late {
		why := "not heard, or it has not put the change on its disk within " + n.s.PrepareTimeout.String()
		propose("drop", &command{Do: doDrop, ID: id, By: some(missing), Why: why})
	}
}

func (m *known) nays(id string) bool { return m != nil && m.nay == id }

// some names a few.
func some(names []string) string {
	if more := len(names) - namesMost; more > 0 {
		return strings.Join(names[:namesMost], ", ") + fmt.Sprintf(" and %d more", more)
	}
	return strings.Join(names, ", ")
}

// poke has those ask that do not know yet what is under way, or in force.
func (l *steward) poke(v *voter) {
	n, s := v.n, v.state
	if n.now < l.pokeAt {
		return
	}
	l.pokeAt = n.now + pokeEvery
	who := map[string]bool{}
	for i := range s.Under {
		u := &s.Under[i]
		f := l.follow(v, u)
		for _, p := range f.concerns {
			if m := l.members[p.Name]; l.lacks(&p, u) && (m == nil || m.life != p.Life || n.now-f.since < n.s.PrepareTimeout) {
				who[p.Name] = true
			}
		}
	}
	l.fresh = slices.DeleteFunc(l.fresh, func(r recent) bool { return n.now-r.at > 2*n.s.Lease })
	for _, r := range l.fresh {
		for _, p := range r.concerns {
			if m := l.members[p.Name]; m != nil && m.life == p.Life && m.upto < r.order && n.now-m.heard < 2*n.s.Lease {
				who[p.Name] = true
			}
		}
	}
	if n.now-l.began < n.s.Lease {
		for _, p := range s.Roster {
			if m := l.members[p.Name]; m == nil || m.life != p.Life {
				who[p.Name] = true
			}
		}
	}
	all := sorted(who)
	if len(all) > pokesMost { // by turns
		from := l.poked % len(all)
		all = append(all[from:], all[:from]...)[:pokesMost]
		l.poked += pokesMost
		l.pokeAt = n.now + pokeEvery/4
	}
	for _, name := range all {
		n.send(name, &Message{Notify: true})
	}
}

// drop is an operator's word that a change is not to come into force; also one of which no voter has heard yet.
func (l *steward) drop(v *voter, p *Proposal) {
	if v.state.fate(p.Drop).State <= Preparing {
		v.propose(&command{Do: doDrop, ID: p.Drop, By: p.Document.Author, Why: cmp.Or(p.Document.Reason, "an operator dropped it")})
	}
}
