package membership

import "time"

// A member that is slow, was paused or is badly connected misses answers, and would suspect healthy members. With
// Lifeguard such a member first assumes that it is itself at fault: its local health multiplier grows with each sign
// of such a condition and shrinks with each direct answer. Timeouts and intervals are scaled by the multiplier.

const (
	// maxLocalHealth bounds the multiplier: timeouts grow up to ninefold (Lifeguard's default). A larger bound delays
	// the detection of crashes by a member that is itself at fault.
	maxLocalHealth = 8
	// minPause is the minimum lateness of a step that counts as a pause of this process. The scheduler of a busy host
	// delays steps by tens of milliseconds; probe timeouts are 100 ms.
	minPause = 150 * time.Millisecond
	// lateStepThreshold is the lateness of a step above which this process counts as slow, even if it was not paused.
	lateStepThreshold = 75 * time.Millisecond
	// longPause is the minimum length of a pause after which this member requests another member's view, and drops its
	// queued updates about suspects and deaths.
	longPause = time.Second
)

// checkLateness checks whether the current step is late.
func (v *View) checkLateness() {
	late := v.now - v.wakeAt
	if late <= lateStepThreshold {
		return
	}
	v.lateStepAt = v.now
	v.lastReceivedAt += late // datagrams that arrived in the meantime have not been read yet
	if late > minPause {
		v.resumeAfterPause(late)
	}
}

// resumeAfterPause resets state that a pause of this process made unreliable, because answers that arrived during the
// pause were not read in time. Pending probes don't count, suspicions are extended by the pause, and suspicions
// reported by this member start again.
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
	v.emit(PauseDetected{Pause: pause, Health: v.localHealth})
	v.exchange.scheduleIn(v, 0)
	v.updates.removeAbout(func(m *member) bool { return m.State == Suspect || m.State == Dead })
}

// degradeHealth counts signs that this member itself is slow or badly connected: it raises the multiplier.
func (v *View) degradeHealth(signs int) {
	if !v.settings.Baseline.NoLifeguard {
		v.localHealth = min(maxLocalHealth, v.localHealth+signs)
	}
}

// improveHealth counts a sign that this member works well: it lowers the multiplier.
func (v *View) improveHealth() { v.localHealth = max(0, v.localHealth-1) }

// scaledByHealth scales a timeout or interval by the local health multiplier. During a partition it returns d
// unchanged, because the partition explains the missing answers.
func (v *View) scaledByHealth(d time.Duration) time.Duration {
	if v.isPartitioned() {
		return d
	}
	return d * time.Duration(1+v.localHealth)
}
