package virtual

import (
	"fmt"
	"strings"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/peer/ejection"
	"vetchhaven/internal/simulate/model"
)

// Sharing describes how agents share the outcomes of their attempts at servers.
type Sharing struct {
	Lost float64       // share of messages that are lost
	Late time.Duration // delay of the messages that arrive
}

// Ended is called at the end of each attempt.
type Ended func(now time.Duration, agent int, server string, r decide.Result)

// reporter shares the outcomes of one agent and gets the ejections that result.
type reporter struct {
	a         *agent
	member    *ejection.Member
	wakeAt    time.Duration
	starts    map[string]int64
	list      map[string]ejection.Server
	ejections []ejection.Ejection
}

func memberName(n int) string { return fmt.Sprint("m", n) }

// startReporters makes all agents share their outcomes.
func (d *driver) startReporters() error {
	var names []string
	for n := range d.agents {
		names = append(names, memberName(n))
	}
	for n, a := range d.agents {
		m, err := ejection.New(ejection.Settings{Name: memberName(n), RunID: 1}, uint64(d.seed.Derive(model.HashName("verdicts"), uint64(n))))
		if err != nil {
			return err
		}
		a.reporter = &reporter{a: a, member: m, wakeAt: -1, starts: map[string]int64{}, list: map[string]ejection.Server{}}
		a.reporter.updateList(a.view.entries, true)
		a.reporter.step(ejection.MembersChanged{Names: names})
	}
	return nil
}

// updateList handles an update of the agent's endpoint list.
func (s *reporter) updateList(entries []model.Entry, full bool) {
	if full {
		clear(s.list)
	}
	for _, e := range entries {
		v := ejection.Server{ID: "main/" + e.Server.Name, StartedMS: e.Started.Milliseconds(), Zone: fmt.Sprint(e.Server.Zone), Pod: e.Server.Pod}
		switch e.State {
		case decide.Removed:
			delete(s.list, e.Server.Name)
			continue
		case decide.Draining:
			v.State = ejection.Draining
		}
		s.list[e.Server.Name], s.starts[e.Server.Name] = v, v.StartedMS
	}
	var all []ejection.Server
	for _, e := range s.a.view.entries {
		if v, ok := s.list[e.Server.Name]; ok {
			all = append(all, v)
		}
	}
	s.step(ejection.ListUpdated{Source: "main", Servers: all})
}

// observe passes on the outcome of an attempt.
func (s *reporter) observe(t *attempt, r decide.Result) {
	x := ejection.OutcomeSample{Server: "main/" + t.server, StartedMS: t.process}
	switch r {
	case decide.OK:
		x.Succeeded = 1
	case decide.Errored:
		x.Failed, x.ErrorResponses = 1, 1
	case decide.TimedOut, decide.ConnectFailed, decide.Reset, decide.Incomplete:
		x.Failed = 1
	default:
		return
	}
	s.step(ejection.OutcomesObserved{Samples: []ejection.OutcomeSample{x}})
}

func (s *reporter) step(events ...ejection.Event) {
	d := s.a.d
	for _, act := range s.member.Step(d.now+clockOffset, events...) {
		switch act := act.(type) {
		case ejection.Send:
			d.messages++
			d.bytes += 40 + 64*len(act.Message.Evidence) + 32*len(act.Message.Drains)
			var to int
			if _, err := fmt.Sscanf(act.To, "m%d", &to); err != nil || d.lossRand.Float64() < d.o.Share.Lost {
				continue
			}
			other, from := d.agents[to], memberName(s.a.n)
			d.at(d.now+d.o.Share.Late, func() {
				if other.up {
					other.reporter.step(ejection.Received{From: from, Message: act.Message})
				}
			})
		case ejection.EjectionsChanged:
			s.ejections = act.Ejections
			s.postEjections()
		}
	}
	if next := s.member.Next() - clockOffset; next != s.wakeAt {
		s.wakeAt = next
		d.at(next, func() {
			if s.wakeAt == next && d.now <= d.s.Length {
				s.wakeAt = -1
				s.step()
			}
		})
	}
}

// postEjections passes the ejections to the agent's policy.
func (s *reporter) postEjections() {
	if !s.a.up {
		return
	}
	var all []decide.Ejection
	for _, v := range s.ejections {
		name := strings.TrimPrefix(v.Server, "main/")
		x := decide.Ejection{Backend: name, Draining: v.Draining, Until: v.Until}
		for _, e := range s.a.view.entries {
			if e.Server.Name == name && e.Started > 0 {
				x.Started = e.Started + clockOffset
			}
		}
		all = append(all, x)
	}
	s.a.post(decide.Ejections{Ejections: all})
}
