package membership

import (
	"slices"
	"time"
)

// member is an entry of the view: a member's record and the state that this member maintains about it. The local
// member has an entry too.
type member struct {
	Record
	digest     uint64        // contribution of the record to the view's digest
	nameHash   uint64        // hash of the name, used to rank members as watchers
	stateSince time.Duration // when the current state or process was first seen in this view
	diedAt     time.Duration // when the member died or left; Record.AgeSeconds is computed from it

	// The lists that contain the member.
	list        memberList
	listIndex   int // index in View.live or View.dead
	region      *region
	regionIndex int  // index in region.live or region.dead
	unreachable bool // the member can't be reached, whatever state its record has: see effectiveState

	// State of the member's current process; forgetProcess resets it.
	highestNumber     uint64        // highest datagram number received
	receivedAt        time.Duration // when its last datagram arrived
	ackAt             time.Duration // when it last answered a probe of this member, directly or through a helper
	unresponsive      bool          // a direct probe timed out since its last datagram
	lastHelper        string        // helper through which it was last reached
	roundTrip         roundTrip     // estimate from its acks
	refutedSuspicions int           // consecutive suspicions by this member that it refuted
	noSuspicionBefore time.Duration // backoff after refuted suspicions: this member does not suspect it earlier

	suspicion          *suspicion    // nil unless its state is Suspect
	nextConflictNotice time.Duration // earliest time for the next notice that another process claims its name
}

// memberList identifies the list of the view that contains a member.
type memberList uint8

const (
	listNone memberList = iota // none: the local member, and members that left
	listLive                   // View.live
	listDead                   // View.dead
)

// forgetProcess resets the state of the member's process when another process replaces it.
func (m *member) forgetProcess() {
	m.highestNumber = 0
	m.refutedSuspicions = 0
	m.noSuspicionBefore = 0
	m.lastHelper = ""
	m.receivedAt = -never
	m.ackAt = -never
	m.unresponsive = false
	m.roundTrip = roundTrip{}
}

// lastConfirmed returns when the member's current process last proved that it runs, by a datagram or an ack. Gossip by
// other members does not count.
func (m *member) lastConfirmed() time.Duration { return max(m.receivedAt, m.ackAt) }

// effectiveState returns the state shown outside the protocol: a live member that can't be reached is Dead.
func (m *member) effectiveState() State {
	if m.unreachable && m.State <= Suspect {
		return Dead
	}
	return m.State
}

// isAlive is a filter for View.sample.
func isAlive(m *member) bool { return m.State == Alive }

// anyMember is a filter for View.sample.
func anyMember(*member) bool { return true }

// unlessAlive returns m if it is in the view (not nil) and not Alive, else nil. Datagrams to such a member carry its
// record, so that it can refute its state.
func unlessAlive(m *member) *member {
	if m != nil && m.State != Alive {
		return m
	}
	return nil
}

// sample returns up to n random members of a list that a filter accepts. In long lists it makes a bounded number of
// draws, so it may return fewer members than the filter accepts.
func (v *View) sample(list []*member, n int, accepts func(*member) bool) []*member {
	var picked []*member
	if len(list) <= 3*n {
		for _, i := range v.rng.Perm(len(list)) {
			if m := list[i]; len(picked) < n && accepts(m) {
				picked = append(picked, m)
			}
		}
		return picked
	}
	for range 6 * n {
		m := list[v.rng.IntN(len(list))]
		if slices.Contains(picked, m) || !accepts(m) {
			continue
		}
		picked = append(picked, m)
		if len(picked) == n {
			break
		}
	}
	return picked
}

// insertName inserts a name into the sorted names.
func (v *View) insertName(name string) {
	i, _ := slices.BinarySearch(v.sortedNames, name)
	v.sortedNames = slices.Insert(v.sortedNames, i, name)
}

func (v *View) removeName(name string) {
	if i, ok := slices.BinarySearch(v.sortedNames, name); ok {
		v.sortedNames = slices.Delete(v.sortedNames, i, i+1)
	}
}

// updateDigest updates the view's digest for a member's current record.
func (v *View) updateDigest(m *member) {
	v.digest ^= m.digest
	m.digest = recordDigest(&m.Record)
	v.digest ^= m.digest
}

// updateLists moves a member to the lists for its current state and region.
func (v *View) updateLists(m *member) {
	list := v.listFor(m)
	newRegion := v.localRegion
	if m != v.self {
		newRegion = v.regionNamed(m.Region)
	}
	if m.list == list && m.region == newRegion {
		return
	}
	v.regionsCheckAt = v.now
	switch m.list {
	case listLive:
		v.live = removeFromView(v.live, m)
		m.region.live = removeFromRegion(m.region.live, m)
	case listDead:
		v.dead = removeFromView(v.dead, m)
		m.region.dead = removeFromRegion(m.region.dead, m)
	}
	m.list = list
	m.region = newRegion
	switch list {
	case listLive:
		v.live = appendToView(v.live, m)
		newRegion.live = appendToRegion(newRegion.live, m)
	case listDead:
		v.dead = appendToView(v.dead, m)
		newRegion.dead = appendToRegion(newRegion.dead, m)
	}
}

func (v *View) listFor(m *member) memberList {
	switch {
	case m == v.self:
		return listNone
	case m.State <= Suspect:
		return listLive
	case m.State == Dead:
		return listDead
	}
	return listNone
}

func appendToView(list []*member, m *member) []*member {
	m.listIndex = len(list)
	return append(list, m)
}

func appendToRegion(list []*member, m *member) []*member {
	m.regionIndex = len(list)
	return append(list, m)
}

// removeFromView removes a member in constant time: the last member of the list takes its place.
func removeFromView(list []*member, m *member) []*member {
	last := list[len(list)-1]
	list[m.listIndex] = last
	last.listIndex = m.listIndex
	return list[:len(list)-1]
}

// removeFromRegion does the same as removeFromView for the lists of a region.
func removeFromRegion(list []*member, m *member) []*member {
	last := list[len(list)-1]
	list[m.regionIndex] = last
	last.regionIndex = m.regionIndex
	return list[:len(list)-1]
}
