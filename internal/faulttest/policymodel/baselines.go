package policymodel

import (
	"time"

	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/peer/policy"
)

// simple is what the baselines know: plain ways by which operators bring a change to all today.
type simple struct {
	number uint64
	have   map[string]*policy.Document // by member: its file
}

const (
	hostAfterHost = 200 * time.Millisecond // an operator's loop over all hosts takes so long for each
	telling       = 200 * time.Millisecond // each tells one other, so often
)

// simpleStart has a member serve by its file at once, whatever the others do.
func (w *world) simpleStart(m *member) {
	if w.simple.have == nil {
		w.simple.have = map[string]*policy.Document{}
	}
	if w.simple.have[m.name] == nil {
		w.simple.have[m.name] = &policy.Document{}
	}
	m.serving = policy.Serving{Document: w.simple.have[m.name], Until: policy.Never}
	w.takes(m, m.pid)
	if w.o.Way == Gossip {
		w.gossip(m, m.pid)
	}
}

// simpleApply brings a change to all: host after host, or to one that tells others.
func (w *world) simpleApply(m *member, id string) {
	w.simple.number++
	d := &policy.Document{Number: w.simple.number, ID: id}
	if w.o.Way == Gossip {
		w.simpleTake(m, d)
	} else {
		for i, o := range w.all {
			w.at(w.now+time.Duration(i)*hostAfterHost, func() {
				if o.pid > 0 && w.linkOf(m.n, o.n).Drop < 1 && !o.paused && o.serving.Blocked != "down" { // else the loop goes on with the next
					w.simpleTake(o, d)
				}
			})
		}
	}
	w.line(checker.Line{What: checker.AuthorNotified, Of: m.name, ID: id, State: "in force", Number: d.Number})
}

func (w *world) simpleTake(m *member, d *policy.Document) {
	if w.simple.have[m.name].Number < d.Number {
		w.simple.have[m.name] = d
		m.serving = policy.Serving{Document: d, Until: policy.Never}
	}
}

// gossip has a member tell another what it has, now and then.
func (w *world) gossip(m *member, pid int) {
	w.at(w.now+time.Duration((0.75+0.5*w.rng.Float64())*float64(telling)), func() {
		if m.pid != pid || m.serving.Blocked == "down" {
			return
		}
		w.gossip(m, pid)
		to, d := w.all[w.rng.IntN(len(w.all))], w.simple.have[m.name]
		if m.paused || to == m || to.serving.Blocked == "down" || w.rng.Float64() < w.linkOf(m.n, to.n).Drop {
			return
		}
		w.at(w.now+base, func() {
			w.act(to, func() {
				if to.serving.Blocked != "down" {
					w.simpleTake(to, d)
				}
			})
		})
	})
}
