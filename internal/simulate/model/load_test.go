package model

import (
	"math"
	"testing"
	"time"

	"vetchhaven/decide"
)

func tasks(s *Scenario, seed Seed) (all []Task) {
	l := NewLoad(s, seed)
	for t, ok := l.Next(); ok; t, ok = l.Next() {
		all = append(all, t)
	}
	return all
}

func TestLoadFollowsTheScript(t *testing.T) {
	s := small()
	s.Length, s.Rate, s.Agents, s.Uneven = 100*time.Second, 200, 4, 1
	s.Timeline = []Change{{20 * time.Second, Burst{3}}, {40 * time.Second, Burst{1}},
		{50 * time.Second, Heavy{Class: 1, Share: 0.1, Factor: 50}}, {90 * time.Second, Heavy{Class: 1}}}
	var in [10]float64
	heavy, submits := 0, 0
	agents := map[int]float64{}
	last := time.Duration(0)
	for _, x := range tasks(s, 1) {
		if x.At < last {
			t.Fatal("out of order")
		}
		last = x.At
		in[x.At/(10*time.Second)]++
		agents[x.Agent]++
		if late := x.At >= 50*time.Second && x.At < 90*time.Second; x.Work > time.Second {
			if !late || x.Class != 1 {
				t.Fatalf("a heavy request at %v of class %d", x.At, x.Class)
			}
			heavy++
		} else if late && x.Class == 1 {
			submits++
		}
		if (x.Key != "") != (s.Classes[x.Class].Effect == decide.Keyed) {
			t.Fatalf("key %q of class %d", x.Key, x.Class)
		}
	}
	for i, n := range in {
		want := 2000.0
		if i == 2 || i == 3 {
			want = 6000
		}
		if math.Abs(n-want) > 6*math.Sqrt(want) {
			t.Errorf("%v arrivals in ten-second window %d, want about %v", n, i+1, want)
		}
	}
	if share := float64(heavy) / float64(heavy+submits); share < 0.07 || share > 0.13 {
		t.Errorf("a share of %v is heavy, want 0.1", share)
	}
	if agents[0] < 3*agents[3] {
		t.Errorf("uneven traffic: %v", agents)
	}
}

// Arrivals depend only on the scenario and the seed, and a request costs the same work at any server.
func TestLoadIsTheSameAgain(t *testing.T) {
	s := small()
	a, b, other := tasks(s, 1), tasks(s, 1), tasks(s, 2)
	if len(a) != len(b) {
		t.Fatal(len(a), len(b))
	}
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("%+v, %+v", a[i], b[i])
		}
		w1, l1 := a[i].Attempt(s, 5, 1, 2)
		w2, l2 := b[i].Attempt(s, 5, 1, 2)
		if w1 != w2 || l1 != l2 {
			t.Fatal("attempts differ")
		}
	}
	if len(a) == len(other) && a[0] == other[0] {
		t.Error("two seeds give the same tasks")
	}
}

func TestClientsRetry(t *testing.T) {
	s := small()
	s.Clients = Clients{Tries: 3, Wait: 100 * ms, Patience: 0.5}
	for _, tt := range []struct {
		name   string
		class  int
		answer Answer
		at     time.Duration
		again  bool
	}{
		{"safe after a failure", 0, Failed, 100 * ms, true},
		{"safe without an answer", 0, NoAnswer, 1500 * ms, true},
		{"safe without time", 0, Failed, 2950 * ms, false},
		{"served", 0, Served, 100 * ms, false},
		{"submit after a failure", 1, Failed, 100 * ms, true},
		{"submit after a failure past its window", 1, Failed, 1501 * ms, false},
		{"submit after a refusal past its window", 1, Refused, 1501 * ms, true},
		{"close after a failure", 2, Failed, 100 * ms, false},
		{"close after a refusal", 2, Refused, 100 * ms, true},
		{"close with no agent there", 2, Unreachable, 100 * ms, true},
	} {
		c := NewClient(s, Task{Class: tt.class})
		if _, again := c.Next(tt.at, tt.answer, 0); again != tt.again {
			t.Errorf("%s: again %v, want %v", tt.name, again, tt.again)
		}
	}
	c := NewClient(s, Task{Heed: true})
	if got := c.Remaining(0); got != 1500*ms {
		t.Errorf("waits %v for the first try", got)
	}
	if wait, again := c.Next(100*ms, Refused, 700*ms); wait != 700*ms || !again {
		t.Errorf("waits %v before the next try, though told 700 ms", wait)
	}
	if wait, again := c.Next(time.Second, Refused, 50*ms); wait != 100*ms || !again {
		t.Errorf("waits %v", wait)
	}
	if got := c.Remaining(2 * time.Second); got != time.Second {
		t.Errorf("waits %v for the last try, want all the remaining time", got)
	}
	if _, again := c.Next(2*time.Second, Refused, 0); again {
		t.Error("a fourth try of three")
	}
}

func TestWorth(t *testing.T) {
	s := small()
	task := Task{At: time.Second, Work: 200 * ms}
	for _, tt := range []struct {
		at   time.Duration
		done bool
		want float64
	}{{1600 * ms, true, 1}, {1600*ms + 1, true, 0.2}, {4 * time.Second, true, 0.2}, {4*time.Second + 1, true, 0}, {1100 * ms, false, 0}} {
		if got, asked := s.Worth(&task, tt.at, tt.done); got != tt.want || asked != 1 {
			t.Errorf("%v: %v of %v, want %v", tt.at, got, asked, tt.want)
		}
	}
	s.ByWork = true
	if _, asked := s.Worth(&task, 0, false); asked != 0.2 {
		t.Errorf("asked %v by work", asked)
	}
}
