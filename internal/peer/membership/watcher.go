package membership

import (
	"slices"
	"time"
)

// watcher is a member that watches another region on behalf of its own region.
type watcher struct {
	member *member
	since  time.Duration // when it became a watcher
	// hasReported means that the watcher has reported the region as unreachable since then. If its record no longer
	// reports that, it reaches the region.
	hasReported bool
}

const (
	// maxWatchers is the number of watchers that each region has for each other region. More watchers tolerate more
	// simultaneous crashes and cost more probes between regions.
	maxWatchers = 3
	// remoteTransmissions is the number of times that each watcher sends an update to the region.
	remoteTransmissions = 2
	// remoteProbeInterval is the mean time between a watcher's probes of the region, and remoteRetryInterval the mean
	// time while the last probe is unanswered. Shorter intervals detect an unreachable region sooner.
	remoteProbeInterval = 2 * time.Second
	remoteRetryInterval = 400 * time.Millisecond
	// maxRemoteHelpers is the number of members of third regions that receive requests to probe the region.
	maxRemoteHelpers = 2
	// minRemoteMisses is the number of consecutive probes that must fail before a region is reported as unreachable.
	// The failures must also span the longest pause after which a member is not declared dead.
	minRemoteMisses = 4
	// watcherSettleTime is the time that a new watcher has to determine whether it reaches the region.
	watcherSettleTime = 6 * time.Second

	// watcherRankMultiplier is 2^64 divided by the golden ratio; it spreads the bits of a region's hash.
	watcherRankMultiplier = 0x9e3779b97f4a7c15
)

// watcherRank returns the rank of a member as a watcher of the region (rendezvous hashing). Members with equal views
// select the same watchers without an election.
func (r *region) watcherRank(m *member) uint64 {
	return mix(m.nameHash ^ uint64(r.hash)*watcherRankMultiplier)
}

// reportsUnreachable reports whether a member's record lists a region as one that the member can't reach.
func reportsUnreachable(m *member, r *region) bool {
	return slices.Contains(m.UnreachableRegions, r.hash)
}

// selectWatchers selects the watchers of a region: the members of this member's region with the highest ranks.
func (v *View) selectWatchers(r *region) {
	previous := r.watchers
	r.watchers = nil
	isWatcher := false
	for rank, m := range v.highestRanked(r) {
		w := watcher{member: m, since: v.now}
		if i := slices.IndexFunc(previous, func(p watcher) bool { return p.member == m }); i >= 0 {
			w = previous[i]
		}
		r.watchers = append(r.watchers, w)
		if m == v.self {
			isWatcher = true
			r.rank = rank
		}
	}
	if isWatcher != r.watched {
		v.setWatched(r, isWatcher)
	}
}

// highestRanked returns the members of this member's region with the highest ranks for r, the highest first.
func (v *View) highestRanked(r *region) []*member {
	top := make([]*member, 0, maxWatchers+1)
	consider := func(m *member) {
		rank := r.watcherRank(m)
		if len(top) == maxWatchers && r.watcherRank(top[maxWatchers-1]) >= rank {
			return
		}
		i := 0
		for i < len(top) && r.watcherRank(top[i]) >= rank {
			i++
		}
		top = slices.Insert(top, i, m)
		if len(top) > maxWatchers {
			top = top[:maxWatchers]
		}
	}
	consider(v.self)
	for _, m := range v.localRegion.live {
		// During a partition, suspects are replaced as watchers without waiting until they are declared dead.
		if m.State == Suspect && v.now < v.partitionedUntil {
			continue
		}
		consider(m)
	}
	return top
}

// setWatched sets whether this member watches a region. A new watcher first reports the region's present state in this
// view.
func (v *View) setWatched(r *region, watched bool) {
	r.watched = watched
	r.missedProbes = 0
	r.probeUnanswered = false
	r.lastAckAt = v.now
	r.probeAt = v.now + v.randomUpTo(remoteRetryInterval)
	r.differsSince = 0
	r.updates = updateQueue{}
	v.reportRegion(r, regionReport(watched && r.unreachable))
}

// regionReport is what a watcher's own record reports about the region that it watches.
type regionReport bool

const (
	reportReachable   regionReport = false
	reportUnreachable regionReport = true
)

// reportRegion changes what this member's own record reports about a region.
func (v *View) reportRegion(r *region, report regionReport) {
	if r.reportedUnreachable == bool(report) {
		return
	}
	r.reportedUnreachable = bool(report)
	v.self.UnreachableRegions = nil
	for _, other := range v.sortedRegions {
		if other.reportedUnreachable {
			v.self.UnreachableRegions = append(v.self.UnreachableRegions, other.hash)
		}
	}
	v.self.Incarnation++
	v.announce(v.self)
	v.regionsCheckAt = v.now
	r.missedProbes = 0
	if report == reportUnreachable {
		r.updates = updateQueue{}
	}
}

// runWatchedRegions sends updates to the regions that this member watches, and probes them.
func (v *View) runWatchedRegions() {
	for _, r := range v.sortedRegions {
		if !r.watched || r == v.localRegion {
			continue
		}
		if !r.updates.empty() && v.now >= r.gossipAt {
			r.gossipAt = v.now + gossipInterval
			for _, m := range v.sample(r.live, 1, anyMember) {
				v.sendToMember(m, &Message{Kind: Gossip}, reserveForProbes)
			}
		}
		if v.now >= r.probeAt {
			v.probeRegion(r)
		}
	}
}

// probeRegion probes one member of a watched region. If the region has no live members it probes a dead one, because
// the region may become reachable again.
func (v *View) probeRegion(r *region) {
	interval := remoteProbeInterval
	if r.probeUnanswered && !r.reportedUnreachable {
		interval = remoteRetryInterval
	}
	r.probeAt = v.now + interval/2 + v.randomUpTo(interval)
	candidates := r.live
	if len(candidates) == 0 {
		candidates = r.dead
	}
	for _, m := range v.sample(candidates, 1, func(m *member) bool { return !v.isProbing(m.Name) }) {
		p := &probe{
			target:       m.Name,
			seq:          v.nextSeq(),
			sentAt:       v.now,
			until:        v.now + v.probeTimeout(m),
			remoteRegion: r,
		}
		if v.sendPing(p, p.seq, m) {
			v.probes = append(v.probes, p)
		}
	}
}

// addRegionTimers adds the timers that runWatchedRegions handles.
func (v *View) addRegionTimers(next *earliest) {
	for _, r := range v.sortedRegions {
		if !r.watched || r == v.localRegion {
			continue
		}
		next.add(r.probeAt)
		if !r.updates.empty() {
			next.add(r.gossipAt)
		}
	}
}

// hastenRegionProbe makes probes of a region more frequent after a probe was not answered in time.
func (v *View) hastenRegionProbe(r *region) {
	r.probeUnanswered = true
	if !r.reportedUnreachable {
		r.probeAt = min(r.probeAt, v.now+v.randomUpTo(remoteRetryInterval))
	}
}

// regionAnswered handles an answered probe of a watched region. The target may have answered directly or through a
// helper.
func (v *View) regionAnswered(r *region, target *member) {
	r.missedProbes = 0
	r.probeUnanswered = false
	r.lastAckAt = v.now
	if r.reportedUnreachable {
		v.reportRegion(r, reportReachable)
		v.exchange.requestWith(v, target.Addr) // the views may differ in many records
	}
}

// regionProbeFailed counts a failed probe of a watched region. The target is not suspected, because members of its own
// region detect its failure.
func (v *View) regionProbeFailed(r *region) {
	if !r.watched {
		return
	}
	r.missedProbes++
	longestPause := v.minSuspicion() + v.settings.ProbeTimeout + v.settings.IndirectTimeout
	if r.missedProbes >= minRemoteMisses && v.now-r.lastAckAt >= longestPause && !r.reportedUnreachable {
		v.reportRegion(r, reportUnreachable)
	}
}

// compareRemoteDigest compares a digest from another region with this view's. If they keep differing, the region's
// watchers open an exchange one after another, in the order of their ranks.
func (v *View) compareRemoteDigest(from *member, digest uint64) {
	r := from.region
	if !r.watched {
		return
	}
	grace := digestGrace * time.Duration(1+r.rank)
	switch {
	case digest == v.digest:
		r.differsSince = 0
	case r.differsSince == 0:
		r.differsSince = v.now
	case v.now-r.differsSince >= grace && v.updates.empty() && v.exchange.scheduledAt == 0:
		r.differsSince = v.now
		v.exchange.requestWith(v, from.Addr)
	}
}
