package membership

import "time"

// A member that is slow, was paused or is badly connected would suspect healthy ones: it misses their answers. Lifeguard
// has it doubt itself first. Its local health multiplier grows with each sign of that and shrinks with each direct
// answer; timeouts and intervals are scaled by it.

const (
	// maxLocalHealth bounds the multiplier: timeouts grow up to ninefold (Lifeguard's default). Larger delays the
	// detection of crashes by a member that is itself at fault.
	maxLocalHealth = 8
	// minPause is how late a step must come to count as a pause of this process. The scheduler of a busy host delays
	// steps by tens of milliseconds; probe timeouts are 100 ms.
	minPause = 150 * time.Millisecond
	// lateStepThreshold is how late a step must come for this process to count as slow, which is less than a pause.
	lateStepThreshold = 75 * time.Millisecond
	// longPause is a pause after which this member asks another one for its view, and withdraws what it was about to
	// gossip of suspects and deaths.
	longPause = time.Second
)

// checkLateness notices a step that came late.
func (v *View) checkLateness() {
	late := v.now - v.wakeAt
	if late <= lateStepThreshold {
		return
	}
	v.lateStepAt = v.now
	v.lastReceivedAt += late // datagrams of that time are still unread
	if late > minPause {
		v.resumeAfterPause(late)
	}
}

// resumeAfterPause discards what a pause of this process has falsified. Conclusions from that time would rest on
// answers that it has not read in time: so no probe of that time counts, no suspicion ends sooner than if the time had
// not passed, and suspicions of its own begin anew.
func (v *View) resumeAfterPause(pause time.Duration) {
	if v.settings.Baseline.NoLifeguard {
		return
	}
	v.probes = nil
	v.probeAt = v.now + v.randomUpTo(v.settings.ProbeInterval)
	for _, r := range v.sortedRegions {
		r.missedProbes = 0
		r.lastAckAt = v.now
	}
	for _, m := range v.suspects {
		m.suspicion.startedAt += pause
		if m.suspicion.reportedHere {
			m.suspicion.startedAt = v.now
		}
	}
	v.suspicionsAt = 0
	v.degradeHealth(1 + int(pause/time.Second))
	if pause < longPause {
		return
	}
	v.emit(SelfSuspected{Pause: pause, Health: v.localHealth})
	v.exchange.scheduleIn(v, 0)
	v.updates.removeAbout(func(m *member) bool { return m.State == Suspect || m.State == Dead })
}

// degradeHealth counts signs that this member itself is slow or badly connected.
func (v *View) degradeHealth(signs int) {
	if !v.settings.Baseline.NoLifeguard {
		v.localHealth = min(maxLocalHealth, v.localHealth+signs)
	}
}

// improveHealth counts a sign that it is not.
func (v *View) improveHealth() { v.localHealth = max(0, v.localHealth-1) }

// scaledByHealth lengthens a timeout or interval while this member doubts itself. In a partition it does not: there the
// missing answers are explained.
func (v *View) scaledByHealth(d time.Duration) time.Duration {
	if v.isPartitioned() {
		return d
	}
	return d * time.Duration(1+v.localHealth)
}
