package ejectionsim

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"vetchhaven/internal/peer/ejection"
)

const (
	// observeInterval is the interval in which the actual state of the servers is sampled.
	observeInterval = 10 * time.Millisecond
	// minFaultShare is the minimum share of failed requests for a server to count as failing.
	minFaultShare = 0.2
	// baseDelay is the minimum delay of messages between members.
	baseDelay = time.Millisecond
)

// observeServers records which servers begin to fail and which have recovered.
func (sim *simulation) observeServers() {
	for s := range sim.options.Servers {
		fails := sim.options.FailureShare(s, sim.now) >= minFaultShare
		switch {
		case fails && sim.failingSince[s] == 0:
			sim.failingSince[s] = max(sim.now, 1)
			sim.recoveredAt[s] = 0
		case !fails && sim.failingSince[s] > 0:
			sim.failingSince[s] = 0
			sim.recoveredAt[s] = sim.now
		}
	}
	sim.at(sim.now+observeInterval, sim.observeServers)
}

// step steps an agent's member, executes the resulting actions, and schedules the next step.
func (sim *simulation) step(a *agent, events ...ejection.Event) {
	for _, action := range a.member.Step(sim.now+clockOffset, events...) {
		switch action := action.(type) {
		case ejection.Send:
			sim.send(a, action)
		case ejection.Log:
			if sim.options.OnLog != nil {
				sim.options.OnLog(sim.now, a.number, action.Text)
			}
		case ejection.EjectionsChanged:
			sim.applyEjections(a, action.Ejections)
		}
	}
	next := a.member.Next() - clockOffset
	if next == a.wakeAt {
		return
	}
	a.wakeAt = next
	sim.at(next, func() {
		if a.wakeAt == next {
			a.wakeAt = 0
			sim.step(a)
		}
	})
}

// send schedules the delivery of a message, or drops it as lost.
func (sim *simulation) send(from *agent, action ejection.Send) {
	size := sim.messageSize(from, action.Message)
	sim.result.Messages++
	sim.result.Bytes += size
	if sim.options.OnSent != nil {
		sim.options.OnSent(sim.now, from.number, size)
	}
	to, err := strconv.Atoi(strings.TrimPrefix(action.To, "m"))
	if err != nil {
		panic("ejectionsim: message to unknown member " + action.To) // members receive only names of the simulation
	}
	lost, delay := sim.options.PeerPath(from.number, to, sim.now)
	if sim.rng.Float64() < lost {
		return
	}
	sim.at(sim.now+baseDelay+delay, func() {
		if sim.options.OnReceived != nil {
			sim.options.OnReceived(sim.now, to, size)
		}
		sim.step(sim.agents[to], ejection.Received{From: memberName(from.number), Message: action.Message})
	})
}

func (sim *simulation) messageSize(from *agent, message *ejection.Message) int {
	if sim.options.MessageSize != nil {
		return sim.options.MessageSize(memberName(from.number), message)
	}
	return 40 + 64*len(message.Evidence) + 32*len(message.Drains)
}

// applyEjections makes an agent respect its member's ejections, and counts new and ended ejections.
func (sim *simulation) applyEjections(a *agent, ejections []ejection.Ejection) {
	until := map[string]time.Duration{}
	for _, e := range ejections {
		until[e.Server] = e.Until - clockOffset
	}
	for s := range sim.options.Servers {
		id := serverID(s)
		_, was := a.ejectedUntil[id]
		_, is := until[id]
		switch {
		case is && !was:
			sim.countEjection(a, s)
		case was && !is:
			sim.countReadmission(a, s)
		}
	}
	a.ejectedUntil = until
}

func (sim *simulation) countEjection(a *agent, server int) {
	sim.result.Ejections++
	a.ejectedSince[server] = sim.now
	if sim.failingSince[server] > 0 {
		sim.result.EjectionDelays = append(sim.result.EjectionDelays, sim.now-sim.failingSince[server])
		sim.result.EjectingMembers = append(sim.result.EjectingMembers, a.number)
		return
	}
	failedLately := sim.recoveredAt[server] > 0 && sim.now-sim.recoveredAt[server] <= ejection.DefaultMaxEvidenceAge
	if failedLately {
		return
	}
	sim.result.WrongEjections++
	sim.result.WrongMembers = append(sim.result.WrongMembers, a.number)
	if !sim.wasUnreachable(a.number, server) {
		sim.result.WrongReachable++
	}
	a.wronglySince[server] = sim.now
}

func (sim *simulation) countReadmission(a *agent, server int) {
	sim.result.EndedEjections = append(sim.result.EndedEjections, EndedEjection{a.number, sim.now, sim.now - a.ejectedSince[server]})
	if sim.recoveredAt[server] > 0 {
		sim.result.ReadmissionDelays = append(sim.result.ReadmissionDelays, sim.now-sim.recoveredAt[server])
	}
	if a.wronglySince[server] > 0 {
		sim.result.WrongDuration += sim.now - a.wronglySince[server]
		a.wronglySince[server] = 0
	}
}

// addOpenWrongEjections adds the durations of wrong ejections that have not ended to the result.
func (sim *simulation) addOpenWrongEjections() {
	for _, a := range sim.agents {
		for _, since := range a.wronglySince {
			if since > 0 {
				sim.result.WrongDuration += sim.now - since
			}
		}
	}
}

// wasUnreachable reports whether an agent's link to a server lost all requests at any time within the maximum age of
// evidence.
func (sim *simulation) wasUnreachable(agent, server int) bool {
	for ago := time.Duration(0); ago <= ejection.DefaultMaxEvidenceAge && ago <= sim.now; ago += time.Second {
		if sim.options.LinkLoss(agent, server, sim.now-ago) >= 1 {
			return true
		}
	}
	return false
}

// updateList changes the state of one server in a member's list, and passes the list to the member.
func (sim *simulation) updateList(a *agent, servers []ejection.Server, server int, state ejection.ListedState) {
	if a.member == nil {
		return
	}
	if a.changed == nil {
		a.changed = slices.Clone(servers)
	}
	a.changed[server].State = state
	list := sim.listOf(server)
	if a.lists[list] == nil {
		return
	}
	var listed []ejection.Server
	for n, s := range a.changed {
		if sim.listOf(n) == list {
			listed = append(listed, s)
		}
	}
	sim.step(a, ejection.ListUpdated{Source: list, Servers: listed})
}
