package ejectionsim

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"vetchhaven/internal/peer/ejection"
)

const (
	// observeInterval is how often the truth about servers is sampled.
	observeInterval = 10 * time.Millisecond
	// minFaultShare is the share of failed requests from which a server counts as failing.
	minFaultShare = 0.2
	// baseDelay is the delay of every message among members.
	baseDelay = time.Millisecond
)

// observeServers notes which servers begin to fail and which are well again.
func (w *world) observeServers() {
	for s := range w.options.Servers {
		fails := w.options.FailureShare(s, w.now) >= minFaultShare
		switch {
		case fails && w.failingSince[s] == 0:
			w.failingSince[s] = max(w.now, 1)
			w.wellSince[s] = 0
		case !fails && w.failingSince[s] > 0:
			w.failingSince[s] = 0
			w.wellSince[s] = w.now
		}
	}
	w.at(w.now+observeInterval, w.observeServers)
}

// step steps an agent's member, carries out its actions, and schedules its next step.
func (w *world) step(a *agent, events ...ejection.Event) {
	for _, action := range a.member.Step(w.now+clockOffset, events...) {
		switch action := action.(type) {
		case ejection.Send:
			w.send(a, action)
		case ejection.Log:
			if w.options.OnLog != nil {
				w.options.OnLog(w.now, a.number, action.Text)
			}
		case ejection.EjectionsChanged:
			w.applyEjections(a, action.Ejections)
		}
	}
	next := a.member.Next() - clockOffset
	if next == a.wakeAt {
		return
	}
	a.wakeAt = next
	w.at(next, func() {
		if a.wakeAt == next {
			a.wakeAt = 0
			w.step(a)
		}
	})
}

// send delivers a message, or loses it.
func (w *world) send(from *agent, action ejection.Send) {
	size := w.messageSize(from, action.Message)
	w.result.Messages++
	w.result.Bytes += size
	if w.options.OnSent != nil {
		w.options.OnSent(w.now, from.number, size)
	}
	to, err := strconv.Atoi(strings.TrimPrefix(action.To, "m"))
	if err != nil {
		panic("ejectionsim: message to " + action.To) // names are the simulation's own
	}
	lost, delay := w.options.PeerPath(from.number, to, w.now)
	if w.rng.Float64() < lost {
		return
	}
	w.at(w.now+baseDelay+delay, func() {
		if w.options.OnReceived != nil {
			w.options.OnReceived(w.now, to, size)
		}
		w.step(w.agents[to], ejection.Received{From: memberName(from.number), Message: action.Message})
	})
}

func (w *world) messageSize(from *agent, message *ejection.Message) int {
	if w.options.MessageSize != nil {
		return w.options.MessageSize(memberName(from.number), message)
	}
	return 40 + 64*len(message.Evidence) + 32*len(message.Drains)
}

// applyEjections has an agent respect its member's ejections, and counts what changed.
func (w *world) applyEjections(a *agent, ejections []ejection.Ejection) {
	until := map[string]time.Duration{}
	for _, e := range ejections {
		until[e.Server] = e.Until - clockOffset
	}
	for s := range w.options.Servers {
		id := serverID(s)
		_, was := a.ejectedUntil[id]
		_, is := until[id]
		switch {
		case is && !was:
			w.countEjection(a, s)
		case was && !is:
			w.countReadmission(a, s)
		}
	}
	a.ejectedUntil = until
}

func (w *world) countEjection(a *agent, server int) {
	w.result.Ejections++
	a.ejectedSince[server] = w.now
	if w.failingSince[server] > 0 {
		w.result.EjectionDelays = append(w.result.EjectionDelays, w.now-w.failingSince[server])
		w.result.EjectingMembers = append(w.result.EjectingMembers, a.number)
		return
	}
	failedLately := w.wellSince[server] > 0 && w.now-w.wellSince[server] <= ejection.DefaultMaxEvidenceAge
	if failedLately {
		return
	}
	w.result.WrongEjections++
	w.result.WrongMembers = append(w.result.WrongMembers, a.number)
	if !w.wasUnreachable(a.number, server) {
		w.result.WrongReachable++
	}
	a.wronglySince[server] = w.now
}

func (w *world) countReadmission(a *agent, server int) {
	w.result.EndedEjections = append(w.result.EndedEjections, EndedEjection{a.number, w.now, w.now - a.ejectedSince[server]})
	if w.wellSince[server] > 0 {
		w.result.ReadmissionDelays = append(w.result.ReadmissionDelays, w.now-w.wellSince[server])
	}
	if a.wronglySince[server] > 0 {
		w.result.WrongDuration += w.now - a.wronglySince[server]
		a.wronglySince[server] = 0
	}
}

// addOpenWrongEjections counts the wrong ejections that had not ended.
func (w *world) addOpenWrongEjections() {
	for _, a := range w.agents {
		for _, since := range a.wronglySince {
			if since > 0 {
				w.result.WrongDuration += w.now - since
			}
		}
	}
}

// wasUnreachable reports whether an agent's link to a server lost everything at any time while evidence lasts.
func (w *world) wasUnreachable(agent, server int) bool {
	for ago := time.Duration(0); ago <= ejection.DefaultMaxEvidenceAge && ago <= w.now; ago += time.Second {
		if w.options.LinkLoss(agent, server, w.now-ago) >= 1 {
			return true
		}
	}
	return false
}

// updateList gives a member its list with another state of one server.
func (w *world) updateList(a *agent, servers []ejection.Server, server int, state ejection.ListedState) {
	if a.member == nil {
		return
	}
	if a.changed == nil {
		a.changed = slices.Clone(servers)
	}
	a.changed[server].State = state
	list := w.listOf(server)
	if a.lists[list] == nil {
		return
	}
	var listed []ejection.Server
	for n, s := range a.changed {
		if w.listOf(n) == list {
			listed = append(listed, s)
		}
	}
	w.step(a, ejection.ListUpdated{Source: list, Servers: listed})
}
