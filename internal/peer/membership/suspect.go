package membership

import (
	"math"
	"slices"
	"time"
)

// suspicion is of a member that did not answer somebody.
type suspicion struct {
	startedAt    time.Duration
	reporters    []string
	reportedHere bool // this member is among them
}

// minSuspicion is how long a suspect has at the least, its distance apart. In larger fleets its word takes longer to come
// round.
func (v *View) minSuspicion() time.Duration {
	n := float64(len(v.localRegion.live) + 1)
	return time.Duration(float64(v.settings.MinSuspicion) * max(1, math.Log10(n)/2))
}

// suspicionTimeout is how long a suspicion lasts: three times the least with one accuser, down to the least with as many
// more as there can be, by the logarithm of their number (Lifeguard, "dynamic suspicion"). What it is accused of has
// a way to go, and its word a way back.
func (v *View) suspicionTimeout(m *member) time.Duration {
	least, way := v.minSuspicion(), v.roundTripTimeout(m)
	most := maxSuspicionFactor * least
	further := min(maxExtraReporters, len(v.localRegion.live)-1)
	if further <= 0 || v.settings.Baseline.NoLifeguard {
		return least + way
	}
	part := math.Log(float64(len(m.suspicion.reporters))) / math.Log(float64(further+1))
	return max(least, most-time.Duration(part*float64(most-least))) + way
}

// suspect says that a member did not answer this one.
func (v *View) suspect(m *member) {
	if m.State == Alive {
		r := m.Record
		r.State, r.Reporter = Suspect, v.settings.Name
		v.changeState(m, r, "a probe failed")
	}
	if s := m.suspicion; s != nil {
		s.reportedHere = true
		v.addReporter(m, v.settings.Name)
	}
}

// addReporter counts an accuser, once, and passes on what it said.
func (v *View) addReporter(m *member, by string) {
	s := m.suspicion
	if by == "" || by == m.Name || slices.Contains(s.reporters, by) || len(s.reporters) > maxExtraReporters {
		return
	}
	s.reporters = append(s.reporters, by)
	v.suspicionsAt = min(v.suspicionsAt, s.startedAt+v.suspicionTimeout(m))
	v.updates.put(m, by)
}

// suspicionsDue declares dead whoever has not refuted in time.
func (v *View) suspicionsDue() {
	if len(v.suspects) == 0 || v.now < v.suspicionsAt {
		return
	}
	v.suspicionsAt = never
	for i := 0; i < len(v.suspects); {
		m := v.suspects[i]
		if !v.settings.Baseline.NoLifeguard { // one that has answered since is there, though its refutation is still on its way
			m.suspicion.startedAt = max(m.suspicion.startedAt, m.lastConfirmed())
		}
		end := m.suspicion.startedAt + v.suspicionTimeout(m)
		if v.now < end {
			v.suspicionsAt = min(v.suspicionsAt, end)
			i++
			continue
		}
		v.declareDead(m, "did not refute") // takes it out of the list
	}
}

func (v *View) declareDead(m *member, why string) {
	r := m.Record
	r.State, r.Reporter, r.AgeSeconds = Dead, v.settings.Name, 0
	v.changeState(m, r, why)
	v.queueUpdate(m, "")
}

// suspicionRefuted takes note that a suspect has refuted. Whoever accused it wrongly, and could not reach it, waits
// longer before it does so again: others, who reach it, will see if it dies. That covers pairs that can't hear
// each other while others hear both; it could hurt where there are only two.
func (v *View) suspicionRefuted(m *member, s *suspicion) {
	if s.reportedHere && len(v.live) >= 2 {
		m.refutedSuspicions = min(m.refutedSuspicions+1, 4)
		m.noSuspicionBefore = v.now + time.Second<<m.refutedSuspicions
	}
}
