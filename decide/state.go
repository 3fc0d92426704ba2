package decide

import (
	"slices"
	"time"
)

// The records that the module keeps, and two helpers. Nothing is decided here.

type peer struct {
	demand float64
	until  time.Duration // what it told holds until then
}

type classState struct {
	Class
	latency  float64       // running mean of served latency, ns
	value    float64       // what a unit of work adds to the goal, in this step
	patience time.Duration // the usual patience of a client's try
	work     float64       // running mean of the expected work told with requests, ns
	arrived  float64       // decayed count of requests
	answered float64       // decayed count of requests answered within the aim
}

type backend struct {
	Backend
	listed  BackendState // as the list has it; State is Draining for one that is taken out by hand
	out     []*attempt   // oldest first
	slow    float64      // running mean of its latency over the mean of all
	key     uint32       // names it in notes to peers
	rank    uint32       // its place in this agent's own order
	samples float64      // answers that slow rests on
	strikes float64
	errs    float64       // running share of attempts that failed
	silent  int           // time-outs known since its last answer
	notedAt time.Duration // of the newest note
	ejected time.Duration // no traffic before this time

	struckAt, fullTill, lastOK time.Duration
	warmFrom                   time.Duration // when its latest start became known or seen
	seen                       bool          // has answered this balancer since then
	down                       bool          // connections failed or broke since the last answer
	zoned, celled, started     int           // the list that last changed its zone, its cell, its start
	cold                       bool
	budget                     float64 // work that may be sent while it is cold, in mean requests of the first class
	budgetAt                   time.Duration
}

// attempt keeps what the list said of its backend when it was sent: a later list may say otherwise
// by the time its outcome comes.
type attempt struct {
	b    *backend
	list int // lists taken before it was sent
	zone int
	cell int
	kind int
	sent time.Duration
	cost float64 // expected latency, ns
	// units is the same in mean requests of the first class: latencies grow as a fleet fills up, and the work does not.
	units float64
	open  bool
	load  bool // counts as work in hand: not while it is uploaded, nor once only its answer's bytes are to come
	late  bool // found overdue: its delay is already counted
}

type request struct {
	id       string
	class    int
	only     string        // the one backend that may get it; empty: any
	aim      time.Duration // answers after this time earn less
	deadline time.Duration
	half     time.Duration // half of the client's time is over
	work     float64       // expected work as told, ns; 0: unknown
	attempts []*attempt
	open     int      // attempts out
	risky    int      // attempts that may have run, those out included
	anchor   *attempt // the first of these: sets the group and the window
	retries  int
	failed   *backend // the backend that failed it last
	timer    int64    // the token of its latest timer; earlier ones are void
	repeat   bool     // a later try of the client: part of its aim has passed
	passed   bool     // found no backend in this step

	waiting, holding, stream, ended bool // for its backoff; for room; being answered; done with
	upload, spent                   bool // its last byte is still to come; what was sent can't be sent again
}

// without removes one element, keeping the order.
func without[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

func blend(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + smooth*(sample-mean)
}

// Known reports whether the list names a backend, or an operator has taken it out.
func (b *Balancer) Known(id string) bool { return b.byID[id] != nil || b.byHand[id] == outByHand }

// Standing counts the backends that the list has, and those of them that get no ordinary traffic now:
// they drain, are taken out by hand, refuse connections, or were ejected for their failures.
func (b *Balancer) Standing() (listed, avoided int) {
	for _, t := range b.backends {
		if t.listed == Gone {
			continue
		}
		listed++
		if t.State != Up || t.down || b.now < t.ejected {
			avoided++
		}
	}
	return listed, avoided
}
