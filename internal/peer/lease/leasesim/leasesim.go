// Package leasesim simulates servers and clients of leased limits in virtual time. Links lose, delay and duplicate
// messages; processes are paused, crash and restart without memory; clocks have different rates. For comparison, the
// package also simulates other strategies of dividing a limit. The simulation itself counts, by true time and
// independently of the strategies, the attempts that are in flight or began within a second.
//
// Run is a function of its Options: the same seed gives the same result. Simulations share no state, and may run in
// parallel. Tests, tools/limits, tools/capacity and the simulation of lightweight members use this package.
package leasesim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"vetchhaven/decide/quota"
	"vetchhaven/internal/eventqueue"
	"vetchhaven/internal/peer/lease"
)

// Strategy is how a limit is divided.
type Strategy uint8

const (
	// PartitionedServers divides the limit among servers, each of which leases its share. Package lease uses this
	// strategy.
	PartitionedServers Strategy = iota
	// SingleServer uses one server, which leases the whole limit.
	SingleServer
	// QuorumOfServers uses three servers, each of which leases the whole limit. A client may use the leases that two of
	// them have granted.
	QuorumOfServers
	// StaticShares gives each client a constant even share.
	StaticShares
	// GossipedUse makes each client report its use to all others, and decide by the last reports that it received.
	GossipedUse
	// EscrowedTokens lets clients transfer tokens to each other. The tokens have no term.
	EscrowedTokens
	// StrategyCount is the number of strategies.
	StrategyCount
)

// String returns the name that tools print.
func (s Strategy) String() string {
	return [...]string{"keepers", "one leader", "quorum", "static", "gossip", "escrow"}[s]
}

// Options configure a simulation. Functions are called with virtual time since its start.
type Options struct {
	Seed     uint64
	Strategy Strategy
	Clients  int
	Servers  int // number of processes that are also servers: the first ones
	Total    int
	Kind     quota.Kind
	Soft     bool
	Duration time.Duration
	// Demand returns the requests a second of a client.
	Demand func(client int, now time.Duration) float64
	// MeanAttemptTime is the mean duration of an attempt in flight. The longest is maxAttemptFactor times that.
	MeanAttemptTime time.Duration
	// ClockDrift is the range of the clocks' rates, from 1-ClockDrift to 1+ClockDrift. The servers and clients assume
	// lease.DefaultClockDrift.
	ClockDrift float64
	// CountFrom is the time from which on Result.UsedShare is counted, since servers that start grant no leases for
	// Bounds.StartupWait.
	CountFrom time.Duration

	// Faults makes random processes and links fail, at a mean interval of FaultInterval; 0 means 700 ms.
	Faults        bool
	FaultInterval time.Duration
	// Partitioned lists processes that reach only one another from PartitionStart to PartitionEnd.
	Partitioned    []int
	PartitionStart time.Duration
	PartitionEnd   time.Duration
	Outages        []Outage

	// PeerPath returns the fraction of messages that is lost between two processes, and the delay of the others in
	// addition to 1 to 10 ms. If nil, there is neither loss nor additional delay.
	PeerPath func(from, to int, now time.Duration) (lost float64, delay time.Duration)
	// MessageSize returns the size of a request or grant on the wire in bytes. If nil, the size is estimated.
	MessageSize func(from string, message any) int
	// OnSent and OnReceived, if not nil, are called for each message between processes that is sent, and that arrives.
	OnSent, OnReceived func(now time.Duration, member, bytes int)
}

// Outage is an outage of a group of processes, which fail at Start and restart at End.
type Outage struct {
	Members    []int
	Start, End time.Duration
}

// Result is the result of a simulation, counted by true time.
type Result struct {
	MaxUsed   int     // largest number of attempts in flight at once, or begun in any second
	Exceeded  int     // attempts that began above the total
	Bound     int     // bound of MaxUsed that follows from the settings
	UsedShare float64 // admitted fraction of the wanted requests, or of those that the limit allows if these are fewer
	Wanted    int     // requests
	Started   int     // requests that were admitted
	NearTotal int     // attempts that began with nine tenths of the total in use or more
	Grants    int
	Crashes   int
	Pauses    int
	Messages  int
	Bytes     int
	// StartedByClient counts the admitted requests of each client in each interval of countInterval.
	StartedByClient [][]int
}

const (
	// agentID is the ID of the only agent of each client.
	agentID = 1
	// rngStream separates these random numbers from those of other generators with the same seed.
	rngStream = 21
	// tickInterval is the interval of a process's periodic work.
	tickInterval = 50 * time.Millisecond
	// maxAttemptFactor is the ratio of the longest attempt to the mean.
	maxAttemptFactor = 4
	// countInterval is the resolution of Result.StartedByClient.
	countInterval = 100 * time.Millisecond
)

// world is the state of one simulation.
type world struct {
	options  Options
	settings lease.Settings
	rng      *rand.Rand
	now      time.Duration
	queue    eventqueue.Queue
	members  []*member
	linkDown map[[2]int]bool // by sender and receiver
	inFlight int
	started  []time.Duration // when attempts of a rate began, within the last second
	allowed  float64         // requests that would have been admitted if dividing the limit had no cost
	result   Result
}

// Run simulates until Options.Duration. It returns an error if the resulting lease settings are invalid.
func Run(o Options) (*Result, error) {
	w := newWorld(o)
	for n := range o.Clients {
		if err := w.addMember(n); err != nil {
			return nil, err
		}
	}
	for _, m := range w.members {
		w.at(time.Duration(w.rng.Float64()*float64(tickInterval)), func() { w.tick(m) })
		w.scheduleRequest(m)
	}
	if o.Faults {
		w.scheduleFault()
	}
	w.scheduleOutages()
	for at, do, ok := w.queue.Next(o.Duration); ok; at, do, ok = w.queue.Next(o.Duration) {
		w.now = at
		do()
	}
	if w.allowed > 0 {
		w.result.UsedShare = float64(w.result.Started) / w.allowed
	}
	return &w.result, nil
}

func newWorld(o Options) *world {
	switch o.Strategy {
	case SingleServer:
		o.Servers = 1
	case QuorumOfServers:
		o.Servers = 3
	}
	limit := lease.Limit{
		Limit: quota.Limit{Name: "l", Kind: o.Kind, Class: -1, Zone: -1, Cell: -1},
		Total: o.Total,
		Hard:  !o.Soft,
	}
	w := &world{
		options:  o,
		settings: lease.Settings{MaxAttemptTime: maxAttemptFactor * o.MeanAttemptTime, Limits: []lease.Limit{limit}},
		rng:      rand.New(rand.NewPCG(o.Seed, rngStream)),
		linkDown: map[[2]int]bool{},
	}
	for n := range o.Servers {
		w.settings.Servers = append(w.settings.Servers, memberName(n))
	}
	w.result.Bound = w.settings.Bounds(limit, o.Clients).MaxUsed
	return w
}

func memberName(number int) string { return fmt.Sprint("m", number) }

func (w *world) at(t time.Duration, do func()) { w.queue.At(t, do) }

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

// AdaptationTime returns the time from a moment until a client begins attempts at a given share of a rate (in attempts
// a second), measured over half a second. It returns 0 if the client never reaches that.
func (r *Result) AdaptationTime(client int, from time.Duration, rate, share float64) time.Duration {
	const (
		intervals    = 5
		perSecond    = 2 // windows of half a second in a second
		windowLength = intervals * countInterval
	)
	counts := r.StartedByClient[client]
	for t := from + windowLength; int(t/countInterval) < len(counts); t += countInterval {
		started := 0
		for i := range intervals {
			started += counts[int(t/countInterval)-1-i]
		}
		if float64(started)*perSecond >= share*rate {
			return t - from
		}
	}
	return 0
}
