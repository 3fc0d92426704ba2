package membership

import (
	"math"
	"slices"
	"time"
)

// suspicion is the state of a suspect: a member that did not answer a probe. It lasts until the suspect refutes it with
// a higher incarnation, or until it times out and the suspect is declared dead.
type suspicion struct {
	startedAt    time.Duration
	reporters    []string // names of members whose probes of the suspect failed
	reportedHere bool     // this member is a reporter
}

const (
	// maxSuspicionFactor is the ratio of the longest suspicion timeout, with one reporter, to the shortest. A larger
	// factor protects better against a reporter that is itself at fault, and delays the detection of crashes that few
	// members report.
	maxSuspicionFactor = 3
	// maxExtraReporters is the number of further reporters that reduce the timeout to the shortest (Lifeguard's k).
	maxExtraReporters = 3
	// maxRefutedSuspicions bounds the exponent of the backoff before this member suspects the same member again: the
	// backoff doubles from 2 s up to 16 s.
	maxRefutedSuspicions = 4
	// minMembersForBackoff is the minimum number of other live members for that backoff.
	minMembersForBackoff = 2
)

// minSuspicion returns the shortest suspicion timeout, without the round trip. It grows with the logarithm of the
// region's size, because a refutation takes longer to spread in a larger region.
func (v *View) minSuspicion() time.Duration {
	size := float64(len(v.localRegion.live) + 1)
	return time.Duration(float64(v.settings.MinSuspicion) * max(1, math.Log10(size)/2))
}

// suspicionTimeout returns how long the suspicion of a member lasts. It falls from three times the shortest timeout
// with one reporter to the shortest with four, by the logarithm of their number (Lifeguard's dynamic suspicion
// timeout). A round trip is added, in which the suspicion reaches the member and the refutation returns.
//
// The time from a crash until the member is shown as dead is the sum of the time until it is probed, 0.92 s at the 99th
// percentile (4.6 probe intervals); the probe timeout (100 ms, or the round trip) and the indirect timeout (150 ms);
// and this timeout: 1.7 s with four reporters up to 5.1 s with one in fleets up to 100, and longer in larger fleets by
// the logarithm of their size. That is usually 2 to 3 s, and about 6 s at worst. A prober that is itself unhealthy
// takes up to nine times as long to probe.
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

// suspect records and gossips that a member did not answer a probe by this member.
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

// addReporter adds a reporter to a suspicion, unless it is listed already or the list is full, and gossips its report.
func (v *View) addReporter(m *member, reporter string) {
	s := m.suspicion
	if reporter == "" || reporter == m.Name || slices.Contains(s.reporters, reporter) || len(s.reporters) > maxExtraReporters {
		return
	}
	s.reporters = append(s.reporters, reporter)
	v.suspicionsAt = min(v.suspicionsAt, s.startedAt+v.suspicionTimeout(m))
	v.updates.put(m, reporter)
}

// updateSuspicion starts or ends the suspicion of a member whose record has changed.
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

// swapRemove removes a member from a list; the last member of the list takes its place.
func swapRemove(list []*member, m *member) []*member {
	i := slices.Index(list, m)
	if i < 0 {
		return list
	}
	list[i] = list[len(list)-1]
	return list[:len(list)-1]
}

// expireSuspicions declares dead the suspects that have not refuted in time.
func (v *View) expireSuspicions() {
	if len(v.suspects) == 0 || v.now < v.suspicionsAt {
		return
	}
	v.suspicionsAt = never
	for i := 0; i < len(v.suspects); {
		m := v.suspects[i]
		if !v.settings.Baseline.NoLifeguard { // if the suspect has answered meanwhile, its refutation has not arrived yet
			m.suspicion.startedAt = max(m.suspicion.startedAt, m.lastConfirmed())
		}
		end := m.suspicion.startedAt + v.suspicionTimeout(m)
		if v.now < end {
			v.suspicionsAt = min(v.suspicionsAt, end)
			i++
			continue
		}
		v.declareDead(m, reasonNotRefuted) // this also removes m from v.suspects
	}
}

func (v *View) declareDead(m *member, reason string) { v.reportState(m, Dead, reason) }

// reportState sets the state of a member with this member as the reporter, and queues it for gossip.
func (v *View) reportState(m *member, state State, reason string) {
	r := m.Record
	r.State = state
	r.Reporter = v.settings.Name
	r.AgeSeconds = 0
	v.setRecord(m, r, recordChange{reason: reason})
	v.queueUpdate(m, "")
}

// suspicionRefuted handles a suspect's refutation. If this member reported the suspicion, it waits longer before it
// suspects the same member again. This covers pairs of members that can't reach each other while others reach both:
// the others detect the crash of either of the pair. A fleet of two has no other members, so the backoff would only
// delay the detection of a crash.
func (v *View) suspicionRefuted(m *member, s *suspicion) {
	if !s.reportedHere || len(v.live) < minMembersForBackoff {
		return
	}
	m.refutedSuspicions = min(m.refutedSuspicions+1, maxRefutedSuspicions)
	m.noSuspicionBefore = v.now + time.Second<<m.refutedSuspicions
}
