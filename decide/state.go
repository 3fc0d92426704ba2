package decide

import (
	"math/rand/v2"
	"slices"
	"time"

	"vetchhaven/decide/quota"
)

// The records that the module keeps, and helpers that look things up in them. Nothing is decided here.

// Balancer decides for one agent. See the package comment for its use.
type Balancer struct {
	s       Settings
	rng     *rand.Rand
	now     time.Duration
	actions []Action

	backends []*backend // in the order in which they were first listed
	byID     map[string]*backend
	lists    int                       // lists taken, and bans lifted
	byHand   map[string]time.Duration  // when an operator put it back, while it is cold; or outByHand
	restored map[string]LearnedBackend // by id, until first listed
	requests map[string]*request
	held     []*request // waiting for room, oldest first
	timers   map[int64]*request
	watched  map[int64]*attempt // by the token of the timer that finds them overdue
	token    int64              // last timer token given out

	tokens   float64 // the retry bucket
	classes  []classState
	inFlight int
	stuck    int     // of these, on backends that are not counted in capacity
	perBack  float64 // attempts that all agents may have in flight together, per backend that is up
	share    float64 // this agent's part of them
	fewest   int     // agents that surely share the backends
	up       int     // backends that the list says are up
	sound    int     // of the warm ones, those that are not down
	capacity float64 // their number, each counted by its warmth
	delay    float64 // running mean of latency over aim

	kinds           []*kindState  // of all; from 1 on by kind
	firstAt         time.Duration // the first request came; 0: none has
	cutAt, demandAt time.Duration
	askFails        int // watches that failed in a row, and one more once a list has come
	askToken        int64

	demand    float64       // decayed work that clients asked for in first tries
	peers     []peer        // by number
	period    time.Duration // between two tells: the longest aim
	tellToken int64
	credit    float64 // work that a thin agent may send

	notes    []note // what was lately seen of backends, here and by peers; newest last
	byKey    map[uint32]*backend
	outcomes int
	fits     [][]float64 // by class and kind

	partitioned bool       // settled and unsettled are as the backends stand
	settled     int        // backends that are up, warm and sound
	unsettled   []*backend // the others

	topWeight float64 // the highest weight of an idle backend at the last scan, or met since

	gap    float64       // mean time between attempts, ns
	lastAt time.Duration // of the last one

	book     quota.Ledger  // rights to use limits that the fleet shares
	reported time.Duration // when the daemon was last told how they stand
}

type peer struct {
	demand float64
	until  time.Duration // what it told holds until then
}

type classState struct {
	Class
	latency  float64       // running mean of served latency, ns
	value    float64       // what a unit of work adds to the goal, in this step
	usual    time.Duration // the remaining time that most tries come with
	votes    int           // for that, less those against it
	work     float64       // running mean of the expected work told with requests, ns
	rest     float64       // running mean latency, as a share of the aim, of answers of servers that had nothing else in hand
	arrived  float64       // decayed count of requests
	answered float64       // decayed count of requests answered within the aim
}

// kindState is what is known of the backends of one kind, or of all.
type kindState struct {
	warm    int     // those that are up and not cold
	settled int     // of these, those that are sound too, as partition found them
	done    float64 // decayed units of work that one of them served
	doneAt  time.Duration
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
	judged  time.Duration // nor, by a verdict of all agents, before this one
	leaves  time.Duration // gets nothing until then: others heard that it drains

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

	rights []quota.Reservation
	noDial bool // for want of a right it may open no connection
}

type request struct {
	id       string
	class    int
	only     string        // the one backend that may get it; empty: any
	aim      time.Duration // answers after this time earn less
	deadline time.Duration
	half     time.Duration // half of the client's time is over
	work     float64       // expected work as told, ns; 0: unknown
	spare    float64       // share of the work asked for that is worth more than this
	attempts []*attempt
	open     int      // attempts out
	risky    int      // attempts that may have run, those out included
	anchor   *attempt // the first of these: sets the group and the window
	retries  int
	failed   *backend   // the backend that failed it last
	timer    int64      // the token of its latest timer; earlier ones are void
	repeat   bool       // a later try of the client: part of its aim has passed
	passed   bool       // found no backend in this step
	lack     *quota.Row // the limit that stood in its way, in this step; see lacked
	lacked   bool       // that was reported

	waiting, holding, stream, ended bool // for its backoff; for room; being answered; done with
	upload, spent                   bool // its last byte is still to come; what was sent can't be sent again
}

// use is what an attempt of r at t would use rights for.
func (b *Balancer) use(r *request, t *backend) *quota.Demand {
	return &quota.Demand{Class: r.class, Server: t.ID, Zone: t.Zone, Cell: t.Cell, SlowStart: t.cold,
		FirstAttempt: len(r.attempts) == 0, EndsBy: r.deadline, ReservedShare: r.spare}
}

// kind finds the record of a backend's kind; nil: that of all.
func (b *Balancer) kind(t *backend) *kindState {
	n := 0
	if t != nil {
		n = 1 + max(t.Kind, 0) // the list may name a kind that is not known
	}
	for len(b.kinds) <= n {
		b.kinds = append(b.kinds, &kindState{})
	}
	return b.kinds[n]
}

// name is the limit for want of which r got its final answer; empty: none.
func (r *request) name(why Reason) string {
	if why != NoLease || r.lack == nil {
		return ""
	}
	return r.lack.Name()
}

// avoids reports whether a backend is out for now, by this agent's word or by that of all.
func (b *Balancer) avoids(t *backend) bool { return b.now < max(t.ejected, t.judged, t.leaves) }

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

// Knows reports whether the list names a backend, or an operator has taken it out.
func (b *Balancer) Knows(id string) bool { return b.byID[id] != nil || b.byHand[id] == outByHand }

// BackendCounts counts the backends that the list has, and those of them that get no ordinary traffic now:
// they drain, are taken out by hand, refuse connections, or were ejected for their failures.
func (b *Balancer) BackendCounts() (listed, avoided int) {
	for _, t := range b.backends {
		if t.listed == Removed {
			continue
		}
		listed++
		if t.State != Up || t.down || b.avoids(t) {
			avoided++
		}
	}
	return listed, avoided
}
