package membership

import (
	"math"
	"slices"
	"time"
)

// suspicion is the state of a member that did not answer a probe, until it refutes by a higher incarnation or its
// timeout declares it dead.
type suspicion struct {
	startedAt    time.Duration
	reporters    []string // members that each failed to probe it
	reportedHere bool     // this member is one of them
}

const (
	// maxSuspicionFactor is how many times the least timeout a suspicion with one reporter lasts. Larger protects more
	// against one reporter that is at fault itself, and finds crashes later that few members notice.
	maxSuspicionFactor = 3
	// maxExtraReporters is the number of further reporters that bring the timeout down to the least (Lifeguard's k).
	maxExtraReporters = 3
	// maxRefutedSuspicions bounds the exponent of the time in which this member does not suspect a member again: 16 s.
	maxRefutedSuspicions = 4
	// minMembersForBackoff is the number of other live members from which on that time applies.
	minMembersForBackoff = 2
)

// minSuspicion is the least timeout of a suspicion, without the round trip: it grows with the logarithm of the region's
// size, since a refutation takes longer to spread there.
func (v *View) minSuspicion() time.Duration {
	size := float64(len(v.localRegion.live) + 1)
	return time.Duration(float64(v.settings.MinSuspicion) * max(1, math.Log10(size)/2))
}

// suspicionTimeout is how long a member's suspicion lasts: from three times the least with one reporter down to the
// least with four, by the logarithm of their number (Lifeguard's dynamic suspicion timeout), and a round trip for the
// suspicion to reach the member and the refutation to come back.
//
// From a crash until a member is shown dead it takes: until it is probed, 0.92 s at the 99th percentile (4.6 probe
// intervals); the probe timeout (100 ms, or its round trip) and the indirect timeout (150 ms); and this timeout, 1.7 s with
// four reporters up to 5.1 s with one in fleets up to 100, more by the logarithm of the size. So 2 to 3 s as a rule, and
// some 6 s at worst. A prober that is itself unhealthy takes up to nine times as long to probe.
func (v *View) suspicionTimeout(m *member) time.Duration {
	shortest := v.minSuspicion()
	roundTrip := v.roundTripTimeout(m)
	longest := maxSuspicionFactor * shortest
	extraReporters := min(maxExtraReporters, len(v.localRegion.live)-1)
	if extraReporters <= 0 || v.settings.Baseline.NoLifeguard {
		return shortest + roundTrip
	}
	part := math.Log(float64(len(m.suspicion.reporters))) / math.Log(float64(extraReporters+1))
	return max(shortest, longest-time.Duration(part*float64(longest-shortest))) + roundTrip
}

// suspect reports that a member did not answer this one's probe.
func (v *View) suspect(m *member) {
	if m.State == Alive {
		r := m.Record
		r.State = Suspect
		r.Reporter = v.settings.Name
		v.setRecord(m, r, recordChange{reason: reasonProbeFailed})
	}
	if m.suspicion != nil {
		m.suspicion.reportedHere = true
		v.addReporter(m, v.settings.Name)
	}
}

// addReporter counts a reporter of a suspicion, once, and gossips its report.
func (v *View) addReporter(m *member, reporter string) {
	s := m.suspicion
	if reporter == "" || reporter == m.Name || slices.Contains(s.reporters, reporter) || len(s.reporters) > maxExtraReporters {
		return
	}
	s.reporters = append(s.reporters, reporter)
	v.suspicionsAt = min(v.suspicionsAt, s.startedAt+v.suspicionTimeout(m))
	v.updates.put(m, reporter)
}

// updateSuspicion begins or ends a member's suspicion where its record has changed.
func (v *View) updateSuspicion(m *member, previous *Record) {
	ended := m.State != Suspect || m.Incarnation != previous.Incarnation || m.RunID != previous.RunID
	if s := m.suspicion; s != nil && ended {
		m.suspicion = nil
		v.suspects = swapRemove(v.suspects, m)
		if m.State == Alive {
			v.suspicionRefuted(m, s)
		}
	}
	if m.State == Suspect && m.suspicion == nil {
		m.suspicion = &suspicion{startedAt: v.now}
		v.suspects = append(v.suspects, m)
		v.suspicionsAt = min(v.suspicionsAt, v.now+v.minSuspicion())
	}
}

// swapRemove removes a member from a list; the last one takes its place.
func swapRemove(list []*member, m *member) []*member {
	i := slices.Index(list, m)
	if i < 0 {
		return list
	}
	list[i] = list[len(list)-1]
	return list[:len(list)-1]
}

// suspicionsDue declares dead the members that have not refuted in time.
func (v *View) suspicionsDue() {
	if len(v.suspects) == 0 || v.now < v.suspicionsAt {
		return
	}
	v.suspicionsAt = never
	for i := 0; i < len(v.suspects); {
		m := v.suspects[i]
		if !v.settings.Baseline.NoLifeguard { // it has answered since: its refutation is still on its way
			m.suspicion.startedAt = max(m.suspicion.startedAt, m.lastConfirmed())
		}
		end := m.suspicion.startedAt + v.suspicionTimeout(m)
		if v.now < end {
			v.suspicionsAt = min(v.suspicionsAt, end)
			i++
			continue
		}
		v.declareDead(m, reasonNotRefuted) // which removes it from the list
	}
}

func (v *View) declareDead(m *member, reason string) { v.report(m, Dead, reason) }

// report records a state that this member is the first to report, and queues it for gossip.
func (v *View) report(m *member, state State, reason string) {
	r := m.Record
	r.State = state
	r.Reporter = v.settings.Name
	r.AgeSeconds = 0
	v.setRecord(m, r, recordChange{reason: reason})
	v.queueUpdate(m, "")
}

// suspicionRefuted notices that a suspect refuted. If this member suspected it wrongly, since it can't reach it, it
// waits longer before it does so again: other members, which can, will notice its death. That covers pairs of members
// that can't hear each other while others hear both; where there are only two members it would do harm.
func (v *View) suspicionRefuted(m *member, s *suspicion) {
	if !s.reportedHere || len(v.live) < minMembersForBackoff {
		return
	}
	m.refutedSuspicions = min(m.refutedSuspicions+1, maxRefutedSuspicions)
	m.noSuspicionBefore = v.now + time.Second<<m.refutedSuspicions
}
