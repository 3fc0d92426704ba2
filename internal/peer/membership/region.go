package membership

import (
	"cmp"
	"hash/fnv"
	"io"
	"slices"
	"time"
)

// A fleet in regions. Inside its own region a member probes, accuses and tells as in a fleet of that size. Of another
// region it takes the word: its deaths are found by those that are near. What must cross is told by a few members of
// each region for each other one, its watchers, whom all of the region know by rank. They probe the other region, tell
// it what is new in their own, and compare digests. Where none of them reaches it any more, directly or through third
// regions, they say so in their own records, and all of the region hold it for unreachable: its members are shown as
// dead without a word about any of them, and as before when a watcher is answered again.
type region struct {
	name        string
	hash        uint32
	live        []*member // alive or suspect by their records, without this member
	dead        []*member // dead
	unreachable bool      // no watcher reaches it
	changedAt   time.Duration
	watchers    []watcher // of this member's region, for it

	// As one of its watchers:
	watched             bool
	rank                int
	reportedUnreachable bool // it is not reached: part of this member's own record
	probeUnanswered     bool // its last probe was not answered in time by its target
	missedProbes        int  // probes, one after another
	lastAckAt           time.Duration
	probeAt             time.Duration
	lastHelper          string // the helper through which it was last reached
	updates             updateQueue
	gossipAt            time.Duration
	differsSince        time.Duration // since when digests from there differ; 0: they do not
}

// watcher is one of those that watch a region for their own.
type watcher struct {
	member      *member
	since       time.Duration // it is one here
	hasReported bool          // it has said meanwhile that it does not reach it
}

const (
	maxWatchers         = 3                      // of a region for another one
	remoteTransmissions = 2                      // each of them tells what is new
	remoteProbeInterval = 2 * time.Second        // between a watcher's probes of a region
	remoteRetryInterval = 400 * time.Millisecond // while the last one was not answered
	maxRemoteHelpers    = 2                      // of third regions, asked where a far one does not answer
	minRemoteMisses     = 4                      // one after another, and longer than a pause that is borne: it is not reached
	watcherSettleTime   = 6 * time.Second        // a new watcher has found out by then
	maxRegions          = 64                     // known; members of further ones count as in none
	remoteBudgetDivisor = 4                      // FarBytes is this part of Bytes by default
)

// Why members are shown otherwise though their records are the same.
const (
	ReasonRegionUnreachable = "it is not reached, and nobody near it either"
	ReasonRegionReachable   = "it may be reached again"
)

// regionOf finds a region by its name, or begins it.
func (v *View) regionOf(name string) *region {
	r := v.regions[name]
	if r == nil && len(v.regions) >= maxRegions {
		name = ""
		r = v.regions[name]
	}
	if r == nil {
		h := fnv.New32a()
		_, _ = io.WriteString(h, name)
		r = &region{name: name, hash: h.Sum32(), lastAckAt: -never}
		v.regions[name] = r
		i, _ := slices.BinarySearchFunc(v.sortedRegions, name, func(r *region, name string) int { return cmp.Compare(r.name, name) })
		v.sortedRegions = slices.Insert(v.sortedRegions, i, r)
		v.regionsCheckAt = v.now
	}
	return r
}

// isRemote reports whether a member stands in another region than this one.
func (v *View) isRemote(m *member) bool { return m.region != v.localRegion }

// isUnreachable reports whether a member that may be alive can't be reached.
func (v *View) isUnreachable(m *member) bool {
	return m != v.self && (v.isolated || m.region.unreachable)
}

// effectiveState is a member's state as it is for all but the protocol.
func (m *member) effectiveState() State {
	if m.unreachable && m.State <= Suspect {
		return Dead
	}
	return m.State
}

// effectiveRecord is a member's record as the daemon and its operators are to see it.
func (v *View) effectiveRecord(m *member) Record {
	r := v.outgoingRecord(m)
	if m.effectiveState() != m.State {
		r.State, r.Reporter, r.AgeSeconds = Dead, "", uint32(max(0, v.now-v.unreachableSince(m))/time.Second)
	}
	return r
}

func (v *View) unreachableSince(m *member) time.Duration {
	if m.region.unreachable && (!v.isolated || m.region.changedAt < v.isolatedAt) {
		return m.region.changedAt
	}
	return v.isolatedAt
}

// updateReachability brings all members of a list up to whether they are hidden.
func (v *View) updateReachability(list []*member, why string) {
	for _, m := range list {
		was := m.effectiveState()
		v.sizes.add(m, -1)
		m.unreachable = v.isUnreachable(m)
		v.sizes.add(m, 1)
		if m.effectiveState() != was {
			v.emit(MemberChanged{Record: v.effectiveRecord(m), Previous: was, Reason: why})
		}
	}
}

// watcherRank orders members as watchers of a region: all that know the same members find the same ones.
func (r *region) watcherRank(m *member) uint64 {
	return mix(m.nameHash ^ uint64(r.hash)*0x9e3779b97f4a7c15)
}

// reportsUnreachable reports whether a member says that it does not reach a region.
func reportsUnreachable(m *member, r *region) bool {
	return slices.Contains(m.UnreachableRegions, r.hash)
}

// regionsDue finds who watches each region, and which ones are not reached any more.
func (v *View) regionsDue() {
	if v.now < v.regionsCheckAt {
		return
	}
	v.regionsCheckAt = never
	for _, r := range v.sortedRegions {
		if r == v.localRegion || len(r.live)+len(r.dead) == 0 {
			continue
		}
		v.selectWatchers(r)
		reached, mute, young := false, false, false
		for i := range r.watchers {
			w := &r.watchers[i]
			is := reportsUnreachable(w.member, r)
			w.hasReported = w.hasReported || is
			switch {
			case is:
				mute = true
			case w.hasReported || v.now-w.since >= watcherSettleTime:
				reached = true
			default:
				young = true
				v.regionsCheckAt = min(v.regionsCheckAt, w.since+watcherSettleTime)
			}
		}
		away := r.unreachable
		if reached {
			away = false
		} else if mute && !young {
			away = true
		}
		if away != r.unreachable {
			r.unreachable, r.changedAt = away, v.now
			v.emit(RegionReachability{Region: r.name, Unreachable: away, Members: len(r.live)})
			why := ReasonRegionReachable
			if away {
				why = ReasonRegionUnreachable
			}
			v.updateReachability(r.live, why)
		}
	}
}

// selectWatchers finds the watchers of a region: those of the highest rank of this member's region.
func (v *View) selectWatchers(r *region) {
	top := make([]*member, 0, maxWatchers+1)
	put := func(m *member) {
		if len(top) == maxWatchers && r.watcherRank(top[maxWatchers-1]) >= r.watcherRank(m) {
			return
		}
		i := 0
		for i < len(top) && r.watcherRank(top[i]) >= r.watcherRank(m) {
			i++
		}
		if top = slices.Insert(top, i, m); len(top) > maxWatchers {
			top = top[:maxWatchers]
		}
	}
	put(v.self)
	for _, m := range v.localRegion.live {
		// With a few behind a cut there is no time to see the watchers beyond it die.
		if m.State == Suspect && v.now < v.partitionedUntil {
			continue
		}
		put(m)
	}
	was, self := r.watchers, false
	r.watchers = nil
	for rank, m := range top {
		w := watcher{member: m, since: v.now}
		if i := slices.IndexFunc(was, func(o watcher) bool { return o.member == m }); i >= 0 {
			w = was[i]
		}
		r.watchers = append(r.watchers, w)
		if m == v.self {
			self, r.rank = true, rank
		}
	}
	if self != r.watched {
		r.watched = self
		r.missedProbes, r.probeUnanswered, r.lastAckAt, r.probeAt, r.differsSince, r.updates = 0, false, v.now, v.now+v.randomUpTo(remoteRetryInterval), 0, updateQueue{}
		v.reportReachability(r, self && r.unreachable)
	}
}

// reportReachability says in this member's own record whether it reaches a region.
func (v *View) reportReachability(r *region, mute bool) {
	if r.reportedUnreachable == mute {
		return
	}
	r.reportedUnreachable = mute
	v.self.UnreachableRegions = nil
	for _, o := range v.sortedRegions {
		if o.reportedUnreachable {
			v.self.UnreachableRegions = append(v.self.UnreachableRegions, o.hash)
		}
	}
	v.self.Incarnation++
	v.announce(v.self)
	v.regionsCheckAt = v.now
	if r.missedProbes = 0; mute {
		r.updates = updateQueue{}
	}
}

// watchedRegionsDue probes the regions that this member watches, and tells them what is new in its own.
func (v *View) watchedRegionsDue() {
	for _, r := range v.sortedRegions {
		if !r.watched || r == v.localRegion {
			continue
		}
		if !r.updates.empty() && v.now >= r.gossipAt {
			r.gossipAt = v.now + gossipInterval
			for _, m := range v.sample(r.live, 1, func(m *member) bool { return true }) {
				v.sendToMember(m, &Message{Kind: Gossip}, reserveForProbes)
			}
		}
		if v.now < r.probeAt {
			continue
		}
		every := remoteProbeInterval
		if r.probeUnanswered && !r.reportedUnreachable {
			every = remoteRetryInterval
		}
		r.probeAt = v.now + every/2 + v.randomUpTo(every)
		list := r.live
		if len(list) == 0 {
			list = r.dead
		}
		for _, m := range v.sample(list, 1, func(m *member) bool { return !v.isProbing(m.Name) }) {
			p := &probe{target: m.Name, seq: v.nextSeq(), sentAt: v.now, remoteRegion: r, until: v.now + v.probeTimeout(m)}
			if v.sendToMember(m, &Message{Kind: Ping, Seq: p.seq, Target: m.Name}, reserveForResponses, unlessAlive(m)) {
				v.probes = append(v.probes, p)
			}
		}
	}
}

// watchedRegionTimers is when watchDue has something to do.
func (v *View) watchedRegionTimers(at func(time.Duration)) {
	for _, r := range v.sortedRegions {
		if !r.watched || r == v.localRegion {
			continue
		}
		if at(r.probeAt); !r.updates.empty() {
			at(r.gossipAt)
		}
	}
}

// hastenRegionProbe has a region probed more often, since a probe was not answered in time.
func (v *View) hastenRegionProbe(r *region) {
	if r.probeUnanswered = true; !r.reportedUnreachable {
		r.probeAt = min(r.probeAt, v.now+v.randomUpTo(remoteRetryInterval))
	}
}

// regionAnswered takes note that a probe of a far region was answered, by its target or a helper.
func (v *View) regionAnswered(r *region, m *member) {
	r.missedProbes, r.probeUnanswered, r.lastAckAt = 0, false, v.now
	if r.reportedUnreachable {
		v.reportReachability(r, false)
		v.exchange.requestWith(v, m.Addr) // there may be much to tell
	}
}

// regionProbeFailed judges a probe of a far region. It accuses nobody: a death there is for those that are near to tell.
func (v *View) regionProbeFailed(r *region) {
	if !r.watched {
		return
	}
	if r.missedProbes++; r.missedProbes >= minRemoteMisses && v.now-r.lastAckAt >= v.minSuspicion()+v.settings.ProbeTimeout+v.settings.IndirectTimeout && !r.reportedUnreachable {
		v.reportReachability(r, true)
	}
}

// compareRemoteDigest looks at a digest from another region. One watcher after the other opens an exchange, by rank.
func (v *View) compareRemoteDigest(from *member, digest uint64) {
	r, x := from.region, &v.exchange
	if !r.watched {
		return
	}
	switch {
	case digest == v.digest:
		r.differsSince = 0
	case r.differsSince == 0:
		r.differsSince = v.now
	case v.now-r.differsSince >= time.Duration(1+r.rank)*time.Second && v.updates.empty() && x.scheduledAt == 0:
		r.differsSince = v.now
		x.requestWith(v, from.Addr)
	}
}

// queueUpdate has a member's state told on: in this member's region, and, if it stands there itself, to those regions that
// this member watches. A suspicion does not cross: its end does.
func (v *View) queueUpdate(m *member, by string) {
	v.updates.put(m, by)
	if v.isRemote(m) || m.State == Suspect {
		return
	}
	for _, r := range v.sortedRegions {
		if r.watched && !r.reportedUnreachable && r != v.localRegion {
			r.updates.put(m, "")
		}
	}
}

// near is a record as those take it that stand elsewhere: a suspicion is for those that are near.
func (v *View) normalize(r Record) Record {
	if r.State == Suspect && v.isRemoteRegion(r.Region) {
		r.State, r.Reporter = Alive, ""
	}
	return r
}

// isRemoteRegion reports whether a region of this name is another one than this member's.
func (v *View) isRemoteRegion(name string) bool {
	if name == v.localRegion.name {
		return false
	}
	return v.regionOf(name) != v.localRegion
}

// RegionStatus is how a region stands as seen from here.
type RegionStatus struct {
	Name               string
	Members, Dead      int // by their records
	Local, Unreachable bool
	UnreachableFor     time.Duration // so long it has not been reached
	Watchers           []string
	RoundTrip          time.Duration // there and back, in the mean; 0: it is not known
}

// Regions are all that are known, by name; nil where there is one alone.
func (v *View) Regions() (all []RegionStatus) {
	for _, r := range v.sortedRegions {
		s := RegionStatus{Name: r.name, Members: len(r.live), Dead: len(r.dead), Local: r == v.localRegion, Unreachable: r.unreachable}
		if s.Local {
			s.Members++
		} else if s.Members+s.Dead == 0 {
			continue
		}
		if r.unreachable {
			s.UnreachableFor = v.now - r.changedAt
		}
		for _, w := range r.watchers {
			s.Watchers = append(s.Watchers, w.member.Name)
		}
		if d := v.localities[locality{r.name, ""}]; d != nil {
			s.RoundTrip = time.Duration(float64(d.mean) * float64(time.Second))
		}
		all = append(all, s)
	}
	if len(all) < 2 {
		return nil
	}
	return all
}

// Isolated reports whether nobody is heard.
func (v *View) Isolated() bool { return v.isolated }
