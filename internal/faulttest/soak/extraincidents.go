package soak

import (
	"math/rand/v2"
	"time"
)

// Shares of the runs that have these incidents.
const (
	longDeadlineShare = 0.25
	crowdShare        = 0.25
	quietShare        = 0.08
)

const (
	// quietLengths is how long a quiet time lasts, as a multiple of the run's length.
	quietLengths = 5
	// crowdLead is the time from the arrival of a crowd of idle clients to the signals.
	crowdLead = 1500 * time.Millisecond
)

// addExtraIncidents adds further incidents to a plan: series of signals, faults of directory servers, a crowd, a
// quiet time. It uses a random generator of its own, so that the rest of the plan does not depend on these draws.
func (p *Plan) addExtraIncidents(size Size) {
	rng := rand.New(rand.NewPCG(p.Seed, 0x63726f7373))
	if rng.Float64() < longDeadlineShare {
		p.Deadline = documentedDeadline
	}
	at := func() time.Duration { return time.Duration((0.1 + 0.6*rng.Float64()) * float64(size.Length)) }
	agents := size.Agents + size.Daemons
	for range 1 + rng.IntN(3) {
		p.Incidents = append(p.Incidents, drawSeries(rng, size, at()))
	}
	if size.Daemons > 0 {
		for range 1 + rng.IntN(2) {
			fault := 1 + rng.IntN(int(directoryFaults)-1)
			p.Incidents = append(p.Incidents, Incident{Kind: DirectoriesFaulty, At: at(), For: time.Second + time.Duration(rng.Float64()*float64(3*time.Second)),
				Picks: pick(rng, directoryServers, 1+rng.IntN(2)), Way: fault})
		}
	}
	if size.Agents > 0 && rng.Float64() < crowdShare {
		p.addCrowd(rng, size, at())
	}
	if rng.Float64() < quietShare {
		p.addQuiet(rng, size, agents)
	}
}

// drawSeries draws a series of signals to one process. Only daemons can hand over.
func drawSeries(rng *rand.Rand, size Size, at time.Duration) Incident {
	t := Incident{Kind: AgentSignals, At: at, For: time.Duration((0.02 + 0.4*rng.Float64()) * float64(time.Second)), Way: 1 + rng.IntN(int(afterLastSeries)-1)}
	n := rng.IntN(size.Agents + size.Daemons)
	if series := SignalSeries(t.Way); series == TermInHandover || series == TermAfterHandover {
		if size.Daemons == 0 {
			t.Way = int(TermTwice)
		} else {
			n = size.Agents + rng.IntN(size.Daemons)
		}
	}
	t.Picks = []int{n}
	return t
}

// addCrowd adds idle clients that use up an agent's file descriptors, in half of the cases while the agent's list
// service is down, and then a series of signals.
func (p *Plan) addCrowd(rng *rand.Rand, size Size, at time.Duration) {
	picks := []int{rng.IntN(size.Agents)}
	p.Incidents = append(p.Incidents, Incident{Kind: Crowd, At: at, For: 2*crowdLead + time.Second, Picks: picks})
	if rng.Float64() < 0.5 {
		p.Incidents = append(p.Incidents, Incident{Kind: ListFaulty, At: at, For: 2 * crowdLead, Picks: picks, Way: int(ListDown)})
	}
	p.Incidents = append(p.Incidents, Incident{Kind: AgentSignals, At: at + crowdLead, Picks: picks, Way: int([]SignalSeries{TermTwice, TermThenHangup}[rng.IntN(2)])})
}

// addQuiet adds a quiet time of quietLengths run lengths, in which idle connections are evicted. At its end, servers
// and processes fail at the same time. Incidents of the second half of the run are moved to after the quiet time.
func (p *Plan) addQuiet(rng *rand.Rand, size Size, agents int) {
	begin, length := size.Length/2, quietLengths*size.Length
	for i := range p.Incidents {
		if p.Incidents[i].At >= begin {
			p.Incidents[i].At += length
		}
	}
	end := begin + length
	p.Incidents = append(p.Incidents,
		Incident{Kind: Quiet, At: begin, For: length, Picks: pick(rng, agents, agents)},
		Incident{Kind: ServersFaulty, At: end - time.Second, For: 2 * time.Second, Picks: pick(rng, size.Servers, (size.Servers+1)/2), Way: int(ServerClosesIdle)},
		Incident{Kind: ServersCrash, At: end, For: time.Second, Picks: pick(rng, size.Servers, 1)},
		Incident{Kind: AgentTerm, At: end, Picks: pick(rng, agents, 1+agents/4)})
	p.Length += length
}
