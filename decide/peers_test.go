package decide_test

import (
	"encoding/binary"
	"fmt"
	"math"
	"reflect"
	"testing"

	"vetchhaven/decide"
)

// Incidents ieeee80 and i24a18c: an agent with most of the traffic gets most of the limit
// where agents may tell each other; one that hears nobody keeps its share by head count.
func TestPeersDivideTheLimitByDemand(t *testing.T) {
	demand := func(busyCores float32) []byte {
		return binary.BigEndian.AppendUint64(nil, uint64(math.Float32bits(busyCores))<<32)
	}
	tests := []struct {
		name  string
		peers bool
		data  []byte // from each of the three others; nil: nothing
		want  func(n int) bool
	}{
		{"no messages allowed", false, demand(0), func(n int) bool { return n == 15 }},
		{"nothing heard", true, nil, func(n int) bool { return n == 15 }},
		{"quiet peers", true, demand(0), func(n int) bool { return n > 45 }},
		{"busy peers", true, demand(math.MaxFloat32), func(n int) bool { return n < 6 }},
		{"too short", true, []byte{1}, func(n int) bool { return n == 15 }},
		{"not a number", true, demand(float32(math.NaN())), func(n int) bool { return n == 15 }},
		{"below zero", true, demand(-1), func(n int) bool { return n == 15 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testSettings()
			s.Balancers, s.Self, s.Peers = 4, 2, tt.peers
			h := newHarness(t, s, 1, testBackends(10))
			told := 0
			for range 30 {
				h.serve(1, idempotent, 20*ms)
				for _, a := range h.advance(20 * ms) {
					if _, ok := a.(decide.SendToPeer); ok {
						told++
					}
				}
				if tt.data == nil {
					continue
				}
				for _, from := range []int{-1, 0, 1, 2, 3, 4} {
					h.step(decide.PeerMessage{From: from, Data: tt.data})
				}
			}
			if tt.peers != (told > 0) || told > 4*3 {
				t.Errorf("told three peers %d times in 1.2 s with aims of 400 ms", told)
			}
			n := 0
			for i := range 100 {
				id := fmt.Sprint("q", i)
				h.request(id, idempotent)
				n += len(h.sent[id])
			}
			if !tt.want(n) {
				t.Errorf("%d in flight", n)
			}
		})
	}
}

// Incident ie43f64: with every agent telling every other, messages grew with the square of
// their number. However many agents there are, one tells few of them, and not always the same.
func TestPeerReportsAreBounded(t *testing.T) {
	for _, n := range []int{1, 2, 8, 50, 2000} {
		s := testSettings()
		s.Balancers, s.Self, s.Peers = n, n/2, true
		h := newHarness(t, s, 1, testBackends(4))
		told := map[int]int{}
		total := 0
		count := func(acts []decide.Action) {
			for _, a := range acts {
				if a, ok := a.(decide.SendToPeer); ok {
					told[a.To]++
					total++
				}
			}
		}
		for i := range 100 { // a request every tenth of a period
			id := fmt.Sprint("q", i)
			count(h.request(id, idempotent))
			count(h.outcome(id, decide.OK, 20*ms))
			count(h.advance(s.Classes[0].Objective / 10))
		}
		if most := 11 * min(n-1, 8); total > most || n > 1 && total < 10 {
			t.Errorf("%d agents: %d messages in ten periods, want up to %d", n, total, most)
		}
		if told[s.Self] > 0 || len(told) < min(n-1, 20) {
			t.Errorf("%d agents: told %d different peers, itself %d times", n, len(told), told[s.Self])
		}
	}
}

// Incident i952f82: agents that stop leave their share of the limit to those that get their traffic.
func TestShareOfStoppedPeersIsRedistributed(t *testing.T) {
	s := testSettings()
	s.Balancers, s.Peers = 4, true
	h := newHarness(t, s, 1, testBackends(10))
	inFlight := func(round int) (n int) {
		for i := range 100 {
			id := fmt.Sprint("q", round, "-", i)
			if h.request(id, idempotent); len(h.sent[id]) > 0 {
				n++
				defer h.outcome(id, decide.OK, 20*ms)
			} else {
				h.step(decide.RequestCancelled{Request: id})
			}
		}
		return n
	}
	own := binary.BigEndian.AppendUint64(nil, uint64(math.Float32bits(float32(100*ms)))<<32)
	for range 40 {
		h.serve(1, idempotent, 20*ms)
		for from := 1; from < 4; from++ {
			h.step(decide.PeerMessage{From: from, Data: own})
		}
		h.advance(50 * ms)
	}
	before := inFlight(0)
	for range 60 { // three seconds without a word: over four tells
		h.serve(1, idempotent, 20*ms)
		h.advance(50 * ms)
	}
	if after := inFlight(1); before > 40 || after < 55 {
		t.Errorf("%d in flight beside three peers, %d after they stopped, want nearly all 60", before, after)
	}
}

// Dallas big-1: an agent that admits by credit meets a dead server so seldom that it learns of it too late.
// What one agent saw, another knows from its message, the failure of a server as well as its speed, and the
// same observation told again changes nothing.
func TestObservationsSpreadThroughPeers(t *testing.T) {
	s := creditSettings()
	teller := newHarness(t, s, 1, testBackends(4))
	var data [][]byte
	for i := range 60 { // a fails at once, b is slow, the others are quick
		id := fmt.Sprint("q", i)
		acts := teller.request(id, nonIdempotent)
		if len(teller.sent[id]) == 0 {
			continue
		}
		switch teller.sent[id][0] {
		case "a":
			acts = append(acts, teller.outcome(id, decide.Errored, 10*ms)...)
		case "b":
			teller.now += 200 * ms
			acts = append(acts, teller.outcome(id, decide.OK, 200*ms)...)
		default:
			teller.now += 20 * ms
			acts = append(acts, teller.outcome(id, decide.OK, 20*ms)...)
		}
		for _, a := range acts {
			if a, ok := a.(decide.SendToPeer); ok {
				data = append(data, a.Data)
			}
		}
	}
	count := func(repeat int) map[string]int {
		s.Self = 1
		counts := map[string]int{}
		for seed := range uint64(200) {
			h := newHarness(t, s, seed, testBackends(4))
			h.now = teller.now
			for range repeat {
				for _, d := range data {
					h.step(decide.PeerMessage{From: 0, Data: d})
				}
			}
			h.request("q", idempotent)
			counts[h.sent["q"][0]]++
		}
		return counts
	}
	once, often := count(1), count(20)
	if once["a"] > 5 || once["b"] > 40 || once["c"] < 40 || once["d"] < 40 {
		t.Errorf("after the notes an agent sends to %v, want hardly any to a and few to b", once)
	}
	if !reflect.DeepEqual(once, often) {
		t.Errorf("told once it sends to %v, told the same twenty times to %v", once, often)
	}
}
