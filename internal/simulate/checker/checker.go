// Package checker checks that a balancer keeps four rules. Its input is events with their times: which
// requests agents accepted and answered, which attempts reached servers, and which entries the list sent
// to each agent. It does not depend on how the balancer works, and has no I/O and no clock.
//
// The rules: (1) each accepted request gets exactly one final answer before the client's deadline,
// and nothing is sent for it after that; (2) no effect happens twice, and a refusal promises that
// a retry is harmless; (3) no new request goes to a server later than the drain grace after this
// agent received the entry by which it drains or is gone; (4) no cold server is overloaded.
package checker

import (
	"fmt"
	"slices"
	"time"

	"vetchhaven/decide"
)

// Config holds the parameters of the rules.
type Config struct {
	Classes     []decide.Class
	Names       []string // of the classes, for messages
	DrainGrace  time.Duration
	AnswerSlack time.Duration // a final answer may come this much after the client's deadline
	Slack       time.Duration // maximum difference between the times given here and the agent's
	MaxAttempts int           // 0: unlimited
	// InformedLimit is the share of the work sent to an overloaded cold server that must have come from
	// agents that had received its start from the list, for the overload to count as a breach of rule 4.
	InformedLimit float64
}

// Breach describes a breach of a rule.
type Breach struct {
	Rule    int
	At      time.Duration
	Agent   int
	Request string
	Servers []string
	Text    string
}

func (b Breach) String() string {
	s := fmt.Sprintf("rule %d at %s: agent %d", b.Rule, seconds(b.At), b.Agent)
	if b.Agent < 0 {
		s = fmt.Sprintf("rule %d at %s", b.Rule, seconds(b.At))
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

func seconds(t time.Duration) string { return fmt.Sprintf("%.3f s", t.Seconds()) }

// Kind is the kind of a final answer that a client gets.
type Kind uint8

// The kinds of final answers.
const (
	Served  Kind = iota
	Refused      // a retry is harmless
	Failed       // the request may have had its effect or not
)

func (k Kind) String() string { return [...]string{"served", "refused", "failed"}[k] }

// Checker keeps the state that is needed to check the rules: open requests, and ended requests for
// as long as events about them may still come.
type Checker struct {
	config    Config
	requests  map[string]*request
	listed    map[agentServer]*listing
	taken     []expiry      // of accepted requests, in the order of acceptance
	retain    time.Duration // how long a request is kept after its deadline
	breaches  []Breach
	count     [5]int          // by rule
	doubled   int             // number of requests that had their effect twice
	faultless []Breach        // second effects in which no agent broke a rule
	atFault   map[string]bool // IDs of requests with a further attempt that broke rule 2
}

type agentServer struct {
	agent  int
	server string
}

type listing struct {
	state       decide.BackendState
	zone, pod   int // or decide.Unknown
	started     time.Duration
	withdrawnAt time.Duration // when the agent received that the server drains or is gone; negative: it is up
	zoneAt      time.Duration // when the agent received the present zone
	podAt       time.Duration // when the agent received the present pod
	startedAt   time.Duration // when the agent received the latest start; negative: never
	oldZone     int           // the zone before zoneAt; oldPod is the pod before podAt
	oldPod      int
}

type request struct {
	agent        int
	class        int
	deadline     time.Duration
	arrivals     []arrival
	answered     time.Duration // time of the final answer; negative: none yet
	noAnswerDue  bool          // the client stopped waiting or the agent was stopped
	agentStopped bool          // the agent was stopped: attempts on their way still arrive, which is no breach
	reported     bool          // the missing answer is in the breaches already
}

type arrival struct {
	server    string
	began, at time.Duration
	zone, pod int           // according to the agent's list when it sent the request
	neverRan  time.Duration // when the server reported that the request never ran; negative: it may have run
	ran       bool
}

type expiry struct {
	at time.Duration
	id string
}

const maxBreaches = 100 // for each rule; further breaches are only counted

// New returns a checker without events.
func New(c Config) *Checker {
	ch := &Checker{config: c, requests: map[string]*request{}, listed: map[agentServer]*listing{}, atFault: map[string]bool{}, retain: 5 * time.Second}
	if c.InformedLimit == 0 {
		ch.config.InformedLimit = 2.0 / 3
	}
	for _, k := range c.Classes {
		ch.retain = max(ch.retain, 2*k.Deadline, k.Deadline+k.DedupWindow)
	}
	return ch
}

// Breaches returns the breaches so far, up to a maximum for each rule.
func (ch *Checker) Breaches() []Breach { return ch.breaches }

// Count returns how often a rule was broken.
func (ch *Checker) Count(rule int) int { return ch.count[rule] }

// Total returns how often all rules were broken.
func (ch *Checker) Total() int { return ch.count[1] + ch.count[2] + ch.count[3] + ch.count[4] }

func (ch *Checker) breach(b Breach) {
	if ch.count[b.Rule]++; ch.count[b.Rule] <= maxBreaches {
		ch.breaches = append(ch.breaches, b)
	}
}

// Took records that an agent has accepted a request, whose client waits until deadline.
func (ch *Checker) Took(now time.Duration, agent int, id string, class int, deadline time.Duration) {
	ch.Advance(now)
	if ch.requests[id] != nil {
		return // IDs come from clients; a duplicate is not this agent's fault
	}
	ch.requests[id] = &request{agent: agent, class: class, deadline: deadline, answered: -1}
	ch.taken = append(ch.taken, expiry{deadline, id})
}

// Arrived records that a request has reached a server. The agent began to send it at began.
func (ch *Checker) Arrived(now, began time.Duration, agent int, id, server string) {
	ch.Advance(now)
	r := ch.requests[id]
	if r == nil {
		ch.breach(Breach{1, now, agent, id, []string{server}, "arrived, but no open or recent request has this ID"})
		return
	}
	if r.agentStopped {
		return
	}
	switch {
	case r.answered >= 0 && began > r.answered+ch.config.Slack:
		ch.breach(Breach{1, now, agent, id, []string{server},
			fmt.Sprintf("was sent %s after its final answer", began-r.answered)})
	case ch.config.MaxAttempts > 0 && len(r.arrivals) >= ch.config.MaxAttempts:
		ch.breach(Breach{2, now, agent, id, []string{server}, fmt.Sprintf("is attempt %d of at most %d", len(r.arrivals)+1, ch.config.MaxAttempts)})
	}
	t := ch.listed[agentServer{agent, server}]
	if t == nil {
		ch.breach(Breach{3, now, agent, id, []string{server}, "was sent to a server that this agent was never told of"})
		t = &listing{withdrawnAt: -1}
	} else if t.withdrawnAt >= 0 && began > t.withdrawnAt+ch.config.DrainGrace+ch.config.Slack {
		ch.breach(Breach{3, now, agent, id, []string{server}, fmt.Sprintf("was sent %s after the agent was told that it %s (%s allowed)",
			began-t.withdrawnAt, map[bool]string{true: "drains", false: "is gone"}[t.state == decide.Draining], ch.config.DrainGrace)})
	}
	a := arrival{server: server, began: began, at: now, zone: t.zone, pod: t.pod, neverRan: -1}
	if began < t.zoneAt+ch.config.Slack { // the zone changed at about the same time: the request may have been sent before
		a.zone = t.oldZone
	}
	if began < t.podAt+ch.config.Slack {
		a.pod = t.oldPod
	}
	ch.checkRepeat(r, a, t, agent, id)
	r.arrivals = append(r.arrivals, a)
}

// checkRepeat checks that a further attempt can't have the request's effect a second time.
func (ch *Checker) checkRepeat(r *request, a arrival, t *listing, agent int, id string) {
	var first *arrival
	for i := range r.arrivals {
		if o := &r.arrivals[i]; o.neverRan < 0 || o.neverRan > a.began+ch.config.Slack {
			first = o
			break
		}
	}
	c := ch.config.Classes[r.class]
	if first == nil || c.Effect == decide.Idempotent {
		return
	}
	servers := []string{first.server, a.server}
	gap := a.at - first.at
	report := func(text string) {
		ch.atFault[id] = true
		ch.breach(Breach{2, a.at, agent, id, servers, fmt.Sprintf("(%s) was sent again after %s, %s", ch.name(r.class), gap, text)})
	}
	// A server that moved into the group after the first attempt was sent may not have stored the key.
	movedIn := func(at time.Duration) bool { return at > first.began+ch.config.Slack && at+ch.config.Slack < a.began }
	switch {
	case c.Effect == decide.NonIdempotent:
		report("though it may have run and is unsafe to repeat")
	case gap > c.DedupWindow+ch.config.Slack:
		report(fmt.Sprintf("past the window of %s in which its repeat is dropped", c.DedupWindow))
	case c.Scope == decide.ScopeZone && (a.zone != first.zone || movedIn(t.zoneAt)):
		report(fmt.Sprintf("from zone %d to zone %d, which does not drop its repeat", first.zone, a.zone))
	case c.Scope == decide.ScopeCell && (a.pod != first.pod || movedIn(t.podAt)):
		report(fmt.Sprintf("from pod %d to pod %d, which does not drop its repeat", first.pod, a.pod))
	case c.Scope == decide.ScopeZone && first.zone == decide.Unknown && a.server != first.server,
		c.Scope == decide.ScopeCell && first.pod == decide.Unknown && a.server != first.server:
		report("from one server to another, which are not known to drop each other's repeats")
	}
}

func (ch *Checker) name(class int) string {
	if class < len(ch.config.Names) {
		return ch.config.Names[class]
	}
	return fmt.Sprint("class ", class)
}

// Moved records that the latest arrival at a server, by the name that the agent used, reached another
// server, which has the address now.
func (ch *Checker) Moved(id, named, server string) {
	if r := ch.requests[id]; r != nil {
		for i := len(r.arrivals) - 1; i >= 0; i-- {
			if a := &r.arrivals[i]; a.server == named {
				a.server = server
				return
			}
		}
	}
}

// TurnedAway records that a server has rejected a request, which never ran there.
func (ch *Checker) TurnedAway(now time.Duration, id, server string) {
	if r := ch.requests[id]; r != nil {
		for i := len(r.arrivals) - 1; i >= 0; i-- {
			if a := &r.arrivals[i]; a.server == server && a.neverRan < 0 {
				a.neverRan = now
				return
			}
		}
	}
}

// Ran records that a request had its effect on a server. A second effect of a request is not a breach if
// all sends kept the rules according to the list that the agent had received; it is recorded separately.
// This happens when the list reports a change too late, such as a server's move to another pod.
func (ch *Checker) Ran(now time.Duration, id, server string) {
	r := ch.requests[id]
	if r == nil || ch.config.Classes[r.class].Effect == decide.Idempotent {
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
	ch.doubled++
	b := Breach{0, now, r.agent, id, []string{r.arrivals[before].server, server},
		fmt.Sprintf("(%s) had its effect twice", ch.name(r.class))}
	if ch.atFault[id] {
		return // the attempt that caused it is already recorded as a breach
	}
	if len(ch.faultless) < maxBreaches {
		ch.faultless = append(ch.faultless, b)
	}
}

// Doubled returns the number of requests that had their effect twice, and those of them in which no
// agent broke a rule, up to a maximum.
func (ch *Checker) Doubled() (n int, unblamed []Breach) { return ch.doubled, ch.faultless }

// Answered records that a client has got a final answer.
func (ch *Checker) Answered(now time.Duration, agent int, id string, kind Kind) {
	ch.Advance(now)
	r := ch.requests[id]
	switch {
	case r == nil:
		ch.breach(Breach{1, now, agent, id, nil, "was answered, but no open or recent request has this ID"})
		return
	case r.answered >= 0:
		ch.breach(Breach{1, now, agent, id, nil, fmt.Sprintf("was answered a second time (%s)", kind)})
		return
	case now > r.deadline+ch.config.AnswerSlack && !r.noAnswerDue && !r.reported:
		ch.breach(Breach{1, now, agent, id, nil, fmt.Sprintf("was answered %s after its client's deadline", now-r.deadline)})
	}
	r.answered = now
	c := ch.config.Classes[r.class]
	open := func(a arrival) bool { return a.neverRan < 0 || a.neverRan > now+ch.config.Slack }
	switch i := slices.IndexFunc(r.arrivals, open); {
	case kind == Served && i < 0:
		ch.breach(Breach{1, now, agent, id, nil, "was served, but no server has run it"})
	case kind == Refused && i >= 0 && c.Effect != decide.Idempotent && (c.Effect == decide.NonIdempotent || c.Scope != decide.ScopeAll):
		ch.breach(Breach{2, now, agent, id, []string{r.arrivals[i].server},
			fmt.Sprintf("(%s) was refused, which says that a new try does no harm, though it may have run", ch.name(r.class))})
	}
}

// ClientLeft records that a client has stopped waiting, so that no answer is due any more.
func (ch *Checker) ClientLeft(now time.Duration, id string) {
	ch.Advance(now)
	if r := ch.requests[id]; r != nil {
		r.noAnswerDue = true
	}
}

// ConnectionLost records that a client's connection ended without the final answer.
func (ch *Checker) ConnectionLost(now time.Duration, agent int, id string) {
	if r := ch.requests[id]; r != nil && r.answered < 0 && !r.noAnswerDue && !r.reported {
		r.reported = true
		ch.breach(Breach{1, now, agent, id, nil, "lost: its connection ended without an answer"})
	}
}

// Stopped records that an agent was killed: no answers to its requests are due any more, and it has to
// receive all servers from the list again.
func (ch *Checker) Stopped(now time.Duration, agent int) {
	ch.Advance(now)
	for _, r := range ch.requests {
		if r.agent == agent {
			r.noAnswerDue, r.agentStopped = true, true
		}
	}
	for key := range ch.listed {
		if key.agent == agent {
			delete(ch.listed, key)
		}
	}
}

// Listed records that the list has sent an agent the entry of a server.
func (ch *Checker) Listed(now time.Duration, agent int, server string, state decide.BackendState, zone, pod int, started time.Duration) {
	key := agentServer{agent, server}
	t := ch.listed[key]
	if t == nil {
		t = &listing{zone: zone, pod: pod, oldZone: zone, oldPod: pod, withdrawnAt: -1, zoneAt: -1 << 40, podAt: -1 << 40, startedAt: -1}
		ch.listed[key] = t
	}
	if t.zone != zone {
		t.oldZone, t.zone, t.zoneAt = t.zone, zone, now
	}
	if t.pod != pod {
		t.oldPod, t.pod, t.podAt = t.pod, pod, now
	}
	if started > t.started {
		t.started, t.startedAt = started, now
	}
	switch {
	case state == decide.Up:
		t.withdrawnAt = -1
	case t.withdrawnAt < 0:
		t.withdrawnAt = now
	}
	t.state = state
}

// Unlisted records that an agent got a complete list: servers listed earlier that are not on it count as gone.
func (ch *Checker) Unlisted(now time.Duration, agent int, listed func(server string) bool) {
	for key, t := range ch.listed {
		if key.agent == agent && t.withdrawnAt < 0 && !listed(key.server) {
			t.withdrawnAt, t.state = now, decide.Removed
		}
	}
}

// KnowsStart reports whether an agent has received a server's start at the time started from the list.
func (ch *Checker) KnowsStart(agent int, server string, started time.Duration) bool {
	t := ch.listed[agentServer{agent, server}]
	return t != nil && t.startedAt >= 0 && t.started >= started
}

// Overloaded records that a cold server was overloaded. informed is the share of the work sent to it
// that came from agents that had received its start from the list.
func (ch *Checker) Overloaded(now time.Duration, server string, informed float64) {
	if informed >= ch.config.InformedLimit {
		ch.breach(Breach{4, now, -1, "", []string{server},
			fmt.Sprintf("was overloaded while cold: %.0f%% of its work came from agents that knew of its start", 100*informed)})
	}
}

// Advance finds overdue answers, and drops requests about which no more events can come.
func (ch *Checker) Advance(now time.Duration) {
	for len(ch.taken) > 0 && now > ch.taken[0].at+ch.retain {
		id := ch.taken[0].id
		ch.taken = ch.taken[1:]
		if r := ch.requests[id]; r != nil {
			ch.checkOverdue(now, id, r)
			delete(ch.requests, id)
			delete(ch.atFault, id)
		}
	}
}

func (ch *Checker) checkOverdue(now time.Duration, id string, r *request) {
	if r.answered < 0 && !r.noAnswerDue && !r.reported && now > r.deadline+ch.config.AnswerSlack {
		r.reported = true
		ch.breach(Breach{1, r.deadline + ch.config.AnswerSlack, r.agent, id, nil, "never got a final answer"})
	}
}

// End finds requests that are still unanswered after their deadline. The driver calls it after the
// last deadline.
func (ch *Checker) End(now time.Duration) {
	for _, e := range ch.taken {
		if r := ch.requests[e.id]; r != nil {
			ch.checkOverdue(now, e.id, r)
		}
	}
}
