package ejection

import (
	"bytes"
	"slices"
	"strings"
)

// Peer describes a member by its membership record.
type Peer struct {
	Region, Zone  string
	Subscriptions SubscriptionFilter
}

func (p Peer) equal(o Peer) bool {
	return p.Region == o.Region &&
		p.Zone == o.Zone &&
		(p.Subscriptions == nil) == (o.Subscriptions == nil) &&
		bytes.Equal(p.Subscriptions, o.Subscriptions)
}

// onMembersChanged applies a new membership. Quorums and ranks may change with it, so all active servers are evaluated.
func (m *Member) onMembersChanged(e MembersChanged) {
	unchanged := slices.Equal(m.names, e.Names) &&
		slices.EqualFunc(m.peers, e.Peers, Peer.equal) &&
		slices.EqualFunc(m.unreachable, e.Unreachable, Peer.equal)
	if unchanged {
		return
	}
	m.names = e.Names
	m.peers = e.Peers
	m.unreachable = e.Unreachable
	if len(m.peers) != len(m.names) {
		m.peers = nil
	}
	m.membershipEpoch++
	for _, s := range m.active {
		m.requestEvaluation(s)
	}
}

// peer returns the description of a live member, or nil if there is no description.
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

// subscribers holds the live members that read a list, this one included, and the zones of the subscribers.
type subscribers struct {
	epoch int      // Member.membershipEpoch for which the subscribers were determined
	names []string // names of live subscribers, ascending
	zones zoneSet  // zones of live and unreachable subscribers
}

// zoneSet is a set of zones by region.
type zoneSet map[string]map[string]bool

func (z zoneSet) add(p *Peer) {
	if z[p.Region] == nil {
		z[p.Region] = map[string]bool{}
	}
	z[p.Region][p.Zone] = true
}

func (z zoneSet) size() int {
	size := 0
	for _, zones := range z {
		size += len(zones)
	}
	return size
}

// subscribers returns the subscribers of a list. The result is cached until the membership changes.
func (m *Member) subscribers(source string) *subscribers {
	cached := m.subscribersOf[source]
	if cached != nil && cached.epoch == m.membershipEpoch {
		return cached
	}
	c := &subscribers{epoch: m.membershipEpoch, names: m.names, zones: zoneSet{}}
	if m.peers != nil {
		m.addSubscribers(c, sourceHash(source))
	}
	m.subscribersOf[source] = c
	return c
}

// addSubscribers adds the members that read the list with that hash. A member with format 1 treats all members as
// subscribers.
func (m *Member) addSubscribers(c *subscribers, hash uint64) {
	filtered := m.settings.FormatVersion > 1
	if filtered {
		c.names = nil
	}
	for i, name := range m.names {
		p := &m.peers[i]
		if filtered {
			if name != m.settings.Name && !p.Subscriptions.mayIncludeHash(hash) {
				continue
			}
			c.names = append(c.names, name)
		}
		c.zones.add(p)
	}
	for i := range m.unreachable {
		if p := &m.unreachable[i]; p.Subscriptions.mayIncludeHash(hash) {
			c.zones.add(p)
		}
	}
}

// subscriberNames returns the live subscribers of a server's list, this member included.
func (m *Member) subscriberNames(s *server) []string { return m.subscribers(s.source).names }

// maySubscribe reports whether a member may be a subscriber of a server's list. p is nil if there is no description of
// the member.
func (m *Member) maySubscribe(p *Peer, s *server) bool {
	return p == nil || m.settings.FormatVersion == 1 || p.Subscriptions.MayInclude(s.source)
}

// randomSubscribers returns up to n random subscribers of a list other than this member.
func (m *Member) randomSubscribers(n int, source string) []string {
	const attemptsPerName = 4 // a draw of this member or of a member already chosen is repeated
	names := m.subscribers(source).names
	var chosen []string
	for range min(attemptsPerName*n, attemptsPerName*len(names)) {
		if len(chosen) == n {
			break
		}
		name := names[m.rng.IntN(len(names))]
		if name != m.settings.Name && !slices.Contains(chosen, name) {
			chosen = append(chosen, name)
		}
	}
	return chosen
}

// randomCorroborators returns up to n random subscribers. If there are several regions, half of the subscribers are in
// this member's region, because these can respond during a partition between regions.
func (m *Member) randomCorroborators(n int, source string) []string {
	const attemptsPerName = 8
	c := m.subscribers(source)
	self := m.peer(m.settings.Name)
	if len(c.zones) < 2 || self == nil {
		return m.randomSubscribers(n, source)
	}
	var chosen []string
	for range attemptsPerName * n {
		if len(chosen) == n/2 {
			break
		}
		name := c.names[m.rng.IntN(len(c.names))]
		p := m.peer(name)
		if name != m.settings.Name && p != nil && p.Region == self.Region && !slices.Contains(chosen, name) {
			chosen = append(chosen, name)
		}
	}
	for _, name := range m.randomSubscribers(n-len(chosen), source) {
		if !slices.Contains(chosen, name) {
			chosen = append(chosen, name)
		}
	}
	return chosen
}

// pollSource returns a random list to poll about: a list with suspected, anomalous or draining servers if there is one,
// else any list that this member reads. It returns "" if this member reads no list.
func (m *Member) pollSource() string {
	source := ""
	candidates := 0
	for _, s := range m.active {
		if s.phase != phaseSuspected && !s.anomalous && s.drainedAt == 0 {
			continue
		}
		candidates++
		if m.rng.IntN(candidates) == 0 { // reservoir sampling
			source = s.source
		}
	}
	if candidates > 0 || len(m.sourceNames) == 0 {
		return source
	}
	return m.sourceNames[m.rng.IntN(len(m.sourceNames))]
}
