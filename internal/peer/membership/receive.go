package membership

// replayWindow is how far a datagram's number may be behind its sender's highest one: datagrams may overtake one
// another, but an old one must not count again. 4096 are some minutes at rest and seconds in a storm.
const replayWindow = 4096

// maxCorrections bounds the members about which one datagram's sender is corrected at once.
const maxCorrections = 4

// senderStatus is what the sender's boot number, RunID and datagram number say of a datagram.
type senderStatus uint8

const (
	senderCurrent  senderStatus = iota // from the process that is known
	senderUnknown                      // from a process that is not known here, or newer than the known one
	senderReplaced                     // from an earlier process, or one that lost its disk
	senderReplayed                     // from the known process, but too old
)

func senderStatusOf(sender *member, m *Message) senderStatus {
	switch {
	case sender == nil || m.Boot > sender.Boot || m.Boot == sender.Boot && m.RunID > sender.RunID:
		return senderUnknown
	case m.Boot != sender.Boot || m.RunID != sender.RunID:
		return senderReplaced
	case m.Number+replayWindow < sender.highestNumber:
		return senderReplayed
	}
	return senderCurrent
}

// onDatagram handles a datagram: messages about identity at any time, all others unless this member yields its name.
func (v *View) onDatagram(e DatagramReceived) {
	m := e.Message
	if !m.isValid() || v.isLeaving {
		return
	}
	v.traffic.Received++
	switch {
	case m.Kind == IdentityRequest:
		v.onIdentityRequest(m)
	case m.Kind == IdentityResponse:
		v.onIdentityResponse(m)
	case m.Kind == IndirectIdentityRequest:
		v.relayIdentityRequest(m)
	case v.yielding:
	case m.From == v.settings.Name:
		v.onDatagramOfOwnName(m)
	default:
		v.onMemberDatagram(m)
	}
}

// onDatagramOfOwnName tells another process with this member's name that this one exists.
func (v *View) onDatagramOfOwnName(m *Message) {
	if m.RunID != v.self.RunID && m.Kind == Ping {
		v.send(m.Addr, &Message{Kind: Gossip}, reserveForProbes, v.self)
	}
}

func (v *View) onMemberDatagram(m *Message) {
	sender := v.members[m.From]
	replyTo := m.replyAddr()
	switch senderStatusOf(sender, m) {
	case senderUnknown:
		v.exchange.requestWith(v, replyTo)
	case senderReplaced:
		v.traffic.Stale++
		if m.Kind == Ping { // it learns of its successor
			v.send(replyTo, &Message{Kind: Gossip}, reserveForProbes, sender)
		}
		return
	case senderReplayed:
		v.traffic.Stale++
		return
	case senderCurrent:
		replyTo = sender.Addr
		sender.highestNumber = max(sender.highestNumber, m.Number)
		v.recordSender(sender)
		v.endIsolation(replyTo)
		v.compareDigest(sender, m.Digest)
	}
	v.mergeUpdates(sender, m)
	switch m.Kind {
	case Ping:
		if m.Target == v.settings.Name { // otherwise another member had the address before
			v.send(replyTo, &Message{Kind: Ack, Seq: m.Seq, Target: v.settings.Name}, reserveNone, unlessAlive(sender))
		}
	case IndirectPing:
		v.relayPing(m)
	case Ack:
		v.onAck(m)
	case Nack:
		v.onNack(m)
	}
}

// mergeUpdates merges a datagram's updates. A known sender that still suspects members which have refuted that is
// corrected at once.
func (v *View) mergeUpdates(sender *member, m *Message) {
	var refuted []*member
	for i := range m.Updates {
		r := &m.Updates[i]
		v.merge(*r, reasonGossip)
		about := v.members[r.Name]
		if len(refuted) < maxCorrections && about != nil && hasRefuted(about, r) {
			refuted = append(refuted, about)
		}
	}
	if len(refuted) > 0 && sender != nil {
		v.sendToMember(sender, &Message{Kind: Gossip}, reserveForProbes, refuted...)
	}
}

// hasRefuted reports whether a member is alive by a newer record of the same process than r, which says otherwise.
func hasRefuted(m *member, r *Record) bool {
	return r.State >= Suspect && r.RunID == m.RunID && m.State == Alive && m.newer(r)
}
