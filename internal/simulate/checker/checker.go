// Package checker holds a balancer to the four rules. It sees only what happened, each thing with
// its time, and knows nothing of how the balancer works: what agents took and answered, what
// reached servers, what the list told whom. It is free of I/O and of any clock.
//
// The rules: (1) everything taken gets exactly one final answer before the client's time is up,
// and nothing is sent for it after that; (2) no effect happens twice, and a refusal says that
// trying again is harmless; (3) nothing new goes to a server a stated grace after this agent was
// told that it drains or is gone; (4) no cold server is pushed over.
package checker

import (
	"fmt"
	"slices"
	"time"

	"vetchhaven/decide"
)

// Config is what the rules say in figures.
type Config struct {
	Classes     []decide.Class
	Names       []string // of the classes, for people
	DrainGrace  time.Duration
	AnswerSlack time.Duration // a final answer may come so long after the client's time
	Slack       time.Duration // by which the times told here may be off from the agent's
	MaxAttempts int           // 0: any number
	// Guilt is the share of the work that pushed a cold server over which informed agents must have
	// sent for it to count against them.
	Guilt float64
}

// Breach is a rule that was broken, in words for people.
type Breach struct {
	Rule    int
	At      time.Duration
	Agent   int
	Request string
	Servers []string
	Text    string
}

func (b Breach) String() string {
	s := fmt.Sprintf("rule %d at %s: agent %d", b.Rule, sec(b.At), b.Agent)
	if b.Agent < 0 {
		s = fmt.Sprintf("rule %d at %s", b.Rule, sec(b.At))
	}
	if b.Request != "" {
		s += ", request " + b.Request
	}
	for i, name := range b.Servers {
		if i == 0 {
			s += ", server "
		} else {
			s += " and "
		}
		s += name
	}
	return s + ": " + b.Text
}

func sec(t time.Duration) string { return fmt.Sprintf("%.3f s", t.Seconds()) }

// Kind is a final answer as the client sees it.
type Kind uint8

// Final answers.
const (
	Served  Kind = iota
	Refused      // a new try does no harm
	Failed       // promises nothing
)

func (k Kind) String() string { return [...]string{"served", "refused", "failed"}[k] }

// Judge keeps what it needs to hold agents to the rules: open requests, and ended ones for as
// long as something of them may still turn up.
type Judge struct {
	c        Config
	requests map[string]*request
	told     map[serverOf]*told
	taken    []expiry // in order of taking
	retain   time.Duration
	breaches []Breach
	count    [5]int // by rule
	doubled  int
	unblamed []Breach
	blamed   map[string]bool // requests whose repeat broke rule 2
}

type serverOf struct {
	agent  int
	server string
}

type told struct {
	state     decide.BackendState
	zone, pod int
	started   time.Duration
	offAt     time.Duration // told to drain or be gone at; negative: it is up
	zoned     time.Duration // told its zone at
	celled    time.Duration // and its pod
	startedAt time.Duration // told of its latest start at; negative: never
	wasZone   int           // before that
	wasPod    int
}

type request struct {
	agent    int
	class    int
	deadline time.Duration
	arrivals []arrival
	answered time.Duration // negative: not yet
	void     bool          // nothing is owed: the client left or the agent was stopped
	stopped  bool          // the agent was: what was on its way still arrives, and is nobody's fault
	named    bool          // its want of an answer is in the breaches
}

type arrival struct {
	server    string
	began, at time.Duration
	zone, pod int           // as told to the agent when it was sent
	neverRan  time.Duration // the server said so at; negative: it may have run
	ran       bool
}

type expiry struct {
	at time.Duration
	id string
}

const breachesKept = 100 // of each rule: more are only counted

// New returns a judge that has seen nothing.
func New(c Config) *Judge {
	j := &Judge{c: c, requests: map[string]*request{}, told: map[serverOf]*told{}, blamed: map[string]bool{}, retain: 5 * time.Second}
	if c.Guilt == 0 {
		j.c.Guilt = 2.0 / 3
	}
	for _, k := range c.Classes {
		j.retain = max(j.retain, 2*k.Deadline, k.Deadline+k.DedupWindow)
	}
	return j
}

// Breaches are the rules broken so far, up to a bound for each rule.
func (j *Judge) Breaches() []Breach { return j.breaches }

// Count is how often a rule was broken.
func (j *Judge) Count(rule int) int { return j.count[rule] }

// Total is how often any was.
func (j *Judge) Total() int { return j.count[1] + j.count[2] + j.count[3] + j.count[4] }

func (j *Judge) breach(b Breach) {
	if j.count[b.Rule]++; j.count[b.Rule] <= breachesKept {
		j.breaches = append(j.breaches, b)
	}
}

// Took says that an agent has taken a request, whose client waits until deadline.
func (j *Judge) Took(now time.Duration, agent int, id string, class int, deadline time.Duration) {
	j.Advance(now)
	if j.requests[id] != nil {
		return // clients give new ids; a second one is not this agent's fault
	}
	j.requests[id] = &request{agent: agent, class: class, deadline: deadline, answered: -1}
	j.taken = append(j.taken, expiry{deadline, id})
}

// Arrived says that a request has reached a server. The agent began to send it at began.
func (j *Judge) Arrived(now, began time.Duration, agent int, id, server string) {
	j.Advance(now)
	r := j.requests[id]
	if r == nil {
		j.breach(Breach{1, now, agent, id, []string{server}, "arrived, and no open or recent request has this id"})
		return
	}
	if r.stopped {
		return
	}
	switch {
	case r.answered >= 0 && began > r.answered+j.c.Slack:
		j.breach(Breach{1, now, agent, id, []string{server},
			fmt.Sprintf("was sent %s after its final answer", began-r.answered)})
	case j.c.MaxAttempts > 0 && len(r.arrivals) >= j.c.MaxAttempts:
		j.breach(Breach{2, now, agent, id, []string{server}, fmt.Sprintf("is attempt %d of at most %d", len(r.arrivals)+1, j.c.MaxAttempts)})
	}
	t := j.told[serverOf{agent, server}]
	if t == nil {
		j.breach(Breach{3, now, agent, id, []string{server}, "was sent to a server that this agent was never told of"})
		t = &told{offAt: -1}
	} else if t.offAt >= 0 && began > t.offAt+j.c.DrainGrace+j.c.Slack {
		j.breach(Breach{3, now, agent, id, []string{server}, fmt.Sprintf("was sent %s after the agent was told that it %s (%s allowed)",
			began-t.offAt, map[bool]string{true: "drains", false: "is gone"}[t.state == decide.Draining], j.c.DrainGrace)})
	}
	a := arrival{server: server, began: began, at: now, zone: t.zone, pod: t.pod, neverRan: -1}
	if began < t.zoned+j.c.Slack { // told at about the same time: it may have been sent before
		a.zone = t.wasZone
	}
	if began < t.celled+j.c.Slack {
		a.pod = t.wasPod
	}
	j.repeat(r, a, t, agent, id)
	r.arrivals = append(r.arrivals, a)
}

// repeat checks that a further attempt does no harm.
func (j *Judge) repeat(r *request, a arrival, t *told, agent int, id string) {
	var first *arrival
	for i := range r.arrivals {
		if o := &r.arrivals[i]; o.neverRan < 0 || o.neverRan > a.began+j.c.Slack {
			first = o
			break
		}
	}
	c := j.c.Classes[r.class]
	if first == nil || c.Effect == decide.Idempotent {
		return
	}
	servers := []string{first.server, a.server}
	gap := a.at - first.at
	fault := func(text string) {
		j.blamed[id] = true
		j.breach(Breach{2, a.at, agent, id, servers, fmt.Sprintf("(%s) was sent again after %s, %s", j.name(r.class), gap, text)})
	}
	// One that was told to have come to the group after the first attempt was sent need not know it.
	came := func(at time.Duration) bool { return at > first.began+j.c.Slack && at+j.c.Slack < a.began }
	switch {
	case c.Effect == decide.NonIdempotent:
		fault("though it may have run and is unsafe to repeat")
	case gap > c.DedupWindow+j.c.Slack:
		fault(fmt.Sprintf("past the window of %s in which its repeat is dropped", c.DedupWindow))
	case c.Scope == decide.ScopeZone && (a.zone != first.zone || came(t.zoned)):
		fault(fmt.Sprintf("from zone %d to zone %d, which does not drop its repeat", first.zone, a.zone))
	case c.Scope == decide.ScopeCell && (a.pod != first.pod || came(t.celled)):
		fault(fmt.Sprintf("from pod %d to pod %d, which does not drop its repeat", first.pod, a.pod))
	}
}

func (j *Judge) name(class int) string {
	if class < len(j.c.Names) {
		return j.c.Names[class]
	}
	return fmt.Sprint("class ", class)
}

// Moved says that the latest arrival, at a server as the agent names it, reached another one: it
// has the address now.
func (j *Judge) Moved(id, named, server string) {
	if r := j.requests[id]; r != nil {
		for i := len(r.arrivals) - 1; i >= 0; i-- {
			if a := &r.arrivals[i]; a.server == named {
				a.server = server
				return
			}
		}
	}
}

// TurnedAway says that a server has told the agent that a request never ran there.
func (j *Judge) TurnedAway(now time.Duration, id, server string) {
	if r := j.requests[id]; r != nil {
		for i := len(r.arrivals) - 1; i >= 0; i-- {
			if a := &r.arrivals[i]; a.server == server && a.neverRan < 0 {
				a.neverRan = now
				return
			}
		}
	}
}

// Ran says that a request had its effect on a server. A second effect of one request that came of
// sends within the rules, by what the agent had been told, is nobody's breach: it is noted apart.
// Such come of what a late list can't tell in time, as of a server that moved to another pod.
func (j *Judge) Ran(now time.Duration, id, server string) {
	r := j.requests[id]
	if r == nil || j.c.Classes[r.class].Effect == decide.Idempotent {
		return
	}
	before := slices.IndexFunc(r.arrivals, func(a arrival) bool { return a.ran })
	i := slices.IndexFunc(r.arrivals, func(a arrival) bool { return a.server == server && !a.ran })
	if i < 0 {
		return
	}
	r.arrivals[i].ran = true
	if before < 0 {
		return
	}
	j.doubled++
	b := Breach{0, now, r.agent, id, []string{r.arrivals[before].server, server},
		fmt.Sprintf("(%s) had its effect twice", j.name(r.class))}
	if j.blamed[id] {
		return // the send that led to it is in the breaches
	}
	if len(j.unblamed) < breachesKept {
		j.unblamed = append(j.unblamed, b)
	}
}

// Doubled is how many requests had their effect twice, and those of them for which no agent is to
// blame, up to a bound.
func (j *Judge) Doubled() (n int, unblamed []Breach) { return j.doubled, j.unblamed }

// Answered says that a client has a final answer.
func (j *Judge) Answered(now time.Duration, agent int, id string, kind Kind) {
	j.Advance(now)
	r := j.requests[id]
	switch {
	case r == nil:
		j.breach(Breach{1, now, agent, id, nil, "was answered, and no open or recent request has this id"})
		return
	case r.answered >= 0:
		j.breach(Breach{1, now, agent, id, nil, fmt.Sprintf("was answered a second time (%s)", kind)})
		return
	case now > r.deadline+j.c.AnswerSlack && !r.void && !r.named:
		j.breach(Breach{1, now, agent, id, nil, fmt.Sprintf("was answered %s after its client's time", now-r.deadline)})
	}
	r.answered = now
	c := j.c.Classes[r.class]
	open := func(a arrival) bool { return a.neverRan < 0 || a.neverRan > now+j.c.Slack }
	switch i := slices.IndexFunc(r.arrivals, open); {
	case kind == Served && i < 0:
		j.breach(Breach{1, now, agent, id, nil, "was served, and no server has run it"})
	case kind == Refused && i >= 0 && c.Effect != decide.Idempotent && (c.Effect == decide.NonIdempotent || c.Scope != decide.ScopeAll):
		j.breach(Breach{2, now, agent, id, []string{r.arrivals[i].server},
			fmt.Sprintf("(%s) was refused, which says that a new try does no harm, though it may have run", j.name(r.class))})
	}
}

// GaveUp says that a client has left: nothing is owed any more.
func (j *Judge) GaveUp(now time.Duration, id string) {
	j.Advance(now)
	if r := j.requests[id]; r != nil {
		r.void = true
	}
}

// Lost says that a connection ended without the answer that was owed on it.
func (j *Judge) Lost(now time.Duration, agent int, id string) {
	if r := j.requests[id]; r != nil && r.answered < 0 && !r.void && !r.named {
		r.named = true
		j.breach(Breach{1, now, agent, id, nil, "lost: its connection ended without an answer"})
	}
}

// Stopped says that an agent was killed: what it held is its clients' to try again. It has to be
// told of servers anew.
func (j *Judge) Stopped(now time.Duration, agent int) {
	j.Advance(now)
	for _, r := range j.requests {
		if r.agent == agent {
			r.void, r.stopped = true, true
		}
	}
	for key := range j.told {
		if key.agent == agent {
			delete(j.told, key)
		}
	}
}

// Told says that the list has told an agent of a server.
func (j *Judge) Told(now time.Duration, agent int, server string, state decide.BackendState, zone, pod int, started time.Duration) {
	key := serverOf{agent, server}
	t := j.told[key]
	if t == nil {
		t = &told{zone: zone, pod: pod, wasZone: zone, wasPod: pod, offAt: -1, zoned: -1 << 40, celled: -1 << 40, startedAt: -1}
		j.told[key] = t
	}
	if t.zone != zone {
		t.wasZone, t.zone, t.zoned = t.zone, zone, now
	}
	if t.pod != pod {
		t.wasPod, t.pod, t.celled = t.pod, pod, now
	}
	if started > t.started {
		t.started, t.startedAt = started, now
	}
	switch {
	case state == decide.Up:
		t.offAt = -1
	case t.offAt < 0:
		t.offAt = now
	}
	t.state = state
}

// Missing says that a whole list did not name a server that was told of: it is gone.
func (j *Judge) Missing(now time.Duration, agent int, listed func(server string) bool) {
	for key, t := range j.told {
		if key.agent == agent && t.offAt < 0 && !listed(key.server) {
			t.offAt, t.state = now, decide.Removed
		}
	}
}

// Knows reports whether an agent was told, by now, of a server's start at a time.
func (j *Judge) Knows(agent int, server string, started time.Duration) bool {
	t := j.told[serverOf{agent, server}]
	return t != nil && t.startedAt >= 0 && t.started >= started
}

// Fell says that a cold server was pushed over, and by which share of the work sent to it agents
// that knew of its start did that.
func (j *Judge) Fell(now time.Duration, server string, informed float64) {
	if informed >= j.c.Guilt {
		j.breach(Breach{4, now, -1, "", []string{server},
			fmt.Sprintf("was pushed over while cold: %.0f%% of its work came from agents that knew of its start", 100*informed)})
	}
}

// Advance lets the judge find what is overdue, and forget what nothing can follow.
func (j *Judge) Advance(now time.Duration) {
	for len(j.taken) > 0 && now > j.taken[0].at+j.retain {
		id := j.taken[0].id
		j.taken = j.taken[1:]
		if r := j.requests[id]; r != nil {
			j.overdue(now, id, r)
			delete(j.requests, id)
			delete(j.blamed, id)
		}
	}
}

func (j *Judge) overdue(now time.Duration, id string, r *request) {
	if r.answered < 0 && !r.void && !r.named && now > r.deadline+j.c.AnswerSlack {
		r.named = true
		j.breach(Breach{1, r.deadline + j.c.AnswerSlack, r.agent, id, nil, "never got a final answer"})
	}
}

// End finds what is still unanswered past its time. The driver plays on until all time is over.
func (j *Judge) End(now time.Duration) {
	for _, e := range j.taken {
		if r := j.requests[e.id]; r != nil {
			j.overdue(now, e.id, r)
		}
	}
}
