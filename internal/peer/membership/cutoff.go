package membership

import (
	"math/bits"
	"slices"
	"time"
)

// One that is cut off from all, or with a few from most, must know so within a bound, whatever the size of the fleet
// and though it doubts itself.
//
// From all: where nobody at all has been heard for longer than chance leaves open, all others are shown as dead. No
// record changes and nobody is accused: who is only deaf would else accuse the whole fleet, and who comes back would.
// With a few: where most of its last probes came to nothing, they neither wait longer for its doubts nor come more
// seldom, and some more are sent, so that the few accuse together what is beyond.

const (
	loneEvery = 20                    // probe periods without a word: by chance once in e^20 at rest
	lastKept  = 4                     // probes, the last ones
	lastMost  = 3                     // of which so many missed: most are beyond
	sweepMost = 10                    // probes in a period then; with one helper of chance each
	lateLeast = 75 * time.Millisecond // a step that was late by more: this process is slow itself
	calmFor   = 3 * time.Second
	cutFor    = 10 * time.Second // from then on those beyond are dead, or it was none
)

// result takes note how a probe ended.
func (v *View) result(missed bool) {
	v.last = v.last << 1 & (1<<lastKept - 1)
	if missed {
		v.last |= 1
	}
	if v.cutOff() {
		v.cutUntil = v.now + cutFor
		v.probeAt = min(v.probeAt, v.now+v.s.ProbeInterval) // it was put off by doubts
	}
}

// cutOff reports whether most seem to be beyond a cut, and it is not this process that is slow.
func (v *View) cutOff() bool {
	return bits.OnesCount8(v.last) >= lastMost && v.now-v.lateAt >= calmFor && !v.s.Baseline.NoLifeguard
}

// loneAfter is how long nobody may be heard.
func (v *View) loneAfter() time.Duration {
	return max(2*v.least()+v.s.ProbeTimeout+v.s.IndirectTimeout, loneEvery*v.s.ProbeInterval)
}

// mayBeLone reports whether it matters that nobody is heard.
func (v *View) mayBeLone() bool {
	return !v.lone && len(v.live) > 0 && (v.joined || v.met) && !v.s.Baseline.NoLifeguard
}

// loneDue finds that nobody is heard any more.
func (v *View) loneDue() {
	if !v.mayBeLone() || v.now < v.heardAny+v.loneAfter() {
		return
	}
	v.lone, v.loneAt = true, v.now
	v.do(Isolated{Members: len(v.live)})
	// What it accused others of on the way here rests on its own silence, and is not told on when it is back.
	for _, m := range slices.Clone(v.suspects) {
		r := m.Record
		r.State, r.Reporter = Alive, ""
		v.set(m, r, "this member is cut off")
	}
	v.show(v.live, ReasonRegionUnreachable)
}

// hearAny takes note that a member is heard, whichever.
func (v *View) hearAny(addr string) {
	v.heardAny = v.now
	if !v.lone {
		return
	}
	v.lone = false
	v.do(Isolated{Over: true, Members: len(v.live)})
	v.show(v.live, ReasonRegionReachable)
	v.last = 0
	v.exchange.with(v, addr)
}

// sweep probes more than one a period while most seem to be beyond a cut.
func (v *View) sweep() {
	if !v.cutOff() || v.lone {
		return
	}
	for range sweepMost - 1 {
		var m *member
		for m == nil && len(v.swept) > 0 {
			m = v.members[v.swept[len(v.swept)-1]]
			v.swept = v.swept[:len(v.swept)-1]
			if m != nil && (m.listed != inLive || m.State != Alive || v.probing(m.Name)) {
				m = nil
			}
		}
		if m == nil {
			for _, o := range v.home.live {
				if o.State == Alive {
					v.swept = append(v.swept, o.Name)
				}
			}
			v.rng.Shuffle(len(v.swept), func(i, j int) { v.swept[i], v.swept[j] = v.swept[j], v.swept[i] })
			return // the next period begins with them
		}
		if !v.ask(m, 1) {
			return
		}
	}
}
