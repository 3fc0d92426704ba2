package soak

import (
	"math/rand/v2"
	"time"
)

// Shares of the plays that have these.
const (
	longDeadlineShare = 0.25
	crowdShare        = 0.25
	quietShare        = 0.08
)

const (
	// quietLengths is how many lengths of its play a quiet time lasts.
	quietLengths = 5
	// crowdLead is by how much a crowd comes ahead of the signals that meet it.
	crowdLead = 1500 * time.Millisecond
)

// addCrossings adds to a plan what it draws besides: series of signals, faults of directory servers, a crowd, a quiet time. It
// draws by a generator of its own: the rest of the plan is that of its seed.
func (p *Plan) addCrossings(size Size) {
	rng := rand.New(rand.NewPCG(p.Seed, 0x63726f7373))
	if rng.Float64() < longDeadlineShare {
		p.Deadline = pageDeadline
	}
	at := func() time.Duration { return time.Duration((0.1 + 0.6*rng.Float64()) * float64(size.Length)) }
	agents := size.Agents + size.Daemons
	for range 1 + rng.IntN(3) {
		p.Incidents = append(p.Incidents, drawSeries(rng, size, at()))
	}
	if size.Daemons > 0 {
		for range 1 + rng.IntN(2) {
			fault := 1 + rng.IntN(int(directoryFaults)-1)
			p.Incidents = append(p.Incidents, Incident{Kind: DirectoriesTroubled, At: at(), For: time.Second + time.Duration(rng.Float64()*float64(3*time.Second)),
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

// drawSeries draws a series of signals to one process. Handovers are a daemon's.
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

// addCrowd has idle clients fill an agent's descriptors, half of the time while its list is down, and then signals come.
func (p *Plan) addCrowd(rng *rand.Rand, size Size, at time.Duration) {
	picks := []int{rng.IntN(size.Agents)}
	p.Incidents = append(p.Incidents, Incident{Kind: Crowd, At: at, For: 2*crowdLead + time.Second, Picks: picks})
	if rng.Float64() < 0.5 {
		p.Incidents = append(p.Incidents, Incident{Kind: ListTroubled, At: at, For: 2 * crowdLead, Picks: picks, Way: int(ListDown)})
	}
	p.Incidents = append(p.Incidents, Incident{Kind: AgentSignals, At: at + crowdLead, Picks: picks, Way: int([]SignalSeries{TermTwice, TermThenHangup}[rng.IntN(2)])})
}

// addQuiet has all clients send nothing for many times the play's length, so that idle connections are forgotten, and then
// servers and processes fail at once. What would have come in the second half comes behind it.
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
		Incident{Kind: ServersMisbehave, At: end - time.Second, For: 2 * time.Second, Picks: pick(rng, size.Servers, (size.Servers+1)/2), Way: int(ClosesIdle)},
		Incident{Kind: ServersCrash, At: end, For: time.Second, Picks: pick(rng, size.Servers, 1)},
		Incident{Kind: AgentTerm, At: end, Picks: pick(rng, agents, 1+agents/4)})
	p.Length += length
}
