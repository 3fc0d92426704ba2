package membership

import (
	"cmp"
	"slices"
	"time"
)

// A fleet may span regions (failure domains). Within its own region a member probes, suspects and gossips as in a fleet
// of that size. For other regions it accepts gossiped records: the members of each region detect failures there.
//
// Traffic between regions is limited to watchers: a few members of each region for each other region. All members of a
// region select the same watchers by rank. Watchers probe the other region, send it the updates of their own region,
// and compare digests. If no watcher reaches the other region any more, directly or through third regions, the
// watchers report that in their own records. All members of their region then consider it unreachable: its members are
// shown as dead while their records stay unchanged. Once a watcher receives an answer again, the members are again
// shown as in their records.

// region is the state of a region in this member's view.
type region struct {
	name        string
	hash        uint32    // hash of the name, as used in Record.UnreachableRegions
	live        []*member // other members that are alive or suspect by their records
	dead        []*member
	unreachable bool          // the watchers report that they can't reach the region
	changedAt   time.Duration // when unreachable last changed
	watchers    []watcher     // the members of this member's region that watch the region, by rank

	// The remaining fields are used while this member is one of the watchers.
	watched             bool
	rank                int           // rank of this member among the watchers, from 0
	reportedUnreachable bool          // this member's own record reports the region as unreachable
	probeUnanswered     bool          // the target of the last probe did not answer in time
	missedProbes        int           // number of consecutive probes that failed
	lastAckAt           time.Duration // when a probe was last answered
	probeAt             time.Duration // when the next probe is due
	lastHelper          string        // the helper through which the region was last reached
	updates             updateQueue   // updates about this member's region to send to this region
	gossipAt            time.Duration
	differsSince        time.Duration // since when digests from the region differ; 0: they agree
}

// maxRegions is the maximum number of regions in a view; members of further regions count as members without a region.
const maxRegions = 64

// regionNamed returns the region with this name, and adds it if it does not exist.
func (v *View) regionNamed(name string) *region {
	r := v.regions[name]
	if r == nil && len(v.regions) >= maxRegions {
		name = ""
		r = v.regions[name]
	}
	if r == nil {
		r = v.addRegion(name)
	}
	return r
}

func (v *View) addRegion(name string) *region {
	r := &region{name: name, hash: nameHash32(name), lastAckAt: -never}
	v.regions[name] = r
	i, _ := slices.BinarySearchFunc(v.sortedRegions, name, func(r *region, name string) int {
		return cmp.Compare(r.name, name)
	})
	v.sortedRegions = slices.Insert(v.sortedRegions, i, r)
	v.regionsCheckAt = v.now
	return r
}

// isRemote reports whether a member belongs to another region than this member.
func (v *View) isRemote(m *member) bool { return m.region != v.localRegion }

// isRemoteRegion reports whether a region's name denotes another region than this member's.
func (v *View) isRemoteRegion(name string) bool {
	if name == v.localRegion.name {
		return false
	}
	return v.regionNamed(name) != v.localRegion
}

// withoutRemoteSuspicion changes the state of a suspect in another region to Alive, because only members of its own
// region handle suspicions.
func (v *View) withoutRemoteSuspicion(r Record) Record {
	if r.State == Suspect && v.isRemoteRegion(r.Region) {
		r.State = Alive
		r.Reporter = ""
	}
	return r
}

// isUnreachable reports whether a member can't be reached, whatever state its record has.
func (v *View) isUnreachable(m *member) bool {
	return m != v.self && (v.isolated || m.region.unreachable)
}

// unreachableSince returns when a member became unreachable. The member must be unreachable now.
func (v *View) unreachableSince(m *member) time.Duration {
	if m.region.unreachable && (!v.isolated || m.region.changedAt < v.isolatedAt) {
		return m.region.changedAt
	}
	return v.isolatedAt
}

// updateReachability updates whether members can be reached.
func (v *View) updateReachability(members []*member, reason string) {
	for _, m := range members {
		previous := m.effectiveState()
		v.sizes.remove(m)
		m.unreachable = v.isUnreachable(m)
		v.sizes.add(m)
		if m.effectiveState() != previous {
			v.emit(MemberChanged{Record: v.effectiveRecord(m), Previous: previous, Reason: reason})
		}
	}
}

// updateRegions selects the watchers of each region, and updates which regions are unreachable.
func (v *View) updateRegions() {
	if v.now < v.regionsCheckAt {
		return
	}
	v.regionsCheckAt = never
	for _, r := range v.sortedRegions {
		if r == v.localRegion || len(r.live)+len(r.dead) == 0 {
			continue
		}
		v.selectWatchers(r)
		if unreachable := v.isUnreachableByReports(r); unreachable != r.unreachable {
			v.setRegionReachability(r, unreachable)
		}
	}
}

func (v *View) setRegionReachability(r *region, unreachable bool) {
	r.unreachable = unreachable
	r.changedAt = v.now
	v.emit(RegionReachability{Region: r.name, Unreachable: unreachable, Members: len(r.live)})
	reason := ReasonRegionReachable
	if unreachable {
		reason = ReasonRegionUnreachable
	}
	v.updateReachability(r.live, reason)
}

// isUnreachableByReports determines from the watchers' reports whether a region is unreachable. A single watcher that
// reaches the region makes it reachable. A new watcher that has not reported the region counts as reaching it only
// after watcherSettleTime. The region becomes unreachable if all watchers report it; while some of them are undecided,
// or if there are no watchers, its state stays unchanged.
func (v *View) isUnreachableByReports(r *region) bool {
	reached := false
	reportedUnreachable := false
	undecided := false
	for i := range r.watchers {
		w := &r.watchers[i]
		reports := reportsUnreachable(w.member, r)
		w.hasReported = w.hasReported || reports
		switch {
		case reports:
			reportedUnreachable = true
		case w.hasReported || v.now-w.since >= watcherSettleTime:
			reached = true
		default:
			undecided = true
			v.regionsCheckAt = min(v.regionsCheckAt, w.since+watcherSettleTime)
		}
	}
	switch {
	case reached:
		return false
	case reportedUnreachable && !undecided:
		return true
	}
	return r.unreachable
}

// RegionStatus is the state of a region in this view.
type RegionStatus struct {
	Name           string
	Members        int // alive or suspect by their records
	Dead           int
	Local          bool // this is the region of the local member
	Unreachable    bool
	UnreachableFor time.Duration
	Watchers       []string      // names of the watchers in the local member's region
	RoundTrip      time.Duration // smoothed; 0: no estimate
}

// Regions returns all regions with members, by name, or nil if there is only one.
func (v *View) Regions() []RegionStatus {
	var all []RegionStatus
	for _, r := range v.sortedRegions {
		if r == v.localRegion || len(r.live)+len(r.dead) > 0 {
			all = append(all, v.regionStatus(r))
		}
	}
	if len(all) < 2 {
		return nil
	}
	return all
}

func (v *View) regionStatus(r *region) RegionStatus {
	status := RegionStatus{
		Name:        r.name,
		Members:     len(r.live),
		Dead:        len(r.dead),
		Local:       r == v.localRegion,
		Unreachable: r.unreachable,
	}
	if status.Local {
		status.Members++ // this member
	}
	if r.unreachable {
		status.UnreachableFor = v.now - r.changedAt
	}
	for _, w := range r.watchers {
		status.Watchers = append(status.Watchers, w.member.Name)
	}
	if estimate := v.localities[locality{r.name, ""}]; estimate != nil {
		status.RoundTrip = estimate.average()
	}
	return status
}
