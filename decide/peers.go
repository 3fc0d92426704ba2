package decide

import (
	"math"
	"time"
)

// onPeer takes what another agent tells: the work that its clients ask for, the delay it
// sees, and notes. Departure: by head count a busy agent would refuse at a limit that quiet
// ones do not use. Acts where agents may exchange messages and their traffic differs.
func (b *Balancer) onPeer(e PeerMessage) {
	m, ok := decode(e.Data, b.now, b.period)
	if !ok || e.From < 0 || e.From >= len(b.peers) || e.From == b.s.Self {
		return
	}
	b.peers[e.From] = peer{demand: m.demand, until: b.now + time.Duration(tellMissed*float64(b.period))}
	if b.notesOn() {
		b.delay = blend(b.delay, min(m.delay, 1)) // what a quiet agent sees itself comes too late
		for _, n := range m.notes {
			b.read(n)
		}
	}
}

// write keeps a note for peers. Departure: a thin agent meets each backend too seldom to know
// its speed or its death by itself. Where agents may exchange messages it passes on what it saw
// and what it was told, for a few aims: one message to one of them for every few outcomes.
func (b *Balancer) write(n note) {
	if t := b.byKey[n.key]; t != nil {
		t.notedAt = n.at
	}
	if b.notes = append(b.notes, n); len(b.notes) > notesKept {
		b.notes = append(b.notes[:0], b.notes[1:]...)
	}
}

// read takes in a peer's note unless something newer is known: the same one comes by many
// ways, and to learn it each time would make every server look slow.
func (b *Balancer) read(n note) {
	t := b.byKey[n.key]
	if t == nil || t.State != Up || n.at <= t.warmFrom || n.at <= t.notedAt {
		return
	}
	switch {
	case n.value == noteFailed:
		if n.at > t.lastOK && n.at > t.struckAt {
			b.eject(t, b.period)
		}
	case n.value == noteLate:
		t.silent++
		b.learnSpeed(t, lateSlow)
	default:
		b.learnSpeed(t, float64(n.value)/noteStep)
		t.lastOK, t.silent = max(t.lastOK, n.at), 0
		if n.at > t.struckAt {
			t.strikes = max(0, t.strikes-strikeHeal)
		}
	}
	b.write(n)
}

// onFleet takes what the agents' own view says of their number. Each use goes by the figure that is
// safe: shares and limits by the most that may be sending, the multiple for cold backends by the fewest.
func (b *Balancer) onFleet(e FleetSize) {
	if was := b.thin(); !b.s.Peers && e.Min >= 1 && e.Max >= e.Min {
		b.s.Balancers, b.fewest, b.share = e.Max, e.Min, 1/float64(e.Max)
		if b.thin() != was { // what was sent while it did not count is not owed now
			b.credit = max(b.credit, 0)
		}
	}
}

// onVerdicts takes what all agents together hold against backends. Departure: an agent finds out by itself at
// the price of its own requests, each of many. It only narrows: nothing comes back by a verdict, and all of
// it lapses by itself. It could hurt where what several see is not so for this one: it tries others first.
func (b *Balancer) onVerdicts(e Ejections) {
	for _, t := range b.backends {
		t.judged, t.leaves = 0, 0
	}
	for _, v := range e.Ejections {
		if t := b.byID[v.Backend]; t != nil && t.Started == v.Started && v.Draining {
			t.leaves = v.Until
		} else if t != nil && t.Started == v.Started {
			t.judged = v.Until
		}
	}
	b.partitioned = false
}

func (b *Balancer) message(notes []note, step int) {
	data := tidings{b.demand, b.delay, notes}.encode(b.now, b.period)
	b.actions = append(b.actions, SendToPeer{To: (b.s.Self + step) % b.s.Balancers, Data: data})
}

// tell tells peers this agent's demand, and reckons its share anew. Where there are more peers
// than tellFan, a sample of them is told, and those heard lately stand for the rest: telling
// all costs messages with the square of the number of agents.
func (b *Balancer) tell() {
	b.demand, b.demandAt = b.demand*math.Exp(-float64(b.now-b.demandAt)/(tellMissed*float64(b.period))), b.now
	b.tellToken = b.alarm(b.period)
	sampled := b.s.Balancers-1 > tellFan
	from, others := b.rng.IntN(b.s.Balancers), b.s.Balancers-1
	for i := 1; i <= min(tellFan, others) && !b.notesOn(); i++ {
		b.message(nil, 1+(from+i)%others)
	}
	total, heard, n := b.demand, 1.0, float64(b.s.Balancers)
	for _, p := range b.peers {
		if b.now < p.until {
			total += p.demand
			heard++
		} else if p.until > 0 && !sampled {
			n-- // it has stopped, and its clients go elsewhere
		}
	}
	if b.share = 1 / n; total > 0 {
		b.share = (headShare + (1-headShare)*b.demand/total*heard) / n
	}
}
