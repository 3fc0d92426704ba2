package virtual

import (
	"fmt"
	"strings"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/peer/ejection"
	"vetchhaven/internal/simulate/model"
)

// Sharing is how agents tell one another what they see of servers.
type Sharing struct {
	Lost float64       // share of messages that are lost
	Late time.Duration // how long the rest takes
}

// Ended is told of the end of each attempt.
type Ended func(now time.Duration, agent int, server string, r decide.Result)

// sharer is an agent's part in it.
type sharer struct {
	a      *agent
	m      *ejection.Member
	wake   time.Duration
	starts map[string]int64
	list   map[string]ejection.Server
	judged []ejection.Ejection
}

func memberName(n int) string { return fmt.Sprint("m", n) }

// shareFrom has all agents share what they see.
func (d *driver) shareFrom() error {
	var names []string
	for n := range d.agents {
		names = append(names, memberName(n))
	}
	for n, a := range d.agents {
		m, err := ejection.New(ejection.Settings{Name: memberName(n), RunID: 1}, uint64(d.chance.Sub(model.Name("verdicts"), uint64(n))))
		if err != nil {
			return err
		}
		a.share = &sharer{a: a, m: m, wake: -1, starts: map[string]int64{}, list: map[string]ejection.Server{}}
		a.share.listed(a.view.entries, true)
		a.share.step(ejection.MembersChanged{Names: names})
	}
	return nil
}

// listed takes what the agent's own list says.
func (s *sharer) listed(entries []model.Entry, full bool) {
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

// saw passes on the end of an attempt.
func (s *sharer) saw(t *attempt, r decide.Result) {
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

func (s *sharer) step(events ...ejection.Event) {
	d := s.a.d
	for _, act := range s.m.Step(d.now+clockOffset, events...) {
		switch act := act.(type) {
		case ejection.Send:
			d.messages++
			d.bytes += 40 + 64*len(act.Message.Evidence) + 32*len(act.Message.Drains)
			var to int
			if _, err := fmt.Sscanf(act.To, "m%d", &to); err != nil || d.roll.Float64() < d.o.Share.Lost {
				continue
			}
			other, from := d.agents[to], memberName(s.a.n)
			d.at(d.now+d.o.Share.Late, func() {
				if other.up {
					other.share.step(ejection.Received{From: from, Message: act.Message})
				}
			})
		case ejection.EjectionsChanged:
			s.judged = act.Ejections
			s.tell()
		}
	}
	if next := s.m.Next() - clockOffset; next != s.wake {
		s.wake = next
		d.at(next, func() {
			if s.wake == next && d.now <= d.s.Length {
				s.wake = -1
				s.step()
			}
		})
	}
}

// tell gives the agent's policy the verdicts.
func (s *sharer) tell() {
	if !s.a.up {
		return
	}
	var all []decide.Ejection
	for _, v := range s.judged {
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
