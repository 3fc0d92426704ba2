package membership

import (
	"math"
	"slices"
	"time"
)

// suspicion is of a member that did not answer somebody.
type suspicion struct {
	from     time.Duration
	accusers []string
	mine     bool // this member is among them
}

// least is how long a suspect has at the least, its distance apart. In larger fleets its word takes longer to come
// round.
func (v *View) least() time.Duration {
	n := float64(len(v.home.live) + 1)
	return time.Duration(float64(v.s.MinSuspicion) * max(1, math.Log10(n)/2))
}

// lasts is how long a suspicion lasts: three times the least with one accuser, down to the least with as many
// more as there can be, by the logarithm of their number (Lifeguard, "dynamic suspicion"). What it is accused of has
// a way to go, and its word a way back.
func (v *View) lasts(m *member) time.Duration {
	least, way := v.least(), v.wayBack(m)
	most := suspectMost * least
	further := min(accusersMost, len(v.home.live)-1)
	if further <= 0 || v.s.Baseline.NoLifeguard {
		return least + way
	}
	part := math.Log(float64(len(m.suspect.accusers))) / math.Log(float64(further+1))
	return max(least, most-time.Duration(part*float64(most-least))) + way
}

// accuse says that a member did not answer this one.
func (v *View) accuse(m *member) {
	if m.State == Alive {
		r := m.Record
		r.State, r.Reporter = Suspect, v.s.Name
		v.set(m, r, "a probe failed")
	}
	if s := m.suspect; s != nil {
		s.mine = true
		v.charge(m, v.s.Name)
	}
}

// charge counts an accuser, once, and passes on what it said.
func (v *View) charge(m *member, by string) {
	s := m.suspect
	if by == "" || by == m.Name || slices.Contains(s.accusers, by) || len(s.accusers) > accusersMost {
		return
	}
	s.accusers = append(s.accusers, by)
	v.judgeAt = min(v.judgeAt, s.from+v.lasts(m))
	v.news.put(m, by)
}

// suspicionsDue declares dead whoever has not refuted in time.
func (v *View) suspicionsDue() {
	if len(v.suspects) == 0 || v.now < v.judgeAt {
		return
	}
	v.judgeAt = never
	for i := 0; i < len(v.suspects); {
		m := v.suspects[i]
		if !v.s.Baseline.NoLifeguard { // one that has answered since is there, though its refutation is still on its way
			m.suspect.from = max(m.suspect.from, m.lately())
		}
		end := m.suspect.from + v.lasts(m)
		if v.now < end {
			v.judgeAt = min(v.judgeAt, end)
			i++
			continue
		}
		v.declare(m, "did not refute") // takes it out of the list
	}
}

func (v *View) declare(m *member, why string) {
	r := m.Record
	r.State, r.Reporter, r.AgeSeconds = Dead, v.s.Name, 0
	v.set(m, r, why)
	v.spread(m, "")
}

// acquitted takes note that a suspect has refuted. Whoever accused it wrongly, and could not reach it, waits
// longer before it does so again: others, who reach it, will see if it dies. That covers pairs that can't hear
// each other while others hear both; it could hurt where there are only two.
func (v *View) acquitted(m *member, s *suspicion) {
	if s.mine && len(v.live) >= 2 {
		m.mutes = min(m.mutes+1, 4)
		m.muted = v.now + time.Second<<m.mutes
	}
}
