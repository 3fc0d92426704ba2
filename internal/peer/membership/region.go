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
	name   string
	hash   uint32
	live   []*member // alive or suspect by their records, without this member
	silent []*member // dead
	away   bool      // no watcher reaches it
	since  time.Duration
	top    []watcher // of this member's region, for it

	// As one of its watchers:
	watch   bool
	rank    int
	mute    bool // it is not reached: part of this member's own record
	doubt   bool // its last probe was not answered in time by its target
	missed  int  // probes, one after another
	ackAt   time.Duration
	probeAt time.Duration
	via     string // the helper through which it was last reached
	news    news
	newsAt  time.Duration
	differs time.Duration // since when digests from there differ; 0: they do not
}

// watcher is one of those that watch a region for their own.
type watcher struct {
	m     *member
	since time.Duration // it is one here
	muted bool          // it has said meanwhile that it does not reach it
}

const (
	watchersMost = 3                      // of a region for another one
	farTimes     = 2                      // each of them tells what is new
	farEvery     = 2 * time.Second        // between a watcher's probes of a region
	farSoon      = 400 * time.Millisecond // while the last one was not answered
	farHelpers   = 2                      // of third regions, asked where a far one does not answer
	farMisses    = 4                      // one after another, and longer than a pause that is borne: it is not reached
	watchSettle  = 6 * time.Second        // a new watcher has found out by then
	regionsMost  = 64                     // known; members of further ones count as in none
	farShare     = 4                      // FarBytes is this part of Bytes by default
)

// Why members are shown otherwise though their records are the same.
const (
	ReasonRegionUnreachable = "it is not reached, and nobody near it either"
	ReasonRegionReachable   = "it may be reached again"
)

// regionOf finds a region by its name, or begins it.
func (v *View) regionOf(name string) *region {
	r := v.regions[name]
	if r == nil && len(v.regions) >= regionsMost {
		name = ""
		r = v.regions[name]
	}
	if r == nil {
		h := fnv.New32a()
		_, _ = io.WriteString(h, name)
		r = &region{name: name, hash: h.Sum32(), ackAt: -never}
		v.regions[name] = r
		i, _ := slices.BinarySearchFunc(v.areas, name, func(r *region, name string) int { return cmp.Compare(r.name, name) })
		v.areas = slices.Insert(v.areas, i, r)
		v.surveyAt = v.now
	}
	return r
}

// isFar reports whether a member stands in another region than this one.
func (v *View) isFar(m *member) bool { return m.region != v.home }

// hides reports whether a member that may be alive can't be reached.
func (v *View) hides(m *member) bool { return m != v.self && (v.lone || m.region.away) }

// shown is a member's state as it is for all but the protocol.
func (m *member) shown() State {
	if m.hidden && m.State <= Suspect {
		return Dead
	}
	return m.State
}

// seen is a member's record as the daemon and its operators are to see it.
func (v *View) seen(m *member) Record {
	r := v.told(m)
	if m.shown() != m.State {
		r.State, r.Reporter, r.AgeSeconds = Dead, "", uint32(max(0, v.now-v.hiddenSince(m))/time.Second)
	}
	return r
}

func (v *View) hiddenSince(m *member) time.Duration {
	if m.region.away && (!v.lone || m.region.since < v.loneAt) {
		return m.region.since
	}
	return v.loneAt
}

// show brings all members of a list up to whether they are hidden.
func (v *View) show(list []*member, why string) {
	for _, m := range list {
		was := m.shown()
		v.counts.add(m, -1)
		m.hidden = v.hides(m)
		v.counts.add(m, 1)
		if m.shown() != was {
			v.do(MemberChanged{Record: v.seen(m), Previous: was, Reason: why})
		}
	}
}

// rankOf orders members as watchers of a region: all that know the same members find the same ones.
func (r *region) rankOf(m *member) uint64 {
	return mix(m.nameHash ^ uint64(r.hash)*0x9e3779b97f4a7c15)
}

// muted reports whether a member says that it does not reach a region.
func muted(m *member, r *region) bool { return slices.Contains(m.UnreachableRegions, r.hash) }

// survey finds who watches each region, and which ones are not reached any more.
func (v *View) survey() {
	if v.now < v.surveyAt {
		return
	}
	v.surveyAt = never
	for _, r := range v.areas {
		if r == v.home || len(r.live)+len(r.silent) == 0 {
			continue
		}
		v.elect(r)
		reached, mute, young := false, false, false
		for i := range r.top {
			w := &r.top[i]
			is := muted(w.m, r)
			w.muted = w.muted || is
			switch {
			case is:
				mute = true
			case w.muted || v.now-w.since >= watchSettle:
				reached = true
			default:
				young = true
				v.surveyAt = min(v.surveyAt, w.since+watchSettle)
			}
		}
		away := r.away
		if reached {
			away = false
		} else if mute && !young {
			away = true
		}
		if away != r.away {
			r.away, r.since = away, v.now
			v.do(RegionReachability{Region: r.name, Unreachable: away, Members: len(r.live)})
			why := ReasonRegionReachable
			if away {
				why = ReasonRegionUnreachable
			}
			v.show(r.live, why)
		}
	}
}

// elect finds the watchers of a region: those of the highest rank of this member's region.
func (v *View) elect(r *region) {
	top := make([]*member, 0, watchersMost+1)
	put := func(m *member) {
		if len(top) == watchersMost && r.rankOf(top[watchersMost-1]) >= r.rankOf(m) {
			return
		}
		i := 0
		for i < len(top) && r.rankOf(top[i]) >= r.rankOf(m) {
			i++
		}
		if top = slices.Insert(top, i, m); len(top) > watchersMost {
			top = top[:watchersMost]
		}
	}
	put(v.self)
	for _, m := range v.home.live {
		// With a few behind a cut there is no time to see the watchers beyond it die.
		if m.State == Suspect && v.now < v.cutUntil {
			continue
		}
		put(m)
	}
	was, self := r.top, false
	r.top = nil
	for rank, m := range top {
		w := watcher{m: m, since: v.now}
		if i := slices.IndexFunc(was, func(o watcher) bool { return o.m == m }); i >= 0 {
			w = was[i]
		}
		r.top = append(r.top, w)
		if m == v.self {
			self, r.rank = true, rank
		}
	}
	if self != r.watch {
		r.watch = self
		r.missed, r.doubt, r.ackAt, r.probeAt, r.differs, r.news = 0, false, v.now, v.now+v.random(farSoon), 0, news{}
		v.say(r, self && r.away)
	}
}

// say says in this member's own record whether it reaches a region.
func (v *View) say(r *region, mute bool) {
	if r.mute == mute {
		return
	}
	r.mute = mute
	v.self.UnreachableRegions = nil
	for _, o := range v.areas {
		if o.mute {
			v.self.UnreachableRegions = append(v.self.UnreachableRegions, o.hash)
		}
	}
	v.self.Incarnation++
	v.tell(v.self)
	v.surveyAt = v.now
	if r.missed = 0; mute {
		r.news = news{}
	}
}

// watchDue probes the regions that this member watches, and tells them what is new in its own.
func (v *View) watchDue() {
	for _, r := range v.areas {
		if !r.watch || r == v.home {
			continue
		}
		if !r.news.empty() && v.now >= r.newsAt {
			r.newsAt = v.now + newsEvery
			for _, m := range v.some(r.live, 1, func(m *member) bool { return true }) {
				v.sendTo(m, &Message{Kind: Gossip}, forNews)
			}
		}
		if v.now < r.probeAt {
			continue
		}
		every := farEvery
		if r.doubt && !r.mute {
			every = farSoon
		}
		r.probeAt = v.now + every/2 + v.random(every)
		list := r.live
		if len(list) == 0 {
			list = r.silent
		}
		for _, m := range v.some(list, 1, func(m *member) bool { return !v.probing(m.Name) }) {
			p := &probe{target: m.Name, seq: v.nextSeq(), at: v.now, far: r, until: v.now + v.direct(m)}
			if v.sendTo(m, &Message{Kind: Ping, Seq: p.seq, Target: m.Name}, forProbes, suspected(m)) {
				v.probes = append(v.probes, p)
			}
		}
	}
}

// watchNext is when watchDue has something to do.
func (v *View) watchNext(at func(time.Duration)) {
	for _, r := range v.areas {
		if !r.watch || r == v.home {
			continue
		}
		if at(r.probeAt); !r.news.empty() {
			at(r.newsAt)
		}
	}
}

// doubts has a region probed more often, since a probe was not answered in time.
func (v *View) doubts(r *region) {
	if r.doubt = true; !r.mute {
		r.probeAt = min(r.probeAt, v.now+v.random(farSoon))
	}
}

// answered takes note that a probe of a far region was answered, by its target or a helper.
func (v *View) answered(r *region, m *member) {
	r.missed, r.doubt, r.ackAt = 0, false, v.now
	if r.mute {
		v.say(r, false)
		v.exchange.with(v, m.Addr) // there may be much to tell
	}
}

// missedFar judges a probe of a far region. It accuses nobody: a death there is for those that are near to tell.
func (v *View) missedFar(r *region) {
	if !r.watch {
		return
	}
	if r.missed++; r.missed >= farMisses && v.now-r.ackAt >= v.least()+v.s.ProbeTimeout+v.s.IndirectTimeout && !r.mute {
		v.say(r, true)
	}
}

// compareFar looks at a digest from another region. One watcher after the other opens an exchange, by rank.
func (v *View) compareFar(from *member, digest uint64) {
	r, x := from.region, &v.exchange
	if !r.watch {
		return
	}
	switch {
	case digest == v.digest:
		r.differs = 0
	case r.differs == 0:
		r.differs = v.now
	case v.now-r.differs >= time.Duration(1+r.rank)*time.Second && v.news.empty() && x.at == 0:
		r.differs = v.now
		x.with(v, from.Addr)
	}
}

// spread has a member's state told on: in this member's region, and, if it stands there itself, to those regions that
// this member watches. A suspicion does not cross: its end does.
func (v *View) spread(m *member, by string) {
	v.news.put(m, by)
	if v.isFar(m) || m.State == Suspect {
		return
	}
	for _, r := range v.areas {
		if r.watch && !r.mute && r != v.home {
			r.news.put(m, "")
		}
	}
}

// near is a record as those take it that stand elsewhere: a suspicion is for those that are near.
func (v *View) normal(r Record) Record {
	if r.State == Suspect && v.far(r.Region) {
		r.State, r.Reporter = Alive, ""
	}
	return r
}

// far reports whether a region of this name is another one than this member's.
func (v *View) far(name string) bool {
	if name == v.home.name {
		return false
	}
	return v.regionOf(name) != v.home
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
	for _, r := range v.areas {
		s := RegionStatus{Name: r.name, Members: len(r.live), Dead: len(r.silent), Local: r == v.home, Unreachable: r.away}
		if s.Local {
			s.Members++
		} else if s.Members+s.Dead == 0 {
			continue
		}
		if r.away {
			s.UnreachableFor = v.now - r.since
		}
		for _, w := range r.top {
			s.Watchers = append(s.Watchers, w.m.Name)
		}
		if d := v.places[place{r.name, ""}]; d != nil {
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
func (v *View) Isolated() bool { return v.lone }
