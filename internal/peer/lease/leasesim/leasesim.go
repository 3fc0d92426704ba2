// Package leasesim simulates servers and clients of leased limits in virtual time: links that lose, delay and duplicate
// messages, processes that are paused, crash and restart without memory, and clocks of different rates. It simulates other
// strategies of dividing a limit beside them, for comparison. The truth is counted outside all of them: what is in flight,
// and what began within a second, by true time.
//
// Run is a function of its Options: the same seed gives the same result. Simulations share nothing, and may run in
// parallel. Tests, tools/limits, tools/capacity and the simulation of lightweight members use it.
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
	// PartitionedServers divide the limit among servers, each of which leases its share. It is what package lease does.
	PartitionedServers Strategy = iota
	// SingleServer leases all of it.
	SingleServer
	// QuorumOfServers has three servers lease all of it, and a client use what two of them have leased to it.
	QuorumOfServers
	// StaticShares gives each client an even share for ever.
	StaticShares
	// GossipedUse has each client tell all others what it uses, and go by what it last received.
	GossipedUse
	// EscrowedTokens are passed from client to client, without a term.
	EscrowedTokens
	// StrategyCount is the number of strategies.
	StrategyCount
)

// String returns the name as tools print it.
func (s Strategy) String() string {
	return [...]string{"keepers", "one leader", "quorum", "static", "gossip", "escrow"}[s]
}

// Options configure a simulation. Functions are called with virtual time since its start.
type Options struct {
	Seed     uint64
	Strategy Strategy
	Clients  int
	Servers  int // the first clients' processes
	Total    int
	Kind     quota.Kind
	Soft     bool
	Duration time.Duration
	// Demand is the requests a second that a client has.
	Demand func(client int, now time.Duration) float64
	// MeanAttemptTime is the mean time of a request in flight; the longest is maxAttemptFactor times that.
	MeanAttemptTime time.Duration
	// ClockDrift has clocks go at rates from 1-ClockDrift to 1+ClockDrift. The servers and clients assume
	// lease.DefaultClockDrift.
	ClockDrift float64
	// CountFrom is from when Result.UsedShare is counted: servers that start grant nothing for a while.
	CountFrom time.Duration

	// Faults has random processes and links fail, at a mean interval of FaultInterval; 0: 700 ms.
	Faults        bool
	FaultInterval time.Duration
	// Partitioned clients reach only one another from PartitionStart to PartitionEnd.
	Partitioned    []int
	PartitionStart time.Duration
	PartitionEnd   time.Duration
	Outages        []Outage

	// PeerPath is the share of messages that is lost between two processes, and the delay of the others besides 1 to 10 ms.
	// nil: none.
	PeerPath func(from, to int, now time.Duration) (lost float64, delay time.Duration)
	// MessageSize returns the bytes of a request or grant on the wire. nil: an estimate.
	MessageSize func(from string, message any) int
	// OnSent and OnReceived are called with each message between processes that is sent, and that arrives. nil: not called.
	OnSent, OnReceived func(now time.Duration, member, bytes int)
}

// Outage is a group of processes that fail, and restart all at once.
type Outage struct {
	Members    []int
	Start, End time.Duration
}

// Result is what happened, by true time.
type Result struct {
	MaxUsed   int     // the most in flight at once, or begun in any second
	Exceeded  int     // attempts that began above the total
	Bound     int     // of MaxUsed, by the settings
	UsedShare float64 // of what was wanted, or of what the limit allows if that is less
	Wanted    int     // requests
	Started   int     // requests that were admitted
	NearTotal int     // attempts that began with nine tenths of the total in use or more
	Grants    int
	Crashes   int
	Pauses    int
	Messages  int
	Bytes     int
	// StartedByClient counts what each client began in each interval of countInterval.
	StartedByClient [][]int
}

const (
	// agentID is the one agent that each client has.
	agentID = 1
	// rngStream separates these random numbers from those of others with the same seed.
	rngStream = 21
	// tickInterval is how often a process does what it does by itself.
	tickInterval = 50 * time.Millisecond
	// maxAttemptFactor is how much longer than the mean an attempt takes at most.
	maxAttemptFactor = 4
	// countInterval is the resolution of Result.StartedByClient.
	countInterval = 100 * time.Millisecond
)

// world is one simulation.
type world struct {
	options  Options
	settings lease.Settings
	rng      *rand.Rand
	now      time.Duration
	queue    eventqueue.Queue
	members  []*member
	linkDown map[[2]int]bool // by sender and receiver
	inFlight int
	started  []time.Duration // within the last second
	allowed  float64         // requests that a limit without any cost of division would have admitted
	result   Result
}

// Run simulates until Options.Duration. It returns an error if the settings are refused.
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
	w.result.Bound = w.settings.Bounds(limit, o.Clients).Max
	return w
}

func memberName(number int) string { return fmt.Sprint("m", number) }

func (w *world) at(t time.Duration, do func()) { w.queue.At(t, do) }

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

// AdaptationTime returns how long after a moment a client's starts within half a second reached a share of a rate a
// second; 0: never.
func (r *Result) AdaptationTime(client int, from time.Duration, rate, share float64) time.Duration {
	const (
		intervals    = 5
		perSecond    = 2 // such half seconds
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
