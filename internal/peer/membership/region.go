package membership

import (
	"cmp"
	"slices"
	"time"
)

// A fleet may span regions (failure domains). Within its own region a member probes, suspects and gossips as in a fleet
// of that size. Of another region it accepts what is gossiped: members there find its deaths.
//
// What crosses regions is sent by a few members of each region for each other one, its watchers, which all members of
// the region select alike by rank. They probe the other region, send it the updates of their own, and compare digests.
// Where none of them reaches it any more, directly or through third regions, they report that in their own records.
// All members of their region then take it for unreachable: its members are shown as dead, without any change of their
// records, and as before once a watcher gets an answer again.

// region is what this member knows of a region.
type region struct {
	name        string
	hash        uint32    // of the name, as in Record.UnreachableRegions
	live        []*member // alive or suspect by their records, without this member
	dead        []*member
	unreachable bool          // by the reports of its watchers
	changedAt   time.Duration // unreachable changed
	watchers    []watcher     // of this member's region, by rank

	// The rest is used while this member is one of the watchers.
	watched             bool
	rank                int           // among the watchers, from 0
	reportedUnreachable bool          // this member's own record says so
	probeUnanswered     bool          // the target of the last probe did not answer in time
	missedProbes        int           // one after another
	lastAckAt           time.Duration // a probe was answered
	probeAt             time.Duration // the next probe
	lastHelper          string        // through which it was last reached
	updates             updateQueue   // of this member's region, for this one
	gossipAt            time.Duration
	differsSince        time.Duration // digests from there differ; 0: they do not
}

// maxRegions bounds the known regions; members of further ones count as members without a region.
const maxRegions = 64

// regionNamed finds a region by its name, or adds it.
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

// isRemote reports whether a member is of another region than this one.
func (v *View) isRemote(m *member) bool { return m.region != v.localRegion }

// isRemoteRegion reports whether a region's name is of another region than this member's.
func (v *View) isRemoteRegion(name string) bool {
	if name == v.localRegion.name {
		return false
	}
	return v.regionNamed(name) != v.localRegion
}

// withoutRemoteSuspicion turns a suspicion of a member of another region into alive: it is for members near it.
func (v *View) withoutRemoteSuspicion(r Record) Record {
	if r.State == Suspect && v.isRemoteRegion(r.Region) {
		r.State = Alive
		r.Reporter = ""
	}
	return r
}

// isUnreachable reports whether a member can't be reached, whatever its record says.
func (v *View) isUnreachable(m *member) bool {
	return m != v.self && (v.isolated || m.region.unreachable)
}

// unreachableSince is when a member that is unreachable became so.
func (v *View) unreachableSince(m *member) time.Duration {
	if m.region.unreachable && (!v.isolated || m.region.changedAt < v.isolatedAt) {
		return m.region.changedAt
	}
	return v.isolatedAt
}

// updateReachability brings members up to whether they can be reached.
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

// regionsDue selects the watchers of each region, and finds which regions have become unreachable or reachable.
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

// isUnreachableByReports decides by the watchers' reports whether a region is unreachable: one watcher that reaches it
// is enough for no, and a new watcher's silence counts for that only once it had time to find out. Without a watcher
// that has reported either way, it stays as it is.
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
	Local          bool // it is this member's
	Unreachable    bool
	UnreachableFor time.Duration
	Watchers       []string      // of this member's region
	RoundTrip      time.Duration // smoothed; 0: not known
}

// Regions are all regions with members, by name; nil where there is only one.
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
