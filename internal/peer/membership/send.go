package membership

import "time"

// maxDatagramBytes is the size up to which a datagram is filled with updates. It fits in one packet on any network.
const maxDatagramBytes = 1200

// tokenBucket limits the rate of bytes that are sent. Its capacity is the amount for one second.
type tokenBucket struct {
	rate     float64 // bytes per second
	capacity float64 // bytes
	level    float64 // bytes; below 0 if a message exceeded the budget
	filledAt time.Duration
}

func newTokenBucket(bytesPerSecond int) tokenBucket {
	return tokenBucket{rate: float64(bytesPerSecond), capacity: float64(bytesPerSecond)}
}

func (b *tokenBucket) start(now time.Duration) {
	b.level = b.capacity
	b.filledAt = now
}

func (b *tokenBucket) fill(now time.Duration) {
	b.level = min(b.capacity, b.level+b.rate*(now-b.filledAt).Seconds())
	b.filledAt = now
}

// allows reports whether a datagram may be sent without using the reserve.
func (b *tokenBucket) allows(size int, reserve budgetReserve) bool {
	return b.level-float64(size) >= float64(reserve)*b.capacity
}

// budgetReserve is the share of the full budget that a datagram must leave for more urgent ones: responses come first,
// then probes, then gossip. A larger reserve delays the less urgent kind more during a storm.
type budgetReserve float64

const (
	reserveNone         budgetReserve = 0    // for responses
	reserveForResponses budgetReserve = 0.1  // for probes
	reserveForProbes    budgetReserve = 0.35 // for gossip
)

// datagram is a message to send, with options.
type datagram struct {
	to      string
	message *Message
	reserve budgetReserve
	// about lists members whose records must be included, such as the receiver's own record if it is suspect.
	about []*member
	// likelyLost means that the receiver seems not to receive this member's datagrams: updates don't count as sent.
	likelyLost bool
	// withoutUpdates omits all updates except those in about, because the budget is needed for other datagrams.
	withoutUpdates bool
}

// send sends a message to an address and fills it with updates, if the budget allows it. It reports whether the message
// was sent.
func (v *View) send(to string, m *Message, reserve budgetReserve, about ...*member) bool {
	return v.sendDatagram(datagram{to: to, message: m, reserve: reserve, about: about})
}

// sendToMember sends a message to a member as send does, and takes into account whether the member seems to receive
// this one's datagrams.
func (v *View) sendToMember(to *member, m *Message, reserve budgetReserve, about ...*member) bool {
	return v.sendDatagram(datagram{to: to.Addr, message: m, reserve: reserve, about: about, likelyLost: to.unresponsive})
}

// sendDatagram sends a datagram if the budget allows it. All datagrams are sent by sendDatagram.
func (v *View) sendDatagram(d datagram) bool {
	if d.to == "" || d.to == v.settings.Addr {
		return false
	}
	m := d.message
	v.addSender(m)
	size := m.MaxEncodedSize()
	remote := v.remoteAddrs[d.to]
	if !v.budgetAllows(remote, size, d.reserve) {
		v.traffic.Withheld++
		return false
	}
	for _, a := range d.about {
		if a != nil {
			r := v.outgoingRecord(a)
			m.Updates = append(m.Updates, r)
			size += r.size()
		}
	}
	if !v.yielding && !d.withoutUpdates && !m.isAboutIdentity() && v.budgetAllows(remote, size, reserveForResponses) {
		size = v.addUpdates(d, remote, size)
	}
	if remote != nil {
		v.remoteBudget.level -= float64(size)
		v.traffic.RemoteBytes += uint64(size)
	}
	v.datagramNumber++
	m.Number = v.datagramNumber
	v.budget.level -= float64(size)
	v.traffic.Datagrams++
	v.traffic.Bytes += uint64(size)
	v.emit(Send{To: d.to, Message: m, Size: size})
	return true
}

// addSender sets the fields that describe the sender.
func (v *View) addSender(m *Message) {
	m.From = v.settings.Name
	m.Boot = v.self.Boot
	m.RunID = v.self.RunID
	m.Digest = v.digest
	if m.Kind == Ping && m.Addr == "" {
		m.Addr = v.settings.Addr
	}
}

// budgetAllows reports whether the budget allows a datagram. A datagram to another region (remote is not nil) must also
// fit the budget for other regions.
func (v *View) budgetAllows(remote *region, size int, reserve budgetReserve) bool {
	return v.budget.allows(size, reserve) && (remote == nil || v.remoteBudget.allows(size, reserve))
}

// addUpdates fills a datagram with updates and returns its new size. Only watchers send updates to other regions.
func (v *View) addUpdates(d datagram, remote *region, size int) int {
	fill := updateFill{message: d.message, size: size, likelyLost: d.likelyLost}
	switch {
	case remote == nil:
		fill.maxTransmissions = v.maxTransmissions()
		v.updates.fill(v, &fill)
	case remote.watched:
		fill.maxTransmissions = remoteTransmissions
		remote.updates.fill(v, &fill)
	}
	return fill.size
}
