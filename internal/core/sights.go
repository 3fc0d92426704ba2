package core

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"vetchhaven/decide"
)

// Sight is what became of an agent's attempts at one process of a server: evidence for others, counted as it came.
type Sight struct {
	Server  string
	Started int64 // of the process, ms, Unix; 0: long ago
	OK      int   // it answered
	Bad     int   // it failed: an error, no connection, a broken one, or no answer in time
	Said    int   // of these, those that it said itself: an answer amiss. The rest may be its link's fault
}

// sights gathers them for a while.
type sights struct {
	tell   func([]Sight)    // nil: nobody wants them
	starts map[string]int64 // by server, as the list has them
	all    map[sightOf]*Sight
	last   time.Time
	due    bool
}

type sightOf struct {
	server  string
	started int64
}

type sightsDue struct{}

// sightsEvery is how often they are told at the most.
const sightsEvery = 50 * time.Millisecond

// started notes when servers' processes started, by the list.
func (l *Loop) started(e List) {
	if l.sights.tell == nil {
		return
	}
	if l.sights.starts == nil {
		l.sights.starts, l.sights.all = map[string]int64{}, map[sightOf]*Sight{}
	}
	if e.Kind == decide.ListFull {
		clear(l.sights.starts)
	}
	for _, b := range e.Backends {
		l.sights.starts[b.ID] = e.Starts[b.ID]
	}
}

// saw counts the end of an attempt. One that says nothing of its server is left out.
func (l *Loop) saw(a *Attempt, r decide.Result) {
	s := &l.sights
	if s.tell == nil || s.all == nil {
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
	k := sightOf{a.Server, a.process}
	x := s.all[k]
	if x == nil {
		x = &Sight{Server: a.Server, Started: a.process}
		s.all[k] = x
	}
	x.OK, x.Bad, x.Said = x.OK+ok, x.Bad+bad, x.Said+said
	if wait := sightsEvery - time.Since(s.last); wait <= 0 {
		l.sight()
	} else if !s.due {
		s.due = true
		time.AfterFunc(wait, func() { l.post(sightsDue{}) })
	}
}

// sight tells them.
func (l *Loop) sight() {
	s := &l.sights
	s.due = false
	if len(s.all) == 0 || s.tell == nil {
		return
	}
	s.last = time.Now()
	var all []Sight
	for _, x := range s.all {
		all = append(all, *x)
	}
	slices.SortFunc(all, func(a, b Sight) int { return strings.Compare(a.Server, b.Server) })
	clear(s.all)
	s.tell(all)
}

// Verdict is one of the fleet's about a process of a server.
type Verdict struct {
	Server  string
	Started int64 // ms, Unix, as its list has it; 0: long ago
	Drain   bool
	Until   time.Time
}

type judged struct{ all []Verdict }

// Judge tells the module the fleet's verdicts, in place of the last ones. It does not wait: false says that the agent
// has too much to do to hear of it now.
func (a *Agent) Judge(all []Verdict) bool { return a.tell(judged{all}) }

// kept are the servers that verdicts keep from this agent's requests.
type kept struct {
	until   time.Duration // the last of them lapses then
	names   string
	refused int // requests for which there was no server meanwhile, since the last summary
}

const namedMost = 5 // servers that a refusal names

// keptFrom names them where a request is refused for want of a server.
func (l *Loop) keptFrom(why decide.Reason, now time.Duration) string {
	if why != decide.NoBackend || now >= l.kept.until {
		return ""
	}
	l.kept.refused++
	return l.kept.names
}

func (l *Loop) judge(e judged) {
	var all []decide.Ejection
	var names []string
	l.kept.until, l.kept.names = 0, ""
	for _, v := range e.all {
		x := decide.Ejection{Backend: v.Server, Draining: v.Drain, Until: l.clock.at(v.Until)}
		if v.Started > 0 {
			var known bool
			if x.Started, known = l.starts.of(v.Server, v.Started); !known {
				continue // of a process that this agent has not heard of, or of an earlier one
			}
		}
		all = append(all, x)
		l.kept.until = max(l.kept.until, x.Until)
		word := " (out)"
		if v.Drain {
			word = " (drains)"
		}
		names = append(names, v.Server+word)
	}
	if more := len(names) - namedMost; more > 0 {
		names = append(names[:namedMost], fmt.Sprintf("%d more", more))
	}
	l.kept.names = strings.Join(names, ", ")
	l.pending = append(l.pending, decide.Ejections{Ejections: all})
}
