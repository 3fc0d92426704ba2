package policymodel

import (
	"time"

	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/peer/policy"
)

// baselineState is the state of the baselines, which are simple methods to distribute a change to all members.
type baselineState struct {
	number uint64
	have   map[string]*policy.Document // by member: its current document
}

const (
	hostReloadTime = 200 * time.Millisecond // time per host of an operator's loop over all hosts
	gossipInterval = 200 * time.Millisecond // mean time between two messages of a member, each to one other
)

// startBaseline makes a member serve by its own document at once, regardless of the other members.
func (w *simulation) startBaseline(m *member) {
	if w.baseline.have == nil {
		w.baseline.have = map[string]*policy.Document{}
	}
	if w.baseline.have[m.name] == nil {
		w.baseline.have[m.name] = &policy.Document{}
	}
	m.serving = policy.Serving{Document: w.baseline.have[m.name], Until: policy.Never}
	w.scheduleRequest(m, m.pid)
	if w.options.Way == Gossip {
		w.gossip(m, m.pid)
	}
}

// proposeBaseline distributes a change: to one host after another, or by gossip from one member.
func (w *simulation) proposeBaseline(m *member, id string) {
	w.baseline.number++
	d := &policy.Document{Number: w.baseline.number, ID: id}
	if w.options.Way == Gossip {
		w.adoptBaseline(m, d)
	} else {
		for i, o := range w.members {
			w.schedule(w.now+time.Duration(i)*hostReloadTime, func() {
				if o.pid > 0 && w.linkOf(m.n, o.n).Drop < 1 && !o.paused && o.serving.Blocked != "down" {
					// An unreachable host is skipped.
					w.adoptBaseline(o, d)
				}
			})
		}
	}
	w.record(checker.Line{What: checker.AuthorNotified, Of: m.name, ID: id, State: "in force", Number: d.Number})
}

func (w *simulation) adoptBaseline(m *member, d *policy.Document) {
	if w.baseline.have[m.name].Number < d.Number {
		w.baseline.have[m.name] = d
		m.serving = policy.Serving{Document: d, Until: policy.Never}
	}
}

// gossip makes a member send its document to a random other member at intervals.
func (w *simulation) gossip(m *member, pid int) {
	w.schedule(w.now+time.Duration((0.75+0.5*w.rng.Float64())*float64(gossipInterval)), func() {
		if m.pid != pid || m.serving.Blocked == "down" {
			return
		}
		w.gossip(m, pid)
		to, d := w.members[w.rng.IntN(len(w.members))], w.baseline.have[m.name]
		if m.paused || to == m || to.serving.Blocked == "down" || w.rng.Float64() < w.linkOf(m.n, to.n).Drop {
			return
		}
		w.schedule(w.now+minDelay, func() {
			w.whenRunning(to, func() {
				if to.serving.Blocked != "down" {
					w.adoptBaseline(to, d)
				}
			})
		})
	})
}
