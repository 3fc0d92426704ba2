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
	isolationProbePeriods = 20                    // probe periods without a word: by chance once in e^20 at rest
	recentProbes          = 4                     // probes, the last ones
	minRecentMisses       = 3                     // of which so many missed: most are beyond
	maxSweepProbes        = 10                    // probes in a period then; with one helper of chance each
	lateStepThreshold     = 75 * time.Millisecond // a step that was late by more: this process is slow itself
	minOnTimePeriod       = 3 * time.Second
	partitionedPeriod     = 10 * time.Second // from then on those beyond are dead, or it was none
)

// recordProbeResult takes note how a probe ended.
func (v *View) recordProbeResult(missed bool) {
	v.recentMisses = v.recentMisses << 1 & (1<<recentProbes - 1)
	if missed {
		v.recentMisses |= 1
	}
	if v.isPartitioned() {
		v.partitionedUntil = v.now + partitionedPeriod
		v.probeAt = min(v.probeAt, v.now+v.settings.ProbeInterval) // it was put off by doubts
	}
}

// isPartitioned reports whether most seem to be beyond a cut, and it is not this process that is slow.
func (v *View) isPartitioned() bool {
	return bits.OnesCount8(v.recentMisses) >= minRecentMisses && v.now-v.lateStepAt >= minOnTimePeriod && !v.settings.Baseline.NoLifeguard
}

// isolationTimeout is how long nobody may be heard.
func (v *View) isolationTimeout() time.Duration {
	return max(2*v.minSuspicion()+v.settings.ProbeTimeout+v.settings.IndirectTimeout, isolationProbePeriods*v.settings.ProbeInterval)
}

// canBeIsolated reports whether it matters that nobody is heard.
func (v *View) canBeIsolated() bool {
	return !v.isolated && len(v.live) > 0 && (v.joined || v.contacted) && !v.settings.Baseline.NoLifeguard
}

// isolationDue finds that nobody is heard any more.
func (v *View) isolationDue() {
	if !v.canBeIsolated() || v.now < v.lastReceivedAt+v.isolationTimeout() {
		return
	}
	v.isolated, v.isolatedAt = true, v.now
	v.emit(Isolated{Members: len(v.live)})
	// What it accused others of on the way here rests on its own silence, and is not told on when it is back.
	for _, m := range slices.Clone(v.suspects) {
		r := m.Record
		r.State, r.Reporter = Alive, ""
		v.changeState(m, r, "this member is cut off")
	}
	v.updateReachability(v.live, ReasonRegionUnreachable)
}

// onAnyDatagram takes note that a member is heard, whichever.
func (v *View) onAnyDatagram(addr string) {
	v.lastReceivedAt = v.now
	if !v.isolated {
		return
	}
	v.isolated = false
	v.emit(Isolated{Ended: true, Members: len(v.live)})
	v.updateReachability(v.live, ReasonRegionReachable)
	v.recentMisses = 0
	v.exchange.requestWith(v, addr)
}

// sweepProbes probes more than one a period while most seem to be beyond a cut.
func (v *View) sweepProbes() {
	if !v.isPartitioned() || v.isolated {
		return
	}
	for range maxSweepProbes - 1 {
		var m *member
		for m == nil && len(v.sweepOrder) > 0 {
			m = v.members[v.sweepOrder[len(v.sweepOrder)-1]]
			v.sweepOrder = v.sweepOrder[:len(v.sweepOrder)-1]
			if m != nil && (m.list != listLive || m.State != Alive || v.isProbing(m.Name)) {
				m = nil
			}
		}
		if m == nil {
			for _, o := range v.localRegion.live {
				if o.State == Alive {
					v.sweepOrder = append(v.sweepOrder, o.Name)
				}
			}
			v.rng.Shuffle(len(v.sweepOrder), func(i, j int) { v.sweepOrder[i], v.sweepOrder[j] = v.sweepOrder[j], v.sweepOrder[i] })
			return // the next period begins with them
		}
		if !v.startProbe(m, 1) {
			return
		}
	}
}
