package membership

import (
	"math/bits"
	"slices"
	"time"
)

// A member that is cut off from all others, or with a few from most, must know so within a bound, whatever the size of
// the fleet and although it doubts itself.
//
// From all (isolated): where no datagram of any member has come for longer than chance explains, all others are shown
// as dead. No record changes and nobody is suspected: a member that only can't receive would otherwise suspect the
// whole fleet, and so would one that returns.
//
// With a few (partitioned): where most of its last probes were missed, its timeouts are no longer scaled by its local
// health, and it sends additional probes (a sweep), so that the few suspect together what is beyond the partition.

const (
	// isolationProbePeriods is how many probe intervals without a datagram make a member isolated. At rest about one
	// datagram comes in each, so that chance makes it so once in e^20 intervals. Larger detects isolation later.
	isolationProbePeriods = 20
	// recentProbes is how many of the last probes recentMisses keeps.
	recentProbes     = 4
	recentProbesMask = 1<<recentProbes - 1
	// minRecentMisses is how many of them must be missed for a partition to be assumed.
	minRecentMisses = 3
	// maxSweepProbes is the number of probes in an interval during a partition. More finds the members beyond it sooner
	// and takes more of the budget.
	maxSweepProbes = 10
	// minOnTimePeriod is how long steps must have come on time for missed probes to count as a partition: a process
	// that is slow itself misses answers too.
	minOnTimePeriod = 3 * time.Second
	// partitionedPeriod is how long after the last sign of a partition it is taken into account: by then the members
	// beyond it are dead, or there was none.
	partitionedPeriod = 10 * time.Second
)

// probeOutcome is how a probe of a member of this region ended: a bit of View.recentMisses.
type probeOutcome uint8

const (
	outcomeAnswered probeOutcome = iota
	outcomeMissed
)

// recordProbeOutcome keeps how the last probes ended.
func (v *View) recordProbeOutcome(outcome probeOutcome) {
	v.recentMisses = (v.recentMisses<<1 | uint8(outcome)) & recentProbesMask
	if v.isPartitioned() {
		v.partitionedUntil = v.now + partitionedPeriod
		v.probeAt = min(v.probeAt, v.now+v.settings.ProbeInterval) // local health may have put it off
	}
}

// isPartitioned reports whether most members seem to be beyond a partition, and this process is not slow itself.
func (v *View) isPartitioned() bool {
	return bits.OnesCount8(v.recentMisses) >= minRecentMisses &&
		v.now-v.lateStepAt >= minOnTimePeriod &&
		!v.settings.Baseline.NoLifeguard
}

// isolationTimeout is how long no datagram may come before this member is isolated.
func (v *View) isolationTimeout() time.Duration {
	probe := v.settings.ProbeTimeout + v.settings.IndirectTimeout
	return max(2*v.minSuspicion()+probe, isolationProbePeriods*v.settings.ProbeInterval)
}

// canBeIsolated reports whether it matters that no datagram comes: not before this member has met the fleet.
func (v *View) canBeIsolated() bool {
	return !v.isolated && len(v.live) > 0 && (v.joined || v.contacted) && !v.settings.Baseline.NoLifeguard
}

// isolationDue finds that no datagram comes any more.
func (v *View) isolationDue() {
	if !v.canBeIsolated() || v.now < v.lastReceivedAt+v.isolationTimeout() {
		return
	}
	v.isolated = true
	v.isolatedAt = v.now
	v.emit(Isolated{Members: len(v.live)})
	// Its present suspicions rest on its own isolation, and must not be gossiped when that ends.
	for _, m := range slices.Clone(v.suspects) {
		r := m.Record
		r.State = Alive
		r.Reporter = ""
		v.setRecord(m, r, recordChange{reason: ReasonIsolated})
	}
	v.updateReachability(v.live, ReasonIsolated)
}

// endIsolation notices a datagram of a member at addr, which ends an isolation.
func (v *View) endIsolation(addr string) {
	v.lastReceivedAt = v.now
	if !v.isolated {
		return
	}
	v.isolated = false
	v.emit(Isolated{Ended: true, Members: len(v.live)})
	v.updateReachability(v.live, ReasonIsolationEnded)
	v.recentMisses = 0
	v.exchange.requestWith(v, addr)
}

// sweepProbes sends additional probes during a partition.
func (v *View) sweepProbes() {
	if !v.isPartitioned() || v.isolated {
		return
	}
	for range maxSweepProbes - 1 {
		target := v.nextSweepTarget()
		if target == nil {
			v.refillSweepOrder()
			return // the next interval begins with them
		}
		if !v.startProbe(target, sweepHelpers) {
			return
		}
	}
}

// nextSweepTarget takes the next member that is alive from the sweep's order; nil: there is none left.
func (v *View) nextSweepTarget() *member {
	for len(v.sweepOrder) > 0 {
		last := len(v.sweepOrder) - 1
		m := v.members[v.sweepOrder[last]]
		v.sweepOrder = v.sweepOrder[:last]
		if m != nil && m.list == listLive && m.State == Alive && !v.isProbing(m.Name) {
			return m
		}
	}
	return nil
}

func (v *View) refillSweepOrder() {
	for _, m := range v.localRegion.live {
		if m.State == Alive {
			v.sweepOrder = append(v.sweepOrder, m.Name)
		}
	}
	v.shuffle(v.sweepOrder)
}

func (v *View) shuffle(names []string) {
	v.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}
