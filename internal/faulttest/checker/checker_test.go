package checker

import (
	"cmp"
	"slices"
	"strings"
	"testing"
	"time"
)

var bounds = Bounds{Crash: 3 * time.Second, Leave: time.Second, Join: 2 * time.Second, Settle: 4 * time.Second, Pause: 1500 * time.Millisecond, MinServed: 0.99, MaxIdleBytes: 1000, MaxBytes: 5000}

// story is a run, told line by line.
type story struct{ lines []Line }

func (s *story) at(sec float64, l Line) *story {
	l.T = int64(sec * 1e9)
	if l.By == "" {
		l.By = FaultTest
	}
	s.lines = append(s.lines, l)
	return s
}

// three start, and all see all.
func three() *story {
	s := &story{}
	names := []string{"a", "b", "c"}
	for i, n := range names {
		s.at(0, Line{What: Up, Of: n, PID: i + 1, Balancers: 1}).at(0, Line{What: Start, By: n, PID: i + 1, Life: n + "1"})
	}
	for i, n := range names {
		for _, o := range names {
			if o != n {
				s.sees(0.5, i+1, o, o+"1", "alive")
			}
		}
		s.at(0.5, Line{What: Counted, By: n, PID: i + 1, Most: 3})
	}
	return s
}

func (s *story) sees(at float64, pid int, of, life, state string) *story {
	return s.at(at, Line{What: Member, By: string("abc"[pid-1]), PID: pid, Of: of, Life: life, State: state})
}

func verdict(t *testing.T, s *story, claim, want string) {
	t.Helper()
	r := Check(bounds, s.lines)
	if c := r.Find(claim); c.Outcome() != want {
		t.Errorf("%s: %s (tried %d), not %s: %v", claim, c.Outcome(), c.Tried, want, c.Breaks)
	}
}

func TestNothingTriedIsNotKept(t *testing.T) {
	for _, c := range Check(bounds, nil).Claims {
		if c.Outcome() != "not tried" {
			t.Errorf("%s: %s", c.Name, c.Outcome())
		}
	}
	if missed := Check(bounds, nil).NotTried([]string{Settled}); len(missed) != 1 {
		t.Error(missed)
	}
}

func TestCrashes(t *testing.T) {
	dead := func() *story { return three().at(10, Line{What: Down, Of: "c", PID: 3, Why: "kill"}) }
	verdict(t, dead().sees(12, 1, "c", "c1", "dead").sees(12.5, 2, "c", "c1", "dead").at(30, Line{What: End}), CrashKnown, "kept")
	verdict(t, dead().sees(12, 1, "c", "c1", "dead").sees(13.5, 2, "c", "c1", "dead").at(30, Line{What: End}), CrashKnown, "BROKEN")
	verdict(t, dead().sees(12, 1, "c", "c1", "dead").at(30, Line{What: End}), Settled, "BROKEN")
	verdict(t, dead().at(11, Line{What: Link, From: "a", To: "b", Drop: 1}).at(30, Line{What: End}), CrashKnown, "not tried")
}

// A process ends a tenth of a second after its goodbye: what others are to know by a bound of seconds outlives it.
func TestLeaves(t *testing.T) {
	for _, c := range []struct {
		name, want string
		knows      map[int]float64 // when a and b hold c for gone
		as         string
	}{
		{"all hear it at once", "kept", map[int]float64{1: 10.003, 2: 10.003}, "left"},
		{"one hears it after the process has ended", "kept", map[int]float64{1: 10.003, 2: 10.9}, "left"},
		{"all hear it before the line of it is written", "kept", map[int]float64{1: 9.999, 2: 9.999}, "left"},
		{"one never hears it", "BROKEN", map[int]float64{1: 10.003}, "left"},
		{"one hears it too late", "BROKEN", map[int]float64{1: 10.003, 2: 11.1}, "left"},
		{"nobody hears it", "BROKEN", nil, ""},
		{"all think that it died", "BROKEN", map[int]float64{1: 10.5, 2: 10.5}, "dead"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := three().at(9.99, Line{What: Ending, Of: "c", PID: 3}).at(10, Line{What: Leaving, By: "c", PID: 3}).at(10.13, Line{What: Down, Of: "c", PID: 3, Why: "term"})
			for pid, at := range c.knows {
				s.sees(at, pid, "c", "c1", c.as)
			}
			s.at(30, Line{What: End})
			slices.SortStableFunc(s.lines, func(a, b Line) int { return cmp.Compare(a.T, b.T) })
			verdict(t, s, LeaveKnown, c.want)
			if r := Check(bounds, s.lines); r.Find(LeaveKnown).Tried != 2 {
				t.Errorf("tried %d times, not by each of two", r.Find(LeaveKnown).Tried)
			}
		})
	}
	// The next process of the name tells that the one before is gone; an earlier one does not.
	gone := func() *story {
		return three().at(10, Line{What: Leaving, By: "c", PID: 3}).at(10.1, Line{What: Down, Of: "c", PID: 3, Why: "term"}).sees(10.1, 1, "c", "c1", "left")
	}
	verdict(t, gone().at(10.2, Line{What: Up, Of: "c", PID: 4, Balancers: 1}).at(10.3, Line{What: Start, By: "c", PID: 4, Life: "c2"}).
		sees(10.5, 2, "c", "c2", "alive").at(30, Line{What: End}), LeaveKnown, "kept")
	verdict(t, gone().sees(10.5, 2, "c", "c0", "dead").at(30, Line{What: End}), LeaveKnown, "BROKEN")
	// Who is killed after its goodbye may not have said it to all.
	verdict(t, three().at(10, Line{What: Leaving, By: "c", PID: 3}).at(10.01, Line{What: Down, Of: "c", PID: 3, Why: "kill"}).at(30, Line{What: End}), LeaveKnown, "not tried")
}

func TestWrongDeaths(t *testing.T) {
	verdict(t, three().sees(10, 1, "c", "c1", "suspect").sees(11, 1, "c", "c1", "alive").at(30, Line{What: End}), NoWrongDeath, "kept")
	verdict(t, three().sees(10, 1, "c", "c1", "dead").at(30, Line{What: End}), NoWrongDeath, "BROKEN")
	short := three().at(10, Line{What: Pause, Of: "c", PID: 3}).sees(11, 1, "c", "c1", "suspect").sees(11.2, 1, "c", "c1", "dead").at(30, Line{What: End})
	verdict(t, short, NoWrongDeath, "BROKEN")
	long := three().at(10, Line{What: Pause, Of: "c", PID: 3}).sees(12, 1, "c", "c1", "dead").at(12.5, Line{What: Resume, Of: "c", PID: 3}).at(13, Line{What: End})
	verdict(t, long, NoWrongDeath, "not tried")
	cut := three().at(10, Line{What: Link, From: "a", To: "c", Drop: 1}).at(10, Line{What: Link, From: "b", To: "c", Drop: 1}).sees(13, 1, "c", "c1", "dead").at(13.5, Line{What: End})
	verdict(t, cut, NoWrongDeath, "not tried")
}

func TestCounts(t *testing.T) {
	verdict(t, three().at(10, Line{What: Counted, By: "a", PID: 1, Most: 2}).at(30, Line{What: End}), CountEnough, "BROKEN")
	verdict(t, three().at(30, Line{What: End}), CountEnough, "kept")
	verdict(t, three().at(30, Line{What: End}), CountFollows, "kept")
	verdict(t, three().at(5, Line{What: Counted, By: "a", PID: 1, Most: 9}).at(30, Line{What: End}), CountFollows, "BROKEN")
}

func TestNames(t *testing.T) {
	twin := func() *story {
		return three().at(10, Line{What: Twin, Of: "c", PID: 4, Balancers: 1}).at(10, Line{What: Start, By: "c", PID: 4, Life: "c2"})
	}
	verdict(t, twin().at(11, Line{What: Contested, By: "c", PID: 4, StandBack: true}).at(30, Line{What: End}), OneName, "kept")
	verdict(t, twin().at(30, Line{What: End}), OneName, "BROKEN")
	verdict(t, twin().at(11, Line{What: Contested, By: "c", PID: 4, StandBack: true}).at(11, Line{What: Contested, By: "c", PID: 3, StandBack: true}).
		at(30, Line{What: End}), OneName, "BROKEN")
}

func TestService(t *testing.T) {
	verdict(t, three().at(10, Line{What: Service, Of: "a", Asked: 100, Served: 100}), Serving, "kept")
	verdict(t, three().at(10, Line{What: Service, Of: "a", Asked: 100, Served: 90}), Serving, "BROKEN")
	verdict(t, three().at(9, Line{What: Cut, Of: "a", Why: "servers", Drop: 1}).at(10, Line{What: Service, Of: "a", Asked: 100}), Serving, "not tried")
	verdict(t, three().at(9, Line{What: Down, Of: "a", PID: 1, Why: "kill"}).at(10, Line{What: Service, Of: "a", Asked: 100}), Serving, "not tried")
}

func TestBytes(t *testing.T) {
	verdict(t, three().at(10, Line{What: Sent, Of: "a", Bytes: 5001}), BytesMaximum, "BROKEN")
	rest := three()
	for i := range 10 {
		rest.at(float64(10+i), Line{What: Sent, Of: "a", Bytes: 1500})
	}
	verdict(t, rest, BytesIdle, "BROKEN")
	verdict(t, rest, BytesMaximum, "kept")
	rough := three().at(1, Line{What: Link, From: "a", To: "b", Rough: true})
	for i := range 10 {
		rough.at(float64(10+i), Line{What: Sent, Of: "a", Bytes: 1500})
	}
	verdict(t, rough, BytesIdle, "not tried")
}

func TestLinesAreReadBack(t *testing.T) {
	lines, err := Read(strings.NewReader(`{"t":1,"by":"a","what":"member","of":"b"}` + "\n\n" + `{"t":2`))
	if len(lines) != 1 || err == nil || !strings.Contains(err.Error(), "line 3") {
		t.Error(lines, err)
	}
}

// Two regions, a and b of one, c of the other, and c is cut off.
func apart() *story {
	s := three()
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

func TestDoubtsInOnesOwnRegion(t *testing.T) {
	sent := func(s *story, at float64) *story {
		return s.at(at, Line{What: Sent, Of: "a", PID: 1, Bytes: 10}).at(at, Line{What: End})
	}
	verdict(t, sent(apart(), 30), NearCalm, "kept")
	verdict(t, sent(three(), 30), NearCalm, "not tried")
	verdict(t, sent(apart().sees(20, 1, "c", "c1", "dead"), 30), NearCalm, "kept") // it is the other region's
	doubted := func() *story { return apart().sees(20, 1, "b", "b1", "suspect") }
	verdict(t, sent(doubted().sees(20.4, 1, "b", "b1", "alive"), 30), NearCalm, "BROKEN")
	paused := apart().at(19, Line{What: Pause, Of: "b", PID: 2}).sees(20, 1, "b", "b1", "suspect").at(20.2, Line{What: Resume, Of: "b", PID: 2})
	verdict(t, sent(paused, 30), NearCalm, "kept")
	was := bounds.MaxSuspicion
	defer func() { bounds.MaxSuspicion = was }()
	bounds.MaxSuspicion = time.Second
	verdict(t, sent(doubted().sees(20.4, 1, "b", "b1", "alive"), 30), NearCalm, "kept")
	verdict(t, sent(doubted().sees(21.4, 1, "b", "b1", "alive"), 30), NearCalm, "BROKEN")
	verdict(t, sent(doubted(), 30), NearCalm, "BROKEN")
	verdict(t, sent(doubted().sees(20.4, 1, "b", "b1", "dead"), 30), NearCalm, "BROKEN")
}

func TestBytesToOtherRegions(t *testing.T) {
	was := bounds.MaxRemoteBytes
	defer func() { bounds.MaxRemoteBytes = was }()
	bounds.MaxRemoteBytes = 100
	verdict(t, apart().at(11, Line{What: Sent, Of: "a", PID: 1, Bytes: 500, Far: 101}), BytesFar, "BROKEN")
	verdict(t, apart().at(11, Line{What: Sent, Of: "a", PID: 1, Bytes: 500, Far: 99}), BytesFar, "kept")
	verdict(t, three().at(11, Line{What: Sent, Of: "a", PID: 1, Bytes: 500, Far: 101}), BytesFar, "not tried")
}

func TestWaysByTheLinksAreAddedToBounds(t *testing.T) {
	was := bounds.RoundTrips
	defer func() { bounds.RoundTrips = was }()
	for _, c := range []struct {
		ways int
		want string
	}{{0, "BROKEN"}, {2, "kept"}} {
		bounds.RoundTrips = c.ways
		s := three().at(1, Line{What: Link, From: "a", To: "c", WayUS: 200_000}).at(1, Line{What: Link, From: "c", To: "a", WayUS: 200_000}).
			at(10, Line{What: Down, Of: "c", PID: 3, Why: "kill"}).sees(12, 2, "c", "c1", "dead").sees(13.7, 1, "c", "c1", "dead").at(30, Line{What: End})
		verdict(t, s, CrashKnown, c.want)
	}
}
