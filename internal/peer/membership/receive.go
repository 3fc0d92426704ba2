package membership

// replayWindow is the amount by which a datagram's number may be below its sender's highest number. Datagrams may be
// reordered, but replayed ones must be ignored. 4096 datagrams correspond to some minutes when idle and to seconds
// during a storm.
const replayWindow = 4096

// maxCorrections is the maximum number of refuted suspicions in one datagram that its sender is notified of.
const maxCorrections = 4

// senderStatus classifies a datagram by its sender's boot number and run ID and by its number.
type senderStatus uint8

const (
	senderCurrent  senderStatus = iota // from the process in the member's record
	senderUnknown                      // from a member without a record, or from a newer process than the recorded one
	senderReplaced                     // from an earlier process than the recorded one, or one that lost its disk
	senderReplayed                     // from the recorded process, but with too old a number
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

// onDatagram handles a datagram. While this member yields its name, it handles only messages about identity.
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

// onDatagramOfOwnName handles a datagram from a sender with this member's name. If it is a ping of another process,
// this member's record is sent to that process.
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
		if m.Kind == Ping { // sends the earlier process its successor's record
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
		if m.Target == v.settings.Name { // otherwise the ping is for a member that had this address before
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

// mergeUpdates merges a datagram's updates. If the sender still has suspicions or deaths that the members have
// refuted, their current records are sent to it at once.
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

// hasRefuted reports whether a member is suspect, dead or left by r while a newer record of the same process is Alive.
func hasRefuted(m *member, r *Record) bool {
	return r.State >= Suspect && r.RunID == m.RunID && m.State == Alive && m.newer(r)
}
