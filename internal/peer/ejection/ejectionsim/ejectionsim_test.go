package ejectionsim

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// In all tests, faults last from faultStart to faultEnd.
const (
	faultStart = 10 * time.Second
	faultEnd   = 22 * time.Second
)

func noLoss(int, int, time.Duration) float64 { return 0 }

func noPathFaults(int, int, time.Duration) (float64, time.Duration) { return 0, 0 }

// duringFault returns a function that returns the loss during the fault, and 0 at other times.
func duringFault(loss func(agent, server int) float64) func(int, int, time.Duration) float64 {
	return func(agent, server int, now time.Duration) float64 {
		if now < faultStart || now >= faultEnd {
			return 0
		}
		return loss(agent, server)
	}
}

// failingDuringFault returns Options.FailureShare for one server that fails a share of its requests during the fault.
func failingDuringFault(server int, share float64) func(int, time.Duration) float64 {
	return func(s int, now time.Duration) float64 {
		if s == server && now >= faultStart && now < faultEnd {
			return share
		}
		return 0
	}
}

// runDefaults runs a simulation. By default no server fails, and no request or message is lost.
func runDefaults(t *testing.T, o Options) *Result {
	t.Helper()
	if o.FailureShare == nil {
		o.FailureShare = failingDuringFault(-1, 0)
	}
	if o.LinkLoss == nil {
		o.LinkLoss = noLoss
	}
	if o.PeerPath == nil {
		o.PeerPath = noPathFaults
	}
	r, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// runFleet runs a simulation of 24 agents and 8 servers for 40 s. The delays in the result are sorted.
func runFleet(t *testing.T, o Options) *Result {
	t.Helper()
	o.Agents = 24
	o.Servers = 8
	o.ErrorRate = 0.005
	o.LocalEjection = true
	o.ShareEvidence = true
	o.Duration = 40 * time.Second
	r := runDefaults(t, o)
	slices.Sort(r.EjectionDelays)
	slices.Sort(r.ReadmissionDelays)
	return r
}

func TestFailingServerIsEjectedByAllAndReadmitted(t *testing.T) {
	halfLost := func(int, int, time.Duration) (float64, time.Duration) { return 0.5, 20 * time.Millisecond }
	for _, c := range []struct {
		name     string
		share    float64
		path     func(int, int, time.Duration) (float64, time.Duration)
		maxDelay time.Duration
	}{
		{"all requests", 1, noPathFaults, 2 * time.Second},
		{"a third of the requests", 0.33, noPathFaults, 12 * time.Second},
		{"all requests, half of the messages lost", 1, halfLost, 8 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := runFleet(t, Options{Seed: 3, Rate: 10, FailureShare: failingDuringFault(3, c.share), PeerPath: c.path})
			if len(r.EjectionDelays) < 18 || r.EjectionDelays[16] > c.maxDelay {
				t.Errorf("ejected by %d members after %v", len(r.EjectionDelays), r.EjectionDelays)
			}
			if len(r.ReadmissionDelays) < 5 {
				t.Errorf("readmitted by %d members after %v", len(r.ReadmissionDelays), r.ReadmissionDelays)
			}
			if r.WrongEjections > 0 {
				t.Errorf("%d wrong ejections", r.WrongEjections)
			}
		})
	}
}

func TestBrokenLinksEjectNoServer(t *testing.T) {
	lossOf := func(loss float64, broken func(agent, server int) bool) func(int, int, time.Duration) float64 {
		return duringFault(func(agent, server int) float64 {
			if broken(agent, server) {
				return loss
			}
			return 0
		})
	}
	for _, c := range []struct {
		name string
		loss func(int, int, time.Duration) float64
	}{
		{"one member", lossOf(1, func(agent, _ int) bool { return agent == 5 })},
		{"three of ten members", lossOf(1, func(agent, _ int) bool { return agent%10 < 3 })},
		{"half of the requests of three of ten members", lossOf(0.5, func(agent, _ int) bool { return agent%10 < 3 })},
		{"half of the members to one server", lossOf(1, func(agent, server int) bool { return agent%2 == 0 && server == 3 })},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := runFleet(t, Options{Seed: 4, Rate: 10, LinkLoss: c.loss})
			if r.WrongEjections > 0 {
				t.Errorf("%d wrong ejections for %v in total", r.WrongEjections, r.WrongDuration)
			}
		})
	}
}

// Evidence that is older than MaxEvidenceAge on arrival is ignored, so that no server is ejected.
func TestLateEvidenceIsIgnored(t *testing.T) {
	late := func(int, int, time.Duration) (float64, time.Duration) { return 0, 21 * time.Second }
	r := runFleet(t, Options{Seed: 5, Rate: 10, FailureShare: failingDuringFault(3, 1), PeerPath: late})
	if r.Ejections > 0 {
		t.Errorf("%d ejections", r.Ejections)
	}
}

func TestPartitionedMembersUseTheirOwnEvidence(t *testing.T) {
	const (
		partitionStart = faultStart + 4*time.Second
		maxEvidence    = 21 * time.Second
	)
	path := func(from, to int, now time.Duration) (float64, time.Duration) {
		if (from < 2) != (to < 2) && now >= partitionStart {
			return 1, 0
		}
		return 0, 0
	}
	r := runFleet(t, Options{Seed: 6, Rate: 10, FailureShare: failingDuringFault(3, 1), PeerPath: path})
	ended := 0
	for _, e := range r.EndedEjections {
		if e.Agent >= 2 || e.At <= partitionStart {
			continue
		}
		ended++
		if e.At > partitionStart+maxEvidence {
			t.Errorf("member %d: an ejection lasted until %v without evidence", e.Agent, e.At)
		}
	}
	if ended == 0 {
		t.Error("no partitioned member had ejected the server")
	}
}

// The order of reports varies with the seed. With each seed, most members eject a server that fails a third of its
// requests.
func TestPartialFailureIsFoundInAnyOrder(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := runFleet(t, Options{Seed: 10 + seed, Rate: 10, FailureShare: failingDuringFault(3, 0.33)})
			if len(r.EjectionDelays) < 18 || r.WrongEjections > 0 {
				t.Errorf("ejected by %d of 24 members, %d wrong ejections", len(r.EjectionDelays), r.WrongEjections)
			}
		})
	}
}

// A server that does not respond at all is ejected too, although this requires more reports.
func TestUnresponsiveServerIsEjectedByAll(t *testing.T) {
	r := runFleet(t, Options{Seed: 7, Rate: 10, FailureShare: failingDuringFault(3, 1), Unresponsive: true})
	if len(r.EjectionDelays) < 18 || r.EjectionDelays[16] > 4*time.Second || r.WrongEjections > 0 {
		t.Errorf("ejected by %d members after %v, %d wrong ejections", len(r.EjectionDelays), r.EjectionDelays, r.WrongEjections)
	}
}
