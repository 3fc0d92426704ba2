package checker

import (
	"fmt"
	"strings"
	"time"
)

// faulty is a server as it truly is.
type faulty struct {
	fails   float64
	since   int64 // it fails, or is well, since
	failed  int64 // it last failed
	known   map[string]bool
	settled bool // whether all knew it was looked at
}

// serversJudge judges verdicts about servers.
type serversJudge struct {
	j                        *judge
	b                        Bounds
	all                      map[string]*faulty
	known, kept, wrong, back *Claim
}

func (s *serversJudge) start(j *judge, b Bounds) []*Claim {
	s.j, s.b, s.all = j, b, map[string]*faulty{}
	s.known = &Claim{Name: VerdictKnown, Text: fmt.Sprintf("%v after a server began to fail all requests, all daemons that run and are linked keep off it, but for those that try it", b.Verdict)}
	s.kept = &Claim{Name: KeptOff, Text: fmt.Sprintf("from then on it gets %.0f%% of an even share of requests at the most", 100*b.Kept)}
	s.wrong = &Claim{Name: NoWrongOut, Text: "no daemon holds a server for out that answers, whatever is wrong with links"}
	s.back = &Claim{Name: BackAgain, Text: fmt.Sprintf("%v after it is well, a server gets half of an even share of requests or more", 6*b.Verdict)}
	return []*Claim{s.known, s.kept, s.wrong, s.back}
}

func (s *serversJudge) of(server string) *faulty {
	f := s.all[server]
	if f == nil {
		f = &faulty{known: map[string]bool{}}
		s.all[server] = f
	}
	return f
}

// calm reports whether no server failed lately: else members have something to tell one another.
func (s *serversJudge) calm(t int64) bool {
	for _, f := range s.all {
		if f.fails > 0 || f.failed > 0 && t-f.failed < int64(time.Minute) {
			return false
		}
	}
	return true
}

// said takes what a daemon holds.
func (s *serversJudge) said(l *Line) {
	_, server, _ := strings.Cut(l.Server, "/")
	f := s.of(server)
	switch l.State {
	case "out":
		f.known[l.By] = true
		s.wrong.Tried++
		if f.fails == 0 && (f.failed == 0 || l.T-f.failed > int64(4*s.b.Verdict)) {
			s.wrong.fail(l.T, s.j.base, "%s holds %s for out, which answers", l.By, server)
		}
	case "free":
		delete(f.known, l.By)
	}
}

// triers is how many members may try a server that is out, by docs/design/shared-verdicts.md.
func triers(members int) int { return max(1, min(3, members/8)) }

// truth takes what servers truly do, and get.
func (s *serversJudge) truth(l *Line) {
	f := s.of(l.Server)
	if l.What == Fault {
		if l.Of != "" { // a link: nobody may hold the server for out
			s.wrong.Tried++
			return
		}
		if (l.Drop > 0) != (f.fails > 0) {
			f.since, f.settled = l.T, false
		}
		if f.fails > 0 {
			f.failed = l.T
		}
		f.fails = l.Drop
		return
	}
	if f.fails > 0 {
		f.failed = l.T
	}
	even := float64(l.Wanted) / float64(max(1, l.Members))
	age := l.T - f.since - int64(time.Second) // the second before is told
	switch {
	case f.since == 0 || even < 3 || !s.j.quiet() || s.j.truthAt > f.since && l.T-s.j.truthAt < int64(s.b.Settle):
	case f.fails >= 0.9 && age > int64(s.b.Verdict):
		if !f.settled {
			f.settled = true
			running := 0
			for _, p := range s.j.pids {
				if p.up && !p.twin && p.paused == 0 {
					running++
				}
			}
			s.known.Tried++
			s.known.near(-float64(len(f.known)), "%d of %d (%s)", len(f.known), running, l.Server)
			if len(f.known) < running-triers(running) {
				s.known.fail(l.T, s.j.base, "%s fails, and %d of %d keep off it", l.Server, len(f.known), running)
			}
		}
		s.kept.Tried++
		s.kept.near(float64(l.Asked)/even, "%d of %.0f in a second (%s)", l.Asked, even, l.Server)
		if float64(l.Asked) > s.b.Kept*even {
			s.kept.fail(l.T, s.j.base, "%s fails, and got %d of %.0f in a second", l.Server, l.Asked, even)
		}
	case f.fails == 0 && f.failed > 0 && age > int64(6*s.b.Verdict):
		s.back.Tried++
		s.back.near(-float64(l.Asked)/even, "%d of %.0f in a second (%s)", l.Asked, even, l.Server)
		if float64(l.Asked) < 0.5*even {
			s.back.fail(l.T, s.j.base, "%s is well, and got %d of %.0f in a second", l.Server, l.Asked, even)
		}
	}
}
