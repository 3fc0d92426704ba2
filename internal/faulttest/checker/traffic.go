package checker

import (
	"time"
)

// minIdleSeconds is for how many seconds a daemon must have been at rest for its traffic to be checked. Fewer would
// let a single late datagram count.
const minIdleSeconds = 5

// idleTraffic is what a daemon sent to its peers at rest.
type idleTraffic struct{ bytes, seconds int }

// applyTraffic applies what a daemon sent to its peers in the last second.
func (j *checker) applyTraffic(l *Line) {
	j.maxBytes.Tried++
	j.maxBytes.recordMargin(float64(l.Bytes), "%d bytes (%s)", l.Bytes, l.Of)
	if l.Bytes > j.bounds.MaxBytes {
		j.maxBytes.recordBreak(l.T, j.base, "%s sent %d bytes in a second", l.Of, l.Bytes)
	}
	j.checkRegionTraffic(l)
	isAtRest := l.T-int64(time.Second) > j.truthChangedAt+int64(j.bounds.Settle)
	if isAtRest && j.areLinksUndisturbed() && len(j.limits.limits) == 0 && j.servers.areAllHealthy(l.T) {
		sum := j.idleTraffic[l.Of]
		j.idleTraffic[l.Of] = idleTraffic{bytes: sum.bytes + l.Bytes, seconds: sum.seconds + 1}
	}
}

// checkIdleTraffic checks the traffic at rest, at the end.
func (j *checker) checkIdleTraffic() {
	for _, name := range sortedKeys(j.idleTraffic) {
		sum := j.idleTraffic[name]
		if sum.seconds < minIdleSeconds {
			continue
		}
		j.idleBytes.Tried++
		rate := float64(sum.bytes) / float64(sum.seconds)
		j.idleBytes.recordMargin(rate, "%.0f bytes a second (%s)", rate, name)
		if rate > float64(j.bounds.MaxIdleBytes) {
			j.idleBytes.recordBreak(j.now, j.base, "%s sent %.0f bytes a second over %d s at rest", name, rate, sum.seconds)
		}
	}
}

// checkRegionTraffic takes what a daemon sent to other regions in a second, and notes that it may have doubted its own.
func (j *checker) checkRegionTraffic(l *Line) {
	var own *process
	for _, pid := range j.order {
		if p := j.processes[pid]; p.name == l.Of && p.up && !p.duplicate {
			own = p
		}
	}
	if own == nil || own.region == "" {
		return
	}
	j.remoteBytes.Tried++
	j.remoteBytes.recordMargin(float64(l.Far), "%d bytes (%s)", l.Far, l.Of)
	if l.Far > j.bounds.MaxRemoteBytes {
		j.remoteBytes.recordBreak(l.T, j.base, "%s sent other regions %d bytes in a second", l.Of, l.Far)
	}
	if j.isPartitioned(own.region) {
		j.regionCalm.Tried++
	}
	for _, name := range sortedKeys(own.view) {
		if s := own.view[name]; s.regionSuspectedAt > 0 && l.T-s.regionSuspectedAt > int64(j.bounds.MaxSuspicion) {
			s.regionSuspectedAt = 0
			j.regionCalm.recordBreak(l.T, j.base, "%s doubts %s, of its region, for more than %v", own.name, name, j.bounds.MaxSuspicion)
		}
	}
}
