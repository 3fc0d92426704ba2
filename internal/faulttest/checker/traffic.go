package checker

import (
	"time"
)

// minIdleSeconds is the number of seconds at rest after which a daemon's traffic is checked. With fewer, a single late
// datagram would count.
const minIdleSeconds = 5

// idleTraffic counts what a daemon sent to its peers at rest.
type idleTraffic struct{ bytes, seconds int }

// applyTraffic applies what a daemon sent to its peers in the last second.
func (ck *checker) applyTraffic(l *Line) {
	ck.maxBytes.Tried++
	ck.maxBytes.recordMargin(float64(l.Bytes), "%d bytes (%s)", l.Bytes, l.Of)
	if l.Bytes > ck.bounds.MaxBytes {
		ck.maxBytes.recordBreak(l.T, ck.base, "%s sent %d bytes in a second", l.Of, l.Bytes)
	}
	ck.checkRegionTraffic(l)
	isAtRest := l.T-int64(time.Second) > ck.truthChangedAt+int64(ck.bounds.Settle)
	if isAtRest && ck.areLinksUndisturbed() && len(ck.limits.limits) == 0 && ck.servers.areAllHealthy(l.T) {
		sum := ck.idleTraffic[l.Of]
		ck.idleTraffic[l.Of] = idleTraffic{bytes: sum.bytes + l.Bytes, seconds: sum.seconds + 1}
	}
}

// checkIdleTraffic checks the traffic at rest, at the end.
func (ck *checker) checkIdleTraffic() {
	for _, name := range sortedKeys(ck.idleTraffic) {
		sum := ck.idleTraffic[name]
		if sum.seconds < minIdleSeconds {
			continue
		}
		ck.idleBytes.Tried++
		rate := float64(sum.bytes) / float64(sum.seconds)
		ck.idleBytes.recordMargin(rate, "%.0f bytes a second (%s)", rate, name)
		if rate > float64(ck.bounds.MaxIdleBytes) {
			ck.idleBytes.recordBreak(ck.now, ck.base, "%s sent %.0f bytes a second over %d s at rest", name, rate, sum.seconds)
		}
	}
}

// checkRegionTraffic checks what a daemon sent to other regions in a second, and its suspicions of members of its own
// region.
func (ck *checker) checkRegionTraffic(l *Line) {
	var own *process
	for _, pid := range ck.order {
		if p := ck.processes[pid]; p.name == l.Of && p.up && !p.duplicate {
			own = p
		}
	}
	if own == nil || own.region == "" {
		return
	}
	ck.remoteBytes.Tried++
	ck.remoteBytes.recordMargin(float64(l.Far), "%d bytes (%s)", l.Far, l.Of)
	if l.Far > ck.bounds.MaxRemoteBytes {
		ck.remoteBytes.recordBreak(l.T, ck.base, "%s sent other regions %d bytes in a second", l.Of, l.Far)
	}
	if ck.isPartitioned(own.region) {
		ck.noRegionSuspicion.Tried++
	}
	for _, name := range sortedKeys(own.view) {
		if s := own.view[name]; s.regionSuspectedAt > 0 && l.T-s.regionSuspectedAt > int64(ck.bounds.MaxSuspicion) {
			s.regionSuspectedAt = 0
			ck.noRegionSuspicion.recordBreak(l.T, ck.base, "%s suspects %s, of its own region, for more than %v", own.name, name, ck.bounds.MaxSuspicion)
		}
	}
}
