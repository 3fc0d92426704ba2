package checker

import (
	"fmt"
	"strings"
	"time"
)

// serverTruth is the true state of a server, according to the fault test, and its ejections.
type serverTruth struct {
	failureShare    float64
	changedAt       int64 // last change between failing and healthy
	lastFailedAt    int64 // when it last failed
	ejectedBy       map[string]bool
	ejectionChecked bool // whether ejectionKnown has been checked since changedAt
}

// serversChecker checks ejections and readmissions of servers.
type serversChecker struct {
	checker                                                 *checker
	bounds                                                  Bounds
	servers                                                 map[string]*serverTruth
	ejectionKnown, ejectionKept, wrongEjection, readmission *Claim
}

func (s *serversChecker) begin(ck *checker, b Bounds) []*Claim {
	s.checker = ck
	s.bounds = b
	s.servers = map[string]*serverTruth{}
	s.ejectionKnown = &Claim{Name: EjectionKnown, Text: fmt.Sprintf("%v after a server began to fail all requests, all running, linked daemons have ejected it, except for those that probe it", b.Ejection)}
	s.ejectionKept = &Claim{Name: EjectionKept, Text: fmt.Sprintf("from then on it gets at most %.0f%% of an even share of requests", 100*b.MaxEjectedShare)}
	s.wrongEjection = &Claim{Name: NoWrongEjection, Text: "no daemon ejects a server that answers, whatever faults the links have"}
	s.readmission = &Claim{Name: ServerReadmitted, Text: fmt.Sprintf("%v after it is healthy again, a server gets at least half of an even share of requests", 6*b.Ejection)}
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

// areAllHealthy reports whether no server failed within the last minute. Otherwise members exchange reports about it.
func (s *serversChecker) areAllHealthy(t int64) bool {
	for _, f := range s.servers {
		if f.failureShare > 0 || f.lastFailedAt > 0 && t-f.lastFailedAt < int64(time.Minute) {
			return false
		}
	}
	return true
}

// applyReport applies a change of a daemon's ejection state of a server.
func (s *serversChecker) applyReport(l *Line) {
	_, server, _ := strings.Cut(l.Server, "/")
	f := s.server(server)
	switch l.State {
	case "out":
		f.ejectedBy[l.By] = true
		s.wrongEjection.Tried++
		if f.failureShare == 0 && (f.lastFailedAt == 0 || l.T-f.lastFailedAt > int64(4*s.bounds.Ejection)) {
			s.wrongEjection.recordBreak(l.T, s.checker.base, "%s has ejected %s, which answers", l.By, server)
		}
	case "free":
		delete(f.ejectedBy, l.By)
	}
}

// maxProbers returns how many members may probe an ejected server; see docs/design/shared-verdicts.md.
func maxProbers(members int) int { return max(1, min(3, members/8)) }

// applyTruth applies a fault of a server, or the number of requests that a server received.
func (s *serversChecker) applyTruth(l *Line) {
	f := s.server(l.Server)
	if l.What == Fault {
		if l.Of != "" { // a link fault: no daemon may eject the server
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
	even := float64(l.Demand) / float64(max(1, l.Members))
	age := l.T - f.changedAt - int64(time.Second) // the line is about the second before it
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
				s.ejectionKnown.recordBreak(l.T, s.checker.base, "%s fails, but only %d of %d have ejected it", l.Server, len(f.ejectedBy), running)
			}
		}
		s.ejectionKept.Tried++
		s.ejectionKept.recordMargin(float64(l.Count)/even, "%d of %.0f in a second (%s)", l.Count, even, l.Server)
		if float64(l.Count) > s.bounds.MaxEjectedShare*even {
			s.ejectionKept.recordBreak(l.T, s.checker.base, "%s fails, but got %d of %.0f in a second", l.Server, l.Count, even)
		}
	case f.failureShare == 0 && f.lastFailedAt > 0 && age > int64(6*s.bounds.Ejection):
		s.readmission.Tried++
		s.readmission.recordMargin(-float64(l.Count)/even, "%d of %.0f in a second (%s)", l.Count, even, l.Server)
		if float64(l.Count) < 0.5*even {
			s.readmission.recordBreak(l.T, s.checker.base, "%s is healthy, but got %d of %.0f in a second", l.Server, l.Count, even)
		}
	}
}
