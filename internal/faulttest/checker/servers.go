package checker

import (
	"fmt"
	"strings"
	"time"
)

// serverTruth is a server's real condition, by what the fault test did.
type serverTruth struct {
	failureShare    float64
	changedAt       int64 // it fails, or is well, since
	lastFailedAt    int64 // it last failed
	ejectedBy       map[string]bool
	ejectionChecked bool // whether all knew it was looked at
}

// serversChecker checks ejections and readmissions of servers.
type serversChecker struct {
	checker                                                 *checker
	bounds                                                  Bounds
	servers                                                 map[string]*serverTruth
	ejectionKnown, ejectionKept, wrongEjection, readmission *Claim
}

func (s *serversChecker) begin(j *checker, b Bounds) []*Claim {
	s.checker = j
	s.bounds = b
	s.servers = map[string]*serverTruth{}
	s.ejectionKnown = &Claim{Name: EjectionKnown, Text: fmt.Sprintf("%v after a server began to fail all requests, all daemons that run and are linked keep off it, but for those that try it", b.Ejection)}
	s.ejectionKept = &Claim{Name: EjectionKept, Text: fmt.Sprintf("from then on it gets %.0f%% of an even share of requests at the most", 100*b.MaxEjectedShare)}
	s.wrongEjection = &Claim{Name: NoWrongOut, Text: "no daemon holds a server for out that answers, whatever is wrong with links"}
	s.readmission = &Claim{Name: BackAgain, Text: fmt.Sprintf("%v after it is well, a server gets half of an even share of requests or more", 6*b.Ejection)}
	return []*Claim{s.ejectionKnown, s.ejectionKept, s.wrongEjection, s.readmission}
}

func (s *serversChecker) server(server string) *serverTruth {
	f := s.servers[server]
	if f == nil {
		f = &serverTruth{ejectedBy: map[string]bool{}}
		s.servers[server] = f
	}
	return f
}

// areAllHealthy reports whether no server failed lately: else members have something to tell one another.
func (s *serversChecker) areAllHealthy(t int64) bool {
	for _, f := range s.servers {
		if f.failureShare > 0 || f.lastFailedAt > 0 && t-f.lastFailedAt < int64(time.Minute) {
			return false
		}
	}
	return true
}

// applyReport takes what a daemon holds.
func (s *serversChecker) applyReport(l *Line) {
	_, server, _ := strings.Cut(l.Server, "/")
	f := s.server(server)
	switch l.State {
	case "out":
		f.ejectedBy[l.By] = true
		s.wrongEjection.Tried++
		if f.failureShare == 0 && (f.lastFailedAt == 0 || l.T-f.lastFailedAt > int64(4*s.bounds.Ejection)) {
			s.wrongEjection.recordBreak(l.T, s.checker.base, "%s holds %s for out, which answers", l.By, server)
		}
	case "free":
		delete(f.ejectedBy, l.By)
	}
}

// maxProbers is how many members may try a server that is out, by docs/design/shared-verdicts.md.
func maxProbers(members int) int { return max(1, min(3, members/8)) }

// applyTruth takes what servers truly do, and get.
func (s *serversChecker) applyTruth(l *Line) {
	f := s.server(l.Server)
	if l.What == Fault {
		if l.Of != "" { // a link: nobody may hold the server for out
			s.wrongEjection.Tried++
			return
		}
		if (l.Drop > 0) != (f.failureShare > 0) {
			f.changedAt, f.ejectionChecked = l.T, false
		}
		if f.failureShare > 0 {
			f.lastFailedAt = l.T
		}
		f.failureShare = l.Drop
		return
	}
	if f.failureShare > 0 {
		f.lastFailedAt = l.T
	}
	even := float64(l.Wanted) / float64(max(1, l.Members))
	age := l.T - f.changedAt - int64(time.Second) // the second before is told
	switch {
	case f.changedAt == 0 || even < 3 || !s.checker.areLinksUndisturbed() || s.checker.truthChangedAt > f.changedAt && l.T-s.checker.truthChangedAt < int64(s.bounds.Settle):
	case f.failureShare >= 0.9 && age > int64(s.bounds.Ejection):
		if !f.ejectionChecked {
			f.ejectionChecked = true
			running := 0
			for _, p := range s.checker.processes {
				if p.up && !p.duplicate && p.pausedAt == 0 {
					running++
				}
			}
			s.ejectionKnown.Tried++
			s.ejectionKnown.recordMargin(-float64(len(f.ejectedBy)), "%d of %d (%s)", len(f.ejectedBy), running, l.Server)
			if len(f.ejectedBy) < running-maxProbers(running) {
				s.ejectionKnown.recordBreak(l.T, s.checker.base, "%s fails, and %d of %d keep off it", l.Server, len(f.ejectedBy), running)
			}
		}
		s.ejectionKept.Tried++
		s.ejectionKept.recordMargin(float64(l.Asked)/even, "%d of %.0f in a second (%s)", l.Asked, even, l.Server)
		if float64(l.Asked) > s.bounds.MaxEjectedShare*even {
			s.ejectionKept.recordBreak(l.T, s.checker.base, "%s fails, and got %d of %.0f in a second", l.Server, l.Asked, even)
		}
	case f.failureShare == 0 && f.lastFailedAt > 0 && age > int64(6*s.bounds.Ejection):
		s.readmission.Tried++
		s.readmission.recordMargin(-float64(l.Asked)/even, "%d of %.0f in a second (%s)", l.Asked, even, l.Server)
		if float64(l.Asked) < 0.5*even {
			s.readmission.recordBreak(l.T, s.checker.base, "%s is well, and got %d of %.0f in a second", l.Server, l.Asked, even)
		}
	}
}
