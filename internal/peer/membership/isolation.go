package membership

import (
	"math/bits"
	"slices"
	"time"
)

// A member that can't reach any other member, or that can reach only a few, must detect that within a bounded time. The
// bound must hold for fleets of any size, and although the local health multiplier lengthens the member's timeouts.
//
// Isolated: the member receives no datagrams from any member for longer than chance explains. All other members are
// then shown as dead, but no record changes and no member is suspected. Otherwise a member that merely can't receive
// would suspect all members of the fleet, and so would an isolated member that becomes reachable again.
//
// Partitioned: the member can reach only a few members, and most of its last probes failed. Its timeouts are then no
// longer scaled by its local health, and it sends additional probes (a sweep), so that the few reachable members
// together suspect the members behind the partition.

const (
	// isolationProbePeriods is the number of probe intervals without a datagram after which a member is isolated. When
	// idle, a member receives about one datagram in each interval, so that chance alone causes this once in e^20
	// intervals. A larger number detects isolation later.
	isolationProbePeriods = 20
	// recentProbes is the number of the last probes whose outcomes View.recentMisses holds.
	recentProbes     = 4
	recentProbesMask = 1<<recentProbes - 1
	// minRecentMisses is the number of these that must be missed for a partition to be assumed.
	minRecentMisses = 3
	// maxSweepProbes is the number of probes in each interval during a partition. A larger number detects the members
	// behind the partition sooner and uses more of the budget.
	maxSweepProbes = 10
	// minOnTimePeriod is the time for which all steps must have been on time before missed probes count as a sign of a
	// partition: a slow process misses answers too.
	minOnTimePeriod = 3 * time.Second
	// partitionedPeriod is the time for which a partition is taken into account after its last sign. By then the members
	// behind it are dead, or there was no partition.
	partitionedPeriod = 10 * time.Second
)

// probeOutcome is the outcome of a probe in this region, as a bit of View.recentMisses.
type probeOutcome uint8

const (
	outcomeAnswered probeOutcome = iota
	outcomeMissed
)

// recordProbeOutcome records the outcome of a probe, and checks for a partition.
func (v *View) recordProbeOutcome(outcome probeOutcome) {
	v.recentMisses = (v.recentMisses<<1 | uint8(outcome)) & recentProbesMask
	if v.isPartitioned() {
		v.partitionedUntil = v.now + partitionedPeriod
		v.probeAt = min(v.probeAt, v.now+v.settings.ProbeInterval) // local health may have delayed it
	}
}

// isPartitioned reports whether most members seem to be behind a partition while this process is not slow itself.
func (v *View) isPartitioned() bool {
	return bits.OnesCount8(v.recentMisses) >= minRecentMisses &&
		v.now-v.lateStepAt >= minOnTimePeriod &&
		!v.settings.Baseline.NoLifeguard
}

// isolationTimeout returns the time without datagrams after which this member counts as isolated.
func (v *View) isolationTimeout() time.Duration {
	probe := v.settings.ProbeTimeout + v.settings.IndirectTimeout
	return max(2*v.minSuspicion()+probe, isolationProbePeriods*v.settings.ProbeInterval)
}

// canBeIsolated reports whether a lack of datagrams can mean isolation: not before this member has contacted the fleet.
func (v *View) canBeIsolated() bool {
	return !v.isolated && len(v.live) > 0 && (v.joined || v.contacted) && !v.settings.Baseline.NoLifeguard
}

// checkIsolation marks this member as isolated if no datagrams have arrived for too long.
func (v *View) checkIsolation() {
	if !v.canBeIsolated() || v.now < v.lastReceivedAt+v.isolationTimeout() {
		return
	}
	v.isolated = true
	v.isolatedAt = v.now
	v.emit(Isolated{Members: len(v.live)})
	// The current suspicions may result from the isolation itself, and must not be gossiped when it ends.
	for _, m := range slices.Clone(v.suspects) {
		r := m.Record
		r.State = Alive
		r.Reporter = ""
		v.setRecord(m, r, recordChange{reason: ReasonIsolated})
	}
	v.updateReachability(v.live, ReasonIsolated)
}

// endIsolation records that a datagram of a member at addr arrived, which ends an isolation.
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
			return // the sweep continues in the next interval
		}
		if !v.startProbe(target, sweepHelpers) {
			return
		}
	}
}

// nextSweepTarget removes and returns the next alive member of the sweep order, or nil if none is left.
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
