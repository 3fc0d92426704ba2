package core

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"vetchhaven/decide"
)

// OutcomeSample is what became of an agent's attempts at one process of a server: evidence for others, counted as it came.
type OutcomeSample struct {
	Server         string
	StartedMS      int64 // of the process, ms, Unix; 0: long ago
	Succeeded      int   // it answered
	Failed         int   // it failed: an error, no connection, a broken one, or no answer in time
	ErrorResponses int   // of these, those that it said itself: an answer amiss. The rest may be its link's fault
}

// outcomeReport gathers them for a while.
type outcomeReport struct {
	report     func([]OutcomeSample) // nil: nobody wants them
	starts     map[string]int64      // by server, as the list has them
	samples    map[serverProcess]*OutcomeSample
	reportedAt time.Time
	scheduled  bool
}

type serverProcess struct {
	server    string
	startedMS int64
}

type outcomesDue struct{}

// outcomeInterval is how often they are told at the most.
const outcomeInterval = 50 * time.Millisecond

// noteStarts notes when servers' processes started, by the list.
func (l *Loop) noteStarts(e List) {
	if l.outcomes.report == nil {
		return
	}
	if l.outcomes.starts == nil {
		l.outcomes.starts, l.outcomes.samples = map[string]int64{}, map[serverProcess]*OutcomeSample{}
	}
	if e.Kind == decide.ListFull {
		clear(l.outcomes.starts)
	}
	for _, b := range e.Backends {
		l.outcomes.starts[b.ID] = e.Starts[b.ID]
	}
}

// recordOutcome counts the end of an attempt. One that says nothing of its server is left out.
func (l *Loop) recordOutcome(a *Attempt, r decide.Result) {
	s := &l.outcomes
	if s.report == nil || s.samples == nil {
		return
	}
	ok, bad, said := 0, 0, 0
	switch r {
	case decide.OK:
		ok = 1
	case decide.Errored:
		bad, said = 1, 1
	case decide.TimedOut, decide.ConnectFailed, decide.Reset, decide.Incomplete:
		bad = 1
	default:
		return
	}
	k := serverProcess{a.Server, a.processStarted}
	x := s.samples[k]
	if x == nil {
		x = &OutcomeSample{Server: a.Server, StartedMS: a.processStarted}
		s.samples[k] = x
	}
	x.Succeeded, x.Failed, x.ErrorResponses = x.Succeeded+ok, x.Failed+bad, x.ErrorResponses+said
	if wait := outcomeInterval - time.Since(s.reportedAt); wait <= 0 {
		l.reportOutcomes()
	} else if !s.scheduled {
		s.scheduled = true
		time.AfterFunc(wait, func() { l.post(outcomesDue{}) })
	}
}

// reportOutcomes tells them.
func (l *Loop) reportOutcomes() {
	s := &l.outcomes
	s.scheduled = false
	if len(s.samples) == 0 || s.report == nil {
		return
	}
	s.reportedAt = time.Now()
	var all []OutcomeSample
	for _, x := range s.samples {
		all = append(all, *x)
	}
	slices.SortFunc(all, func(a, b OutcomeSample) int { return strings.Compare(a.Server, b.Server) })
	clear(s.samples)
	s.report(all)
}

// Ejection is one of the fleet's about a process of a server.
type Ejection struct {
	Server    string
	StartedMS int64 // ms, Unix, as its list has it; 0: long ago
	Draining  bool
	ExpiresAt time.Time
}

type ejectionsUpdated struct{ ejections []Ejection }

// SetEjections tells the module the fleet's verdicts, in place of the last ones. It does not wait: false says that the agent
// has too much to do to hear of it now.
func (a *Agent) SetEjections(all []Ejection) bool { return a.tryPost(ejectionsUpdated{all}) }

// ejectedServers are the servers that verdicts keep from this agent's requests.
type ejectedServers struct {
	lastExpiry time.Duration // the last of them lapses then
	names      string
	refusals   int // requests for which there was no server meanwhile, since the last summary
}

const maxNamedServers = 5 // servers that a refusal names

// ejectedServers names them where a request is refused for want of a server.
func (l *Loop) ejectedServers(why decide.Reason, now time.Duration) string {
	if why != decide.NoBackend || now >= l.ejected.lastExpiry {
		return ""
	}
	l.ejected.refusals++
	return l.ejected.names
}

func (l *Loop) onEjections(e ejectionsUpdated) {
	var all []decide.Ejection
	var names []string
	l.ejected.lastExpiry, l.ejected.names = 0, ""
	for _, v := range e.ejections {
		x := decide.Ejection{Backend: v.Server, Draining: v.Draining, Until: l.clock.at(v.ExpiresAt)}
		if v.StartedMS > 0 {
			var known bool
			if x.Started, known = l.starts.startedAt(v.Server, v.StartedMS); !known {
				continue // of a process that this agent has not heard of, or of an earlier one
			}
		}
		all = append(all, x)
		l.ejected.lastExpiry = max(l.ejected.lastExpiry, x.Until)
		word := " (out)"
		if v.Draining {
			word = " (drains)"
		}
		names = append(names, v.Server+word)
	}
	if more := len(names) - maxNamedServers; more > 0 {
		names = append(names[:maxNamedServers], fmt.Sprintf("%d more", more))
	}
	l.ejected.names = strings.Join(names, ", ")
	l.pending = append(l.pending, decide.Ejections{Ejections: all})
}
