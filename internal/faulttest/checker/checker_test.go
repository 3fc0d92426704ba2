package checker

import (
	"cmp"
	"slices"
	"strings"
	"testing"
	"time"
)

var bounds = Bounds{Crash: 3 * time.Second, Leave: time.Second, Join: 2 * time.Second, Settle: 4 * time.Second, Pause: 1500 * time.Millisecond, MinServed: 0.99, MaxIdleBytes: 1000, MaxBytes: 5000}

// history builds the lines of a run.
type history struct{ lines []Line }

func (s *history) at(sec float64, l Line) *history {
	l.T = int64(sec * 1e9)
	if l.By == "" {
		l.By = FaultTest
	}
	s.lines = append(s.lines, l)
	return s
}

// threeDaemons returns a history in which three daemons start and see one another.
func threeDaemons() *history {
	s := &history{}
	names := []string{"a", "b", "c"}
	for i, n := range names {
		s.at(0, Line{What: Up, Of: n, PID: i + 1, Balancers: 1}).at(0, Line{What: Start, By: n, PID: i + 1, RunID: n + "1"})
	}
	for i, n := range names {
		for _, o := range names {
			if o != n {
				s.sees(0.5, i+1, o, o+"1", "alive")
			}
		}
		s.at(0.5, Line{What: Counted, By: n, PID: i + 1, MaxBalancers: 3})
	}
	return s
}

func (s *history) sees(at float64, pid int, of, life, state string) *history {
	return s.at(at, Line{What: Member, By: string("abc"[pid-1]), PID: pid, Of: of, RunID: life, State: state})
}

func expectOutcome(t *testing.T, s *history, claim, want string) {
	t.Helper()
	r := Check(bounds, s.lines)
	if c := r.Find(claim); c.Outcome() != want {
		t.Errorf("%s: %s (tried %d), want %s: %v", claim, c.Outcome(), c.Tried, want, c.Breaks)
	}
}

func TestClaimsWithoutOccasionAreNotTried(t *testing.T) {
	for _, c := range Check(bounds, nil).Claims {
		if c.Outcome() != "not tried" {
			t.Errorf("%s: %s", c.Name, c.Outcome())
		}
	}
	if missed := Check(bounds, nil).NotTried([]string{Settled}); len(missed) != 1 {
		t.Error(missed)
	}
}

func TestCrashKnown(t *testing.T) {
	dead := func() *history { return threeDaemons().at(10, Line{What: Down, Of: "c", PID: 3, Why: "kill"}) }
	expectOutcome(t, dead().sees(12, 1, "c", "c1", "dead").sees(12.5, 2, "c", "c1", "dead").at(30, Line{What: End}), CrashKnown, "kept")
	expectOutcome(t, dead().sees(12, 1, "c", "c1", "dead").sees(13.5, 2, "c", "c1", "dead").at(30, Line{What: End}), CrashKnown, "BROKEN")
	expectOutcome(t, dead().sees(12, 1, "c", "c1", "dead").at(30, Line{What: End}), Settled, "BROKEN")
	expectOutcome(t, dead().at(11, Line{What: Link, From: "a", To: "b", Drop: 1}).at(30, Line{What: End}), CrashKnown, "not tried")
}

// A process ends a tenth of a second after it announced its leave. The expectation that others learn of the leave
// within seconds must outlive the process.
func TestLeaveKnown(t *testing.T) {
	for _, c := range []struct {
		name, want string
		knows      map[int]float64 // when a and b consider c departed
		as         string
	}{
		{"all learn of it at once", "kept", map[int]float64{1: 10.003, 2: 10.003}, "left"},
		{"one learns of it after the process has ended", "kept", map[int]float64{1: 10.003, 2: 10.9}, "left"},
		{"all learn of it before its line is written", "kept", map[int]float64{1: 9.999, 2: 9.999}, "left"},
		{"one never learns of it", "BROKEN", map[int]float64{1: 10.003}, "left"},
		{"one learns of it too late", "BROKEN", map[int]float64{1: 10.003, 2: 11.1}, "left"},
		{"none learns of it", "BROKEN", nil, ""},
		{"all consider it dead", "BROKEN", map[int]float64{1: 10.5, 2: 10.5}, "dead"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := threeDaemons().at(9.99, Line{What: ShutdownRequested, Of: "c", PID: 3}).at(10, Line{What: Leaving, By: "c", PID: 3}).at(10.13, Line{What: Down, Of: "c", PID: 3, Why: "term"})
			for pid, at := range c.knows {
				s.sees(at, pid, "c", "c1", c.as)
			}
			s.at(30, Line{What: End})
			slices.SortStableFunc(s.lines, func(a, b Line) int { return cmp.Compare(a.T, b.T) })
			expectOutcome(t, s, LeaveKnown, c.want)
			if r := Check(bounds, s.lines); r.Find(LeaveKnown).Tried != 2 {
				t.Errorf("tried %d times, want once for each of two observers", r.Find(LeaveKnown).Tried)
			}
		})
	}
	// An observer that sees the next process of the name has thereby learned that the previous one left. One that sees
	// an earlier process has not.
	gone := func() *history {
		return threeDaemons().at(10, Line{What: Leaving, By: "c", PID: 3}).at(10.1, Line{What: Down, Of: "c", PID: 3, Why: "term"}).sees(10.1, 1, "c", "c1", "left")
	}
	expectOutcome(t, gone().at(10.2, Line{What: Up, Of: "c", PID: 4, Balancers: 1}).at(10.3, Line{What: Start, By: "c", PID: 4, RunID: "c2"}).
		sees(10.5, 2, "c", "c2", "alive").at(30, Line{What: End}), LeaveKnown, "kept")
	expectOutcome(t, gone().sees(10.5, 2, "c", "c0", "dead").at(30, Line{What: End}), LeaveKnown, "BROKEN")
	// If a process is killed just after it announced its leave, the announcement may not have reached all members.
	expectOutcome(t, threeDaemons().at(10, Line{What: Leaving, By: "c", PID: 3}).at(10.01, Line{What: Down, Of: "c", PID: 3, Why: "kill"}).at(30, Line{What: End}), LeaveKnown, "not tried")
}

func TestWrongDeaths(t *testing.T) {
	expectOutcome(t, threeDaemons().sees(10, 1, "c", "c1", "suspect").sees(11, 1, "c", "c1", "alive").at(30, Line{What: End}), NoWrongDeath, "kept")
	expectOutcome(t, threeDaemons().sees(10, 1, "c", "c1", "dead").at(30, Line{What: End}), NoWrongDeath, "BROKEN")
	short := threeDaemons().at(10, Line{What: Pause, Of: "c", PID: 3}).sees(11, 1, "c", "c1", "suspect").sees(11.2, 1, "c", "c1", "dead").at(30, Line{What: End})
	expectOutcome(t, short, NoWrongDeath, "BROKEN")
	long := threeDaemons().at(10, Line{What: Pause, Of: "c", PID: 3}).sees(12, 1, "c", "c1", "dead").at(12.5, Line{What: Resume, Of: "c", PID: 3}).at(13, Line{What: End})
	expectOutcome(t, long, NoWrongDeath, "not tried")
	cut := threeDaemons().at(10, Line{What: Link, From: "a", To: "c", Drop: 1}).at(10, Line{What: Link, From: "b", To: "c", Drop: 1}).sees(13, 1, "c", "c1", "dead").at(13.5, Line{What: End})
	expectOutcome(t, cut, NoWrongDeath, "not tried")
}

func TestCounts(t *testing.T) {
	expectOutcome(t, threeDaemons().at(10, Line{What: Counted, By: "a", PID: 1, MaxBalancers: 2}).at(30, Line{What: End}), CountEnough, "BROKEN")
	expectOutcome(t, threeDaemons().at(30, Line{What: End}), CountEnough, "kept")
	expectOutcome(t, threeDaemons().at(30, Line{What: End}), CountExact, "kept")
	expectOutcome(t, threeDaemons().at(5, Line{What: Counted, By: "a", PID: 1, MaxBalancers: 9}).at(30, Line{What: End}), CountExact, "BROKEN")
}

func TestDuplicateNames(t *testing.T) {
	duplicated := func() *history {
		return threeDaemons().at(10, Line{What: DuplicateStarted, Of: "c", PID: 4, Balancers: 1}).at(10, Line{What: Start, By: "c", PID: 4, RunID: "c2"})
	}
	expectOutcome(t, duplicated().at(11, Line{What: Contested, By: "c", PID: 4, Yielded: true}).at(30, Line{What: End}), OneName, "kept")
	expectOutcome(t, duplicated().at(30, Line{What: End}), OneName, "BROKEN")
	expectOutcome(t, duplicated().at(11, Line{What: Contested, By: "c", PID: 4, Yielded: true}).at(11, Line{What: Contested, By: "c", PID: 3, Yielded: true}).
		at(30, Line{What: End}), OneName, "BROKEN")
}

func TestService(t *testing.T) {
	expectOutcome(t, threeDaemons().at(10, Line{What: Service, Of: "a", Count: 100, Served: 100}), Serving, "kept")
	expectOutcome(t, threeDaemons().at(10, Line{What: Service, Of: "a", Count: 100, Served: 90}), Serving, "BROKEN")
	expectOutcome(t, threeDaemons().at(9, Line{What: Cut, Of: "a", Why: "servers", Drop: 1}).at(10, Line{What: Service, Of: "a", Count: 100}), Serving, "not tried")
	expectOutcome(t, threeDaemons().at(9, Line{What: Down, Of: "a", PID: 1, Why: "kill"}).at(10, Line{What: Service, Of: "a", Count: 100}), Serving, "not tried")
}

func TestBytes(t *testing.T) {
	expectOutcome(t, threeDaemons().at(10, Line{What: Sent, Of: "a", Bytes: 5001}), BytesMaximum, "BROKEN")
	rest := threeDaemons()
	for i := range 10 {
		rest.at(float64(10+i), Line{What: Sent, Of: "a", Bytes: 1500})
	}
	expectOutcome(t, rest, BytesIdle, "BROKEN")
	expectOutcome(t, rest, BytesMaximum, "kept")
	rough := threeDaemons().at(1, Line{What: Link, From: "a", To: "b", Impaired: true})
	for i := range 10 {
		rough.at(float64(10+i), Line{What: Sent, Of: "a", Bytes: 1500})
	}
	expectOutcome(t, rough, BytesIdle, "not tried")
}

func TestReadReportsInvalidLine(t *testing.T) {
	lines, err := Read(strings.NewReader(`{"t":1,"by":"a","what":"member","of":"b"}` + "\n\n" + `{"t":2`))
	if len(lines) != 1 || err == nil || !strings.Contains(err.Error(), "line 3") {
		t.Error(lines, err)
	}
}

// partitionedFleet returns a history with two regions: a and b are in one, c is in the other and is cut off.
func partitionedFleet() *history {
	s := threeDaemons()
	for i := range s.lines {
		if l := &s.lines[i]; l.What == Up {
			l.Region = map[string]string{"a": "near", "b": "near", "c": "far"}[l.Of]
		}
	}
	for _, n := range []string{"a", "b"} {
		s.at(10, Line{What: Link, From: n, To: "c", Drop: 1}).at(10, Line{What: Link, From: "c", To: n, Drop: 1})
	}
	return s
}

func TestSuspicionInOwnRegionDuringPartition(t *testing.T) {
	sent := func(s *history, at float64) *history {
		return s.at(at, Line{What: Sent, Of: "a", PID: 1, Bytes: 10}).at(at, Line{What: End})
	}
	expectOutcome(t, sent(partitionedFleet(), 30), NoSuspicionInRegion, "kept")
	expectOutcome(t, sent(threeDaemons(), 30), NoSuspicionInRegion, "not tried")
	expectOutcome(t, sent(partitionedFleet().sees(20, 1, "c", "c1", "dead"), 30), NoSuspicionInRegion, "kept") // c is in the other region
	suspected := func() *history { return partitionedFleet().sees(20, 1, "b", "b1", "suspect") }
	expectOutcome(t, sent(suspected().sees(20.4, 1, "b", "b1", "alive"), 30), NoSuspicionInRegion, "BROKEN")
	paused := partitionedFleet().at(19, Line{What: Pause, Of: "b", PID: 2}).sees(20, 1, "b", "b1", "suspect").at(20.2, Line{What: Resume, Of: "b", PID: 2})
	expectOutcome(t, sent(paused, 30), NoSuspicionInRegion, "kept")
	was := bounds.MaxSuspicion
	defer func() { bounds.MaxSuspicion = was }()
	bounds.MaxSuspicion = time.Second
	expectOutcome(t, sent(suspected().sees(20.4, 1, "b", "b1", "alive"), 30), NoSuspicionInRegion, "kept")
	expectOutcome(t, sent(suspected().sees(21.4, 1, "b", "b1", "alive"), 30), NoSuspicionInRegion, "BROKEN")
	expectOutcome(t, sent(suspected(), 30), NoSuspicionInRegion, "BROKEN")
	expectOutcome(t, sent(suspected().sees(20.4, 1, "b", "b1", "dead"), 30), NoSuspicionInRegion, "BROKEN")
}

func TestBytesToOtherRegions(t *testing.T) {
	was := bounds.MaxRemoteBytes
	defer func() { bounds.MaxRemoteBytes = was }()
	bounds.MaxRemoteBytes = 100
	expectOutcome(t, partitionedFleet().at(11, Line{What: Sent, Of: "a", PID: 1, Bytes: 500, Far: 101}), BytesRemote, "BROKEN")
	expectOutcome(t, partitionedFleet().at(11, Line{What: Sent, Of: "a", PID: 1, Bytes: 500, Far: 99}), BytesRemote, "kept")
	expectOutcome(t, threeDaemons().at(11, Line{What: Sent, Of: "a", PID: 1, Bytes: 500, Far: 101}), BytesRemote, "not tried")
}

func TestLinkDelaysExtendBounds(t *testing.T) {
	was := bounds.RoundTrips
	defer func() { bounds.RoundTrips = was }()
	for _, c := range []struct {
		roundTrips int
		want       string
	}{{0, "BROKEN"}, {2, "kept"}} {
		bounds.RoundTrips = c.roundTrips
		s := threeDaemons().at(1, Line{What: Link, From: "a", To: "c", OneWayDelayUS: 200_000}).at(1, Line{What: Link, From: "c", To: "a", OneWayDelayUS: 200_000}).
			at(10, Line{What: Down, Of: "c", PID: 3, Why: "kill"}).sees(12, 2, "c", "c1", "dead").sees(13.7, 1, "c", "c1", "dead").at(30, Line{What: End})
		expectOutcome(t, s, CrashKnown, c.want)
	}
}
