package ejection

import (
	"bytes"
	"hash/fnv"
	"slices"
	"strings"
)

// What is said of a server goes to its subscribers alone: the members that read its list. Each member tells which lists
// it reads in its record of the view, which all have anyway and which travels when it changes; so all know the
// subscribers of each list, without a message of their own. A member that tells none is taken for a subscriber of all:
// one of an earlier version.

// SubscriptionFilter tells which lists a member reads: its interest set. nil: all, for what is known.
type SubscriptionFilter []byte

// The forms of a filter: its first byte. One of another form is taken for nil.
const (
	filterHashes = 1 // three bytes of each list's hash, ascending: exact but for a collision in 16 million
	filterBloom  = 2 // a Bloom filter, for more lists than fit: 150 take in one of 25 others by mistake, 1,000 nearly all

	maxFilterBytes = 128 // bytes: a note of the view
	hashBytes      = 3
	bloomBits      = 8 * (maxFilterBytes - 1)
	bloomHashes    = 5
)

// NewSubscriptionFilter is the filter of a member that reads these lists.
func NewSubscriptionFilter(sources []string) SubscriptionFilter {
	if len(sources) <= (maxFilterBytes-1)/hashBytes {
		all := make([][hashBytes]byte, 0, len(sources))
		for _, s := range sources {
			all = append(all, shortHash(sourceHash(s)))
		}
		slices.SortFunc(all, func(a, b [hashBytes]byte) int { return bytes.Compare(a[:], b[:]) })
		f := SubscriptionFilter{filterHashes}
		for _, h := range all {
			f = append(f, h[:]...)
		}
		return f
	}
	f := make(SubscriptionFilter, maxFilterBytes)
	f[0] = filterBloom
	for _, s := range sources {
		forEachBloomBit(sourceHash(s), func(at byte, bit byte) bool { f[1+at] |= bit; return true })
	}
	return f
}

// MayInclude reports whether the member reads a list, or may.
func (f SubscriptionFilter) MayInclude(source string) bool { return f.has(sourceHash(source)) }

func (f SubscriptionFilter) has(hash uint64) bool {
	switch {
	case len(f) > 0 && f[0] == filterHashes && len(f)%hashBytes == 1:
		want := shortHash(hash)
		for at := 1; at < len(f); at += hashBytes {
			if [hashBytes]byte(f[at:]) == want {
				return true
			}
		}
		return false
	case len(f) == maxFilterBytes && f[0] == filterBloom:
		return forEachBloomBit(hash, func(at byte, bit byte) bool { return f[1+at]&bit != 0 })
	}
	return true
}

// forEachBloomBit calls each for the bits of a hash, until it says no.
func forEachBloomBit(hash uint64, each func(at byte, bit byte) bool) bool {
	a, b := uint32(hash), uint32(hash>>32)|1
	for i := range uint32(bloomHashes) {
		n := (a + i*b) % bloomBits
		if !each(byte(n/8), 1<<(n%8)) {
			return false
		}
	}
	return true
}

func shortHash(hash uint64) [hashBytes]byte {
	return [hashBytes]byte{byte(hash), byte(hash >> 8), byte(hash >> 16)}
}

func sourceHash(source string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(source))
	return mixBits(h.Sum64())
}

// Peer is what a member's record tells of it.
type Peer struct {
	Region, Zone  string
	Subscriptions SubscriptionFilter
}

func (p *Peer) equal(o *Peer) bool {
	return p.Region == o.Region && p.Zone == o.Zone && (p.Subscriptions == nil) == (o.Subscriptions == nil) && bytes.Equal(p.Subscriptions, o.Subscriptions)
}

// onMembersChanged takes who is alive. It reports whether that is news.
func (m *Member) onMembersChanged(e MembersChanged) bool {
	same := func(a, b Peer) bool { return a.equal(&b) }
	if slices.Equal(m.names, e.Names) && slices.EqualFunc(m.peers, e.Peers, same) && slices.EqualFunc(m.unreachable, e.Unreachable, same) {
		return false
	}
	m.names, m.peers, m.unreachable = e.Names, e.Peers, e.Unreachable
	if len(m.peers) != len(m.names) {
		m.peers = nil
	}
	m.membershipEpoch++
	return true
}

// peer is what is known of a member; nil: nothing.
func (m *Member) peer(name string) *Peer {
	if m.peers == nil {
		return nil
	}
	at, ok := slices.BinarySearchFunc(m.names, name, strings.Compare)
	if !ok {
		return nil
	}
	return &m.peers[at]
}

// subscribers are the members alive that read a list, this one included, and where they stand.
type subscribers struct {
	epoch int // as of then
	names []string
	zones map[string]map[string]bool // by region; of those as well that are not heard any more
}

func (c *subscribers) addLocality(p *Peer) {
	if c.zones[p.Region] == nil {
		c.zones[p.Region] = map[string]bool{}
	}
	c.zones[p.Region][p.Zone] = true
}

func (m *Member) subscribers(source string) *subscribers {
	c := m.subscribersOf[source]
	if c != nil && c.epoch == m.membershipEpoch {
		return c
	}
	c = &subscribers{epoch: m.membershipEpoch, names: m.names, zones: map[string]map[string]bool{}}
	if m.peers != nil {
		if m.settings.FormatVersion > 1 {
			c.names = nil
		}
		hash := sourceHash(source)
		for i, n := range m.names {
			p := &m.peers[i]
			if n != m.settings.Name && m.settings.FormatVersion > 1 && !p.Subscriptions.has(hash) {
				continue
			}
			if m.settings.FormatVersion > 1 {
				c.names = append(c.names, n)
			}
			c.addLocality(p)
		}
		for i := range m.unreachable {
			if p := &m.unreachable[i]; p.Subscriptions.has(hash) {
				c.addLocality(p)
			}
		}
	}
	m.subscribersOf[source] = c
	return c
}

// subscriberNames are the names of those that read a server's list.
func (m *Member) subscriberNames(s *server) []string { return m.subscribers(s.source).names }

// randomSubscribers are some of those that read a list, besides this one, by chance.
func (m *Member) randomSubscribers(n int, source string) []string {
	names := m.subscribers(source).names
	var all []string
	for range min(4*n, 4*len(names)) {
		if len(all) == n {
			break
		}
		if o := names[m.rng.IntN(len(names))]; o != m.settings.Name && !slices.Contains(all, o) {
			all = append(all, o)
		}
	}
	return all
}

// randomCorroborators are some of those that read a list, half of them of this member's region where there are several: what a cut
// leaves can answer.
func (m *Member) randomCorroborators(n int, source string) []string {
	c := m.subscribers(source)
	p := m.peer(m.settings.Name)
	if len(c.zones) < 2 || p == nil {
		return m.randomSubscribers(n, source)
	}
	var all []string
	for range 8 * n {
		if len(all) == n/2 {
			break
		}
		o := c.names[m.rng.IntN(len(c.names))]
		if q := m.peer(o); o != m.settings.Name && q != nil && q.Region == p.Region && !slices.Contains(all, o) {
			all = append(all, o)
		}
	}
	for _, o := range m.randomSubscribers(n-len(all), source) {
		if !slices.Contains(all, o) {
			all = append(all, o)
		}
	}
	return all
}

// pollSource is a list about which to ask: one of which there is something to be known, else any that is read.
func (m *Member) pollSource() string {
	hot := ""
	n := 0
	for _, s := range m.active {
		if s.suspectedAt > 0 || s.anomalous || s.drainedAt > 0 {
			if n++; m.rng.IntN(n) == 0 {
				hot = s.source
			}
		}
	}
	if n > 0 || len(m.sourceNames) == 0 {
		return hot
	}
	return m.sourceNames[m.rng.IntN(len(m.sourceNames))]
}

// mayConcern reports whether a member is to hear of a server.
func (m *Member) mayConcern(p *Peer, s *server) bool {
	return p == nil || m.settings.FormatVersion == 1 || p.Subscriptions.MayInclude(s.source)
}

// independentLocalities reports whether failures without a word come from enough places that no one lost link explains them: a
// zone's voices are one. More than half of the zones of this member's own region that have subscribers, with as many
// voices as that region needs by itself, so that a region that is cut off judges for itself; or more than half of the
// regions. Where all stand in one place there is nothing to tell apart.
func (m *Member) independentLocalities(s *server, voices []*report) bool {
	c := m.subscribers(s.source)
	zones := 0
	for _, z := range c.zones {
		zones += len(z)
	}
	if zones < 2 {
		return true
	}
	accuse := map[string]map[string]bool{}
	home, here := "", 0
	if p := m.peer(m.settings.Name); p != nil {
		home = p.Region
	}
	for _, v := range voices {
		p := m.peer(v.origin)
		if p == nil {
			continue // not alive as far as is known: it speaks from nowhere
		}
		if accuse[p.Region] == nil {
			accuse[p.Region] = map[string]bool{}
		}
		accuse[p.Region][p.Zone] = true
		if p.Region == home {
			here++
		}
	}
	if all := len(c.zones[home]); all > 1 && 2*len(accuse[home]) > all && here >= m.unresponsiveReportersOf(m.subscribersInRegion(c, home)) {
		return true
	}
	return len(c.zones) > 1 && 2*len(accuse) > len(c.zones)
}

// subscribersInRegion is how many subscribers stand in a region.
func (m *Member) subscribersInRegion(c *subscribers, region string) (n int) {
	for _, name := range c.names {
		if p := m.peer(name); p != nil && p.Region == region {
			n++
		}
	}
	return n
}
