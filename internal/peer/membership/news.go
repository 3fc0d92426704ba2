package membership

import "math"

// news is what is told on with other messages, what was told least often first, each a number of times that grows
// with the logarithm of the fleet's size (SWIM, 4.1).
type news struct {
	levels [][]*item
	index  map[newsKey]*item
}

type newsKey struct{ name, by string }

type item struct {
	m    *member
	by   string // the accuser, of a suspicion
	boot uint64
	life uint64
	inc  uint32
	st   State
	sent int
	lost int // sent where it was most likely not heard
	gone bool
}

func (n *news) empty() bool { return len(n.index) == 0 }

// put has a member's present state told. by names one of several accusers.
func (n *news) put(m *member, by string) {
	if n.index == nil {
		n.index = map[newsKey]*item{}
	}
	k := newsKey{m.Name, by}
	if old := n.index[k]; old != nil {
		old.gone = true
	}
	i := &item{m: m, by: by, boot: m.Boot, life: m.RunID, inc: m.Incarnation, st: m.State}
	n.index[k] = i
	n.at(0, i)
}

func (n *news) at(level int, i *item) {
	for len(n.levels) <= level {
		n.levels = append(n.levels, nil)
	}
	n.levels[level] = append(n.levels[level], i)
}

// void reports whether an item has been overtaken.
func (i *item) void() bool {
	return i.gone || i.m.Boot != i.boot || i.m.RunID != i.life || i.m.Incarnation != i.inc || i.m.State != i.st
}

func (n *news) forget(i *item) {
	k := newsKey{i.m.Name, i.by}
	if n.index[k] == i {
		delete(n.index, k)
	}
	i.gone = true
}

// drop forgets what is said of some members.
func (n *news) drop(of func(*member) bool) {
	for _, level := range n.levels {
		for _, i := range level {
			if of(i.m) {
				n.forget(i)
			}
		}
	}
}

// times is how often each news is told.
func (v *View) times() int {
	return spreadFactor * int(math.Ceil(math.Log2(float64(len(v.home.live)+2))))
}

// fill adds news to a datagram as long as there is room, and returns its new size.
func (n *news) fill(v *View, m *Message, size int, counts bool, most int) int {
	if n.empty() {
		return size
	}
	in := make(map[string]bool, len(m.Updates))
	for i := range m.Updates {
		in[m.Updates[i].Name] = true
	}
	var later []*item
	full := false
	for l := range n.levels {
		level := n.levels[l]
		keep := level[:0]
		for at, i := range level {
			if full {
				keep = append(keep, level[at:]...)
				break
			}
			if i.void() {
				n.forget(i)
				continue
			}
			need := i.m.size() + len(i.by)
			if in[i.m.Name] {
				keep = append(keep, i)
				continue
			}
			if size+need > datagramMost {
				full = true
				keep = append(keep, i)
				continue
			}
			r := v.told(i.m)
			if i.by != "" {
				r.Reporter = i.by
			}
			m.Updates = append(m.Updates, r)
			in[i.m.Name] = true
			size += need
			if counts {
				i.sent++
			} else {
				i.lost++
			}
			switch {
			case i.sent >= most || i.lost >= lostMost*most:
				n.forget(i)
			case counts:
				later = append(later, i)
			default:
				keep = append(keep, i)
			}
		}
		clear(level[len(keep):])
		n.levels[l] = keep
		if full {
			break
		}
	}
	for _, i := range later {
		n.at(i.sent, i)
	}
	return size
}

// newsDue passes news on to a few members by itself, besides what probes carry.
func (v *View) newsDue() {
	if v.news.empty() || v.now < v.newsAt {
		return
	}
	v.newsAt = v.now + newsEvery
	told := map[string]bool{}
	tell := func(m *member) {
		if m != nil && m.listed == inLive && !told[m.Name] && len(told) < fan && !v.news.empty() {
			told[m.Name] = true
			v.sendTo(m, &Message{Kind: Gossip}, forNews, suspected(m))
		}
	}
	for _, i := range v.rng.Perm(len(v.heard)) {
		if m := v.members[v.heard[i]]; len(told) < fan-1 && m != nil && !m.deaf && v.now-m.heardAt < heardLately {
			tell(m)
		}
	}
	for _, m := range v.some(v.home.live, fan, func(m *member) bool { return !m.deaf }) {
		tell(m)
	}
	for _, m := range v.some(v.home.live, 1, func(m *member) bool { return m.deaf }) { // it may be this member that does not hear
		tell(m)
	}
}

// tell has something about a member told on.
func (v *View) tell(m *member) {
	v.mark(m)
	v.spread(m, "")
	v.saveSoon()
}
