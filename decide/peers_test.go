package decide_test

import (
	"encoding/binary"
	"fmt"
	"math"
	"reflect"
	"testing"

	"vetchhaven/decide"
)

// If agents may exchange messages, an agent with most of the traffic must get most of the limit. An agent that gets no
// messages must keep an equal share (incidents ieeee80 and i24a18c).
func TestPeersDivideTheLimitByDemand(t *testing.T) {
	demand := func(busyCores float32) []byte {
		return binary.BigEndian.AppendUint64(nil, uint64(math.Float32bits(busyCores))<<32)
	}
	tests := []struct {
		name  string
		peers bool
		data  []byte // from each of the three peers; nil: no message
		want  func(n int) bool
	}{
		{"no messages allowed", false, demand(0), func(n int) bool { return n == 15 }},
		{"no message received", true, nil, func(n int) bool { return n == 15 }},
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
			sentReports := 0
			for range 30 {
				h.serve(1, idempotent, 20*ms)
				for _, a := range h.advance(20 * ms) {
					if _, ok := a.(decide.SendToPeer); ok {
						sentReports++
					}
				}
				if tt.data == nil {
					continue
				}
				for _, from := range []int{-1, 0, 1, 2, 3, 4} {
					h.step(decide.PeerMessage{From: from, Data: tt.data})
				}
			}
			if tt.peers != (sentReports > 0) || sentReports > 4*3 {
				t.Errorf("sent three peers %d messages in 1.2 s with objectives of 400 ms", sentReports)
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

// If every agent reported to every other, the number of messages would grow with the square of the number of agents.
// An agent must report to only a few peers, however many there are, and not always to the same ones (incident
// ie43f64).
func TestPeerReportsAreBounded(t *testing.T) {
	for _, n := range []int{1, 2, 8, 50, 2000} {
		s := testSettings()
		s.Balancers, s.Self, s.Peers = n, n/2, true
		h := newHarness(t, s, 1, testBackends(4))
		sentReports := map[int]int{}
		total := 0
		count := func(acts []decide.Action) {
			for _, a := range acts {
				if a, ok := a.(decide.SendToPeer); ok {
					sentReports[a.To]++
					total++
				}
			}
		}
		for i := range 100 { // ten requests per reporting interval
			id := fmt.Sprint("q", i)
			count(h.request(id, idempotent))
			count(h.outcome(id, decide.OK, 20*ms))
			count(h.advance(s.Classes[0].Objective / 10))
		}
		if most := 11 * min(n-1, 8); total > most || n > 1 && total < 10 {
			t.Errorf("%d agents: %d messages in ten periods, want up to %d", n, total, most)
		}
		if sentReports[s.Self] > 0 || len(sentReports) < min(n-1, 20) {
			t.Errorf("%d agents: reported to %d different peers, to itself %d times", n, len(sentReports), sentReports[s.Self])
		}
	}
}

// The share of agents that have stopped must go to the agents that get their traffic (incident i952f82).
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
	for range 60 { // for three seconds, more than four reporting intervals, no message arrives
		h.serve(1, idempotent, 20*ms)
		h.advance(50 * ms)
	}
	if after := inFlight(1); before > 40 || after < 55 {
		t.Errorf("%d in flight with three peers, %d after they stopped, want nearly all 60", before, after)
	}
}

// An agent that admits by credit uses an unreachable server so seldom that it detects the failure too late. It must use
// the observations of failures and speed in the messages of its peers. An observation that is received again must have
// no effect (scenario dallas big-1).
func TestObservationsSpreadThroughPeers(t *testing.T) {
	s := creditSettings()
	sender := newHarness(t, s, 1, testBackends(4))
	var data [][]byte
	for i := range 60 { // a fails immediately, b is slow, c and d are fast
		id := fmt.Sprint("q", i)
		acts := sender.request(id, nonIdempotent)
		if len(sender.sent[id]) == 0 {
			continue
		}
		switch sender.sent[id][0] {
		case "a":
			acts = append(acts, sender.outcome(id, decide.Errored, 10*ms)...)
		case "b":
			sender.now += 200 * ms
			acts = append(acts, sender.outcome(id, decide.OK, 200*ms)...)
		default:
			sender.now += 20 * ms
			acts = append(acts, sender.outcome(id, decide.OK, 20*ms)...)
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
			h.now = sender.now
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
		t.Errorf("after the observations an agent sends to %v, want hardly any to a and few to b", once)
	}
	if !reflect.DeepEqual(once, often) {
		t.Errorf("after one copy of each message it sends to %v, after twenty copies to %v", once, often)
	}
}
