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

	members  map[string]*known // by name
	pending  string            // the change that it looks at
	since    time.Duration
	lacking  int           // members that had it not on their disks at the last look through the roster, less those that have said so since
	looks    int           // through the roster, for a change under way
	proposed string        // what it proposed of it: "commit" or "drop"
	said     time.Duration // and when
	joins    map[string]joining
	pokeAt   time.Duration
	poked    int
	lookAt   time.Duration
}

// question is a member's, and by whom it came.
type question struct {
	ask  *Ask
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
	heard    time.Duration // it asked last
	granted  time.Duration // it was told that it may go on; 0: not by this leader
	force    uint64
	prepared string
	nay, why string
	out      bool // it is being taken out of the roster: it is told nothing meanwhile
	deaf     int  // questions on end by which its lease is over, though it was answered
}

type joining struct {
	life uint64
	at   time.Duration
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
		*l = steward{term: s.HardState.GetTerm(), began: n.now, members: map[string]*known{}, joins: map[string]joining{}}
		n.say(false, "this voter leads in term %d", l.term)
	}
	l.at = n.now + lookEvery
	l.confirm(v)
	if n.now >= l.lookAt {
		l.lookAt = n.now + lookEvery
		l.roster(v)
		l.change(v)
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
	if m == nil || m.life != a.Life {
		if m != nil && n.now-m.heard < aliveFor && s.has(a.Name, m.life) && !n.viewHas(a.Name, a.Life) {
			l.reply(v, q, &Answer{Seq: a.Seq, Refused: "another process has this name, and is there"})
			return
		}
		m = &known{life: a.Life}
		l.members[a.Name] = m
	}
	told := s.Pending != nil && a.Prepared == s.Pending.ID && m.prepared != a.Prepared
	m.heard, m.force, m.prepared, m.nay, m.why = n.now, a.Force, a.Prepared, a.Nay, a.Why
	switch {
	case !a.Over:
		m.deaf = 0
	case m.granted > 0 && n.now-m.granted < n.s.Lease:
		m.deaf++
	}
	if n.s.Stops && m.deaf >= deafAfter && s.Pending != nil && m.prepared != s.Pending.ID {
		return // it hears no answer: the change goes on without it once what it was told is over
	}
	x := &Answer{Seq: a.Seq, Force: s.Force.Number, ForceID: s.Force.ID, Voters: s.Voters}
	switch {
	case a.Stops != n.s.Stops || time.Duration(a.LeaseMS)*time.Millisecond != n.s.Lease:
		x.Refused = fmt.Sprintf("its file's cut_off or lease are not those of %s, which leads (lease %v)", n.s.Name, n.s.Lease)
	case s.has(a.Name, a.Life):
		x.Known = !m.out
	case a.Join:
		if j := l.joins[a.Name]; j.life != a.Life || n.now-j.at > sayAgain {
			l.joins[a.Name] = joining{a.Life, n.now}
			v.propose(&command{Do: doJoin, Name: a.Name, Life: a.Life})
		}
	}
	if x.Known {
		m.granted = n.now
	}
	if s.Pending != nil {
		x.Pending = s.Pending.ID
	}
	for _, id := range a.About[:min(aboutMost, len(a.About))] {
		x.About = append(x.About, l.fate(v, id))
	}
	l.reply(v, q, x)
	// Only who may be the last one to have it is worth a look through the roster now; each 100 ms there is one anyway.
	if told && s.has(a.Name, a.Life) {
		l.lacking--
	}
	if s.Pending != nil && (m.nays(s.Pending.ID) || told && (l.lacking <= 0 || l.pending != s.Pending.ID)) {
		l.change(v)
	}
}

func (l *steward) reply(v *voter, q question, x *Answer) {
	x.Leader = v.n.s.Name
	m := &Message{Answer: x}
	if q.from != q.ask.Name {
		m.To = q.ask.Name
	}
	v.n.send(q.from, m)
}

// fate is what became of a change, or how far it is.
func (l *steward) fate(v *voter, id string) Fate {
	f := v.state.fate(id)
	if f.State == UnderWay {
		missing := l.missing(v)
		for _, p := range v.state.Roster {
			if !slices.Contains(v.state.Without, p.Name) {
				f.Of++
			}
		}
		f.Have = f.Of - len(missing)
		f.Missing = missing[:min(namesMost, len(missing))]
	}
	return f
}

// missing are the members that have to have the change under way on their disks, and have not said so.
func (l *steward) missing(v *voter) []string {
	var all []string
	s := v.state
	for _, p := range s.Roster {
		if m := l.members[p.Name]; (m == nil || m.life != p.Life || m.prepared != s.Pending.ID) && !slices.Contains(s.Without, p.Name) {
			all = append(all, p.Name)
		}
	}
	return all
}

// applied takes note of what the log has done.
func (l *steward) applied(v *voter, c *command, was uint64) {
	switch c.Do {
	case doJoin, doOut:
		delete(l.joins, c.Name)
		if m := l.members[c.Name]; m != nil && m.life == c.Life {
			m.out = false
		}
	case doCommit:
		if v.state.Force.Number != was {
			v.n.say(false, "policy %d (%s, by %s: %s) is in force", v.state.Force.Number, v.state.Force.ID, v.state.Force.Author, v.state.Force.Reason)
		} else if l.proposed == "commit" { // somebody came in between
			l.proposed = ""
		}
	case doDrop:
		v.n.say(false, "change %s was dropped by %s: %s", c.ID, c.By, c.Why)
	}
	l.lookAt, l.pokeAt = v.n.now, v.n.now
	l.at = v.n.now
}

// roster takes out who has left in order.
func (l *steward) roster(v *voter) {
	for _, name := range sorted(v.n.who) {
		if w := v.n.who[name]; w.Left && v.state.has(name, w.Life) {
			l.takeOut(v, name, w.Life, "it left")
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
	l.joins[name] = joining{life, v.n.now}
	v.propose(&command{Do: doOut, Name: name, Life: life, Why: why})
}

// lapsed reports whether a member certainly takes nothing any more: what this leader, or one before it, told it is over.
func (l *steward) lapsed(v *voter, name string, life uint64) bool {
	from := l.began
	if m := l.members[name]; m != nil && m.life == life {
		from = max(from, m.granted)
	}
	return v.n.now > from+v.n.s.Back()+slackOut
}

// change looks at the change under way.
func (l *steward) change(v *voter) {
	n, p := v.n, v.state.Pending
	if p == nil {
		l.pending = ""
		return
	}
	if l.pending != p.ID {
		l.pending, l.since, l.proposed = p.ID, n.now, ""
		l.pokeAt = n.now
	}
	if l.proposed != "" && n.now-l.said < sayAgain {
		return
	}
	propose := func(what string, c *command) {
		if v.propose(c) {
			l.proposed, l.said = what, n.now
		}
	}
	missing := l.missing(v)
	l.lacking, l.looks = len(missing), l.looks+1
	for _, name := range missing {
		if m := l.members[name]; m.nays(p.ID) {
			propose("drop", &command{Do: doDrop, ID: p.ID, By: name, Why: m.why})
			return
		}
	}
	if len(missing) == 0 {
		propose("commit", &command{Do: doCommit, ID: p.ID, Version: v.state.Version})
		return
	}
	if n.s.Stops { // whose lease is over takes nothing: the change goes on without it
		for _, name := range missing {
			i, _ := v.state.find(name)
			if life := v.state.Roster[i].Life; l.lapsed(v, name, life) {
				l.takeOut(v, name, life, "its lease has ended, and it is not heard")
			}
		}
	}
	late := n.s.Within
	if n.s.Stops { // a lease may have been given at the last moment
		late += n.s.Back()
	}
	if n.now-l.since > late {
		why := "not heard, or it has not put the change on its disk within " + n.s.Within.String()
		propose("drop", &command{Do: doDrop, ID: p.ID, By: some(missing), Why: why})
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
	var all []string
	for _, p := range s.Roster {
		m := l.members[p.Name]
		switch {
		case m == nil || m.life != p.Life:
			if s.Pending != nil || n.now-l.began < n.s.Lease {
				all = append(all, p.Name)
			}
		case s.Pending != nil && m.prepared != s.Pending.ID && n.now-l.since < n.s.Within, m.force < s.Force.Number && n.now-m.heard < 2*n.s.Lease:
			all = append(all, p.Name)
		}
	}
	if len(all) > pokesMost { // by turns
		from := l.poked % len(all)
		all = append(all[from:], all[:from]...)[:pokesMost]
		l.poked += pokesMost
		l.pokeAt = n.now + pokeEvery/4
	}
	for _, name := range all {
		n.send(name, &Message{Poke: true})
	}
}

// drop is an operator's word that a change is not to come into force; also one of which no voter has heard yet.
func (l *steward) drop(v *voter, p *Proposal) {
	if v.state.fate(p.Drop).State <= UnderWay {
		v.propose(&command{Do: doDrop, ID: p.Drop, By: p.Doc.Author, Why: cmp.Or(p.Doc.Reason, "an operator dropped it")})
	}
}
