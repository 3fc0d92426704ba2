package check

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"time"
)

// Invariant is the name of a property that must hold.
type Invariant string

// The invariants and their meaning.
const (
	OneAnswer              Invariant = "one_answer"           // each request that was read has exactly one final answer, in time
	OwnAnswer              Invariant = "own_answer"           // a served answer was produced by a server for this request
	NothingAfterAnswer     Invariant = "nothing_after_answer" // nothing is sent for a request after its final answer
	NothingAfterDisconnect Invariant = "nothing_for_left"     // no attempt begins more than 0.1 s after its client has disconnected
	EffectOnce             Invariant = "effect_once"          // a non-idempotent request runs once
	KeyedScope             Invariant = "keyed_scope"          // a retry with a key stays within its deduplication scope and window
	RefusalNoEffect        Invariant = "refusal_no_effect"    // a refused request has not run
	NothingToWithdrawn     Invariant = "nothing_to_withdrawn" // no attempt begins after the drain grace of a withdrawn server
	SlowStartBudget        Invariant = "slow_start_budget"    // all agents together respect the capacity of a server in slow start
	DeadlinePassedOn       Invariant = "deadline_passed_on"   // the remaining time sent to a server is at most the client's
	StalledAnswered        Invariant = "stalled_answered"     // a client that stalls within a request gets an error or a close
	CleanStop              Invariant = "clean_stop"           // a process ends only after a signal, in time and with status 0
	ReadyInTime            Invariant = "ready_in_time"        // a started process becomes ready in time
	NoGuardViolation       Invariant = "no_guard_violation"   // no invariant check inside the program reported a violation
	ConnectedIsRead        Invariant = "connected_is_read"    // connections are accepted until 0.4 s after SIGTERM
	NothingAfterNotice     Invariant = "nothing_behind"       // no message follows a Notice of Disconnection
)

// Counts of events that are not invariants; reports list them under the same heading.
const (
	DirectoryRequests Invariant = "ldap_requests"
	FirstRequests     Invariant = "ldap_first_requests" // LDAP requests that are the first of their connection
	SentInDrain       Invariant = "sent_in_drain"       // requests of any protocol sent between SIGTERM and the process's exit
	MadeInDrain       Invariant = "made_in_drain"       // connections made between SIGTERM and the process's exit
	Crowds            Invariant = "crowds"
)

// Counts are all counts that are not invariants.
var Counts = []Invariant{DirectoryRequests, FirstRequests, SentInDrain, MadeInDrain, Crowds}

// Invariants are all invariants, in the order of reports.
var Invariants = []Invariant{OneAnswer, OwnAnswer, NothingAfterAnswer, NothingAfterDisconnect, EffectOnce, KeyedScope, RefusalNoEffect,
	NothingToWithdrawn, SlowStartBudget, DeadlinePassedOn, StalledAnswered, CleanStop, ReadyInTime, NoGuardViolation,
	ConnectedIsRead, NothingAfterNotice}

// Rules are the parameters of a check.
type Rules struct {
	Slack                   time.Duration // by how much recorded times may be off on a busy machine
	MaxPause                time.Duration // longest pause of a process between a check and its action; 0: none
	MaxLateAnswer           time.Duration // a final answer may come this long after the deadline; a later one counts as missing
	MaxStartAfterDisconnect time.Duration // an attempt may begin this long after its client has disconnected
	MaxStallTime            time.Duration // a stalled client gets its error or close within this time
	MaxStopTime             time.Duration // a process may take this long to exit after SIGTERM
	MinAcceptTime           time.Duration // a process accepts connections for this long after SIGTERM
	MinStartTime            time.Duration // a process that gets SIGTERM sooner after its start may be terminated by the signal
	MaxReadyTime            time.Duration
	DrainGrace              time.Duration
	DeadlineOver            time.Duration // the remaining time passed on may exceed the client's by this much
	Classes                 map[string]ClassRules
	Zones                   map[string]string // zone of each server
	ColdShare               float64           // share of a server's capacity at the beginning of its slow start
	RampTime                time.Duration
	FallMultiple            float64
	FallWindow              time.Duration
	Capacity                float64 // requests a second of a server after its slow start
}

// Effect specifies how a request may be retried.
type Effect int

// Effects.
const (
	Idempotent Effect = iota
	Keyed
	Once
)

// ClassRules are the rules of a class.
type ClassRules struct {
	Effect Effect
	Window time.Duration // deduplication window of a Keyed class
	Zone   bool          // of a Keyed class: the deduplication scope is the first attempt's zone; otherwise all servers
}

// Violation is a violated invariant, with the evidence.
type Violation struct {
	Invariant Invariant     `json:"invariant"`
	At        time.Duration `json:"at"`
	Agent     int           `json:"agent"`
	Request   string        `json:"request,omitempty"`
	Server    string        `json:"server,omitempty"`
	Text      string        `json:"text"`
}

// String returns the violation as the soak test prints it.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: agent %d request %q server %q: %s", v.Invariant, v.At.Seconds(), v.Agent, v.Request, v.Server, v.Text)
}

// Report is the result of a check, with how often each invariant was exercised.
type Report struct {
	Violations []Violation       `json:"violations"`
	Exercised  map[Invariant]int `json:"exercised"`
}

// checker groups the events of a history by request, agent and server.
type checker struct {
	rules    Rules
	report   Report
	requests map[string]*requestHistory
	agents   map[int][]Event // events of the agents' processes, in order
	notified map[notificationKey][]Event
	arrivals map[string][]Event // by process of a server
	starts   map[string]time.Duration

	crowds      map[int][]Event // by agent
	connections []Event
}

type notificationKey struct {
	agent  int
	server string
}

// requestHistory holds the events of one request.
type requestHistory struct {
	sent     Event
	resent   bool
	answers  []Event
	left     *Event
	ended    *Event
	arrivals []Event
}

// Check checks a history against the rules.
func Check(rules Rules, history []Event) Report {
	c := &checker{rules: rules, report: Report{Exercised: map[Invariant]int{}}, requests: map[string]*requestHistory{}, agents: map[int][]Event{},
		notified: map[notificationKey][]Event{}, arrivals: map[string][]Event{}, starts: map[string]time.Duration{}, crowds: map[int][]Event{}}
	events := slices.Clone(history)
	sort.SliceStable(events, func(i, j int) bool { return events[i].At < events[j].At })
	for _, e := range events {
		c.gather(e)
	}
	c.checkStalls(events)
	for _, id := range sortedKeys(c.requests) {
		c.checkRequest(c.requests[id])
	}
	c.checkProcesses()
	c.checkConnections()
	c.checkSlowStart()
	slices.SortStableFunc(c.report.Violations, func(a, b Violation) int { return int(a.At - b.At) })
	return c.report
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (c *checker) violated(i Invariant, at time.Duration, agent int, request, server, format string, a ...any) {
	c.report.Violations = append(c.report.Violations, Violation{i, at, agent, request, server, fmt.Sprintf(format, a...)})
}

func (c *checker) exercised(i Invariant) { c.report.Exercised[i]++ }

func (c *checker) gather(e Event) {
	r := c.requests[e.Request]
	if e.Request != "" && r == nil {
		r = &requestHistory{}
		c.requests[e.Request] = r
	}
	switch e.Kind {
	case RequestSent:
		r.sent = e
	case RequestResent:
		r.resent = true
	case AnswerRead:
		r.answers = append(r.answers, e)
	case ClientDisconnected:
		r.left = &e
	case ConnectionEnded:
		r.ended = &e
	case RequestArrived:
		r.arrivals = append(r.arrivals, e)
		key := fmt.Sprintf("%s#%d", e.Server, e.Process)
		c.arrivals[key] = append(c.arrivals[key], e)
	case StateNotified:
		k := notificationKey{e.Agent, e.Server}
		if all := c.notified[k]; e.State != Ready && len(all) > 0 && all[len(all)-1].State == Ready {
			c.exercised(NothingToWithdrawn)
		}
		c.notified[k] = append(c.notified[k], e)
		if e.Process > 0 && e.State == Ready {
			key := fmt.Sprintf("%s#%d", e.Server, e.Process)
			if _, known := c.starts[key]; !known {
				c.starts[key] = e.Began
			}
		}
	case ProcessStarted, ProcessReady, ProcessTerminated, ProcessKilled, ProcessHandedOver, ProcessHeld, ProcessExited:
		c.agents[e.Agent] = append(c.agents[e.Agent], e)
	case CrowdBegan, CrowdEnded:
		c.crowds[e.Agent] = append(c.crowds[e.Agent], e)
	case ConnectionMade, ConnectFailed, ConnectionLost:
		c.connections = append(c.connections, e)
	case NoticeRead:
		c.exercised(NothingAfterNotice)
	case AfterNotice:
		c.violated(NothingAfterNotice, e.At, e.Agent, "", "", "after a Notice of Disconnection: %q", e.Note)
	case InvariantLogged:
		c.violated(NoGuardViolation, e.At, e.Agent, "", "", "%s", e.Note)
	}
}

// pauseAllowance returns how long a process may have been paused between a check and the action that depends on it:
// by an injected write delay, by a signal, or by a machine that did not run it. Time lost to the machine adds to an
// injected pause.
func (c *checker) pauseAllowance(agent int, at time.Duration) time.Duration {
	held, waited := c.rules.MaxPause, time.Duration(0)
	for _, e := range c.agents[agent] {
		switch {
		case e.Kind != ProcessHeld || e.At > at || at > e.At+e.Left+c.rules.MaxPause+c.rules.Slack:
		case e.Note == "":
			held = max(held, e.Left)
		default:
			waited = max(waited, e.Left)
		}
	}
	return held + waited
}

// killedWithin reports whether an agent was killed within a time span.
func (c *checker) killedWithin(agent int, from, to time.Duration) bool {
	return slices.ContainsFunc(c.agents[agent], func(e Event) bool { return e.Kind == ProcessKilled && e.At >= from && e.At <= to })
}

func (c *checker) checkRequest(r *requestHistory) {
	s := r.sent
	if s.Kind == "" { // the request was not sent completely: its client stalled or disconnected within it
		return
	}
	class := c.rules.Classes[s.Class]
	c.countRequest(s)
	c.checkAnswer(r)
	if r.left != nil {
		c.exercised(NothingAfterDisconnect)
	}
	if class.Effect == Once && len(r.arrivals) > 0 {
		c.exercised(EffectOnce)
	}
	for i, a := range r.arrivals {
		c.checkArrival(r, a)
		if i > 0 {
			c.checkRetry(r, class, i)
		}
	}
}

// aliveSince returns the time of the client's last evidence that the process at the other end of the request's
// connection was alive.
func (r *requestHistory) aliveSince() time.Duration {
	if r.ended != nil && r.ended.Began > 0 {
		return min(r.sent.At, r.ended.Began)
	}
	return r.sent.At
}

// checkAnswer checks that a request has exactly one final answer.
func (c *checker) checkAnswer(r *requestHistory) {
	s, due := r.sent, r.sent.At+r.sent.Left+c.rules.MaxLateAnswer+c.rules.Slack
	c.exercised(OneAnswer)
	switch {
	case len(r.answers) > 1:
		c.violated(OneAnswer, r.answers[1].At, s.Agent, s.Request, "", "%d final answers", len(r.answers))
	case len(r.answers) == 1 && r.answers[0].At > due:
		c.violated(OneAnswer, r.answers[0].At, s.Agent, s.Request, "", "final answer came %v after the deadline", r.answers[0].At-s.At-s.Left)
	case r.ended != nil && c.crowdedAt(s.Agent, r.ended.At): // an agent without free descriptors may close a new connection unread
	case len(r.answers) == 0 && r.left == nil && !c.killedWithin(s.Agent, r.aliveSince()-c.rules.Slack, due):
		text := "no final answer"
		if r.ended != nil {
			text = "new connection was closed without an answer: " + r.ended.Note
		}
		c.violated(OneAnswer, due, s.Agent, s.Request, "", "%s", text)
	}
	for _, a := range r.answers {
		switch {
		case a.Status == 200 && !a.Broken:
			c.exercised(OwnAnswer)
			if !a.Own {
				c.violated(OwnAnswer, a.At, s.Agent, s.Request, "", "served with an answer that no server produced for it: %s", a.Note)
			}
		case a.Status == 429 || a.Status == 503:
			c.exercised(RefusalNoEffect)
			for _, x := range r.arrivals {
				if x.Ran {
					c.violated(RefusalNoEffect, a.At, s.Agent, s.Request, x.Server, "refused although it ran at %.3f s", x.At.Seconds())
				}
			}
		}
	}
}

// checkArrival checks one attempt against its request, its client and its server.
func (c *checker) checkArrival(r *requestHistory, a Event) {
	s, slack := r.sent, c.rules.Slack
	for _, answer := range r.answers {
		c.exercised(NothingAfterAnswer)
		if late := a.At - answer.At; late > slack && !c.killedWithin(s.Agent, s.At, a.At) {
			c.violated(NothingAfterAnswer, a.At, s.Agent, s.Request, a.Server, "arrived %v after its final answer (%d)", late, answer.Status)
		}
	}
	if r.left != nil && a.Began > r.left.At {
		if late := a.Began - r.left.At; late > c.rules.MaxStartAfterDisconnect+slack+c.pauseAllowance(s.Agent, a.Began) {
			c.violated(NothingAfterDisconnect, a.Began, s.Agent, s.Request, a.Server, "attempt began %v after its client had disconnected", late)
		}
	}
	c.exercised(DeadlinePassedOn)
	if over := a.Left - (s.At + s.Left - a.At); a.Left > 0 && over > max(c.rules.DeadlineOver, c.pauseAllowance(s.Agent, a.Began))+slack {
		c.violated(DeadlinePassedOn, a.At, s.Agent, s.Request, a.Server, "server was sent a remaining time of %v, the client has %v", a.Left, s.At+s.Left-a.At)
	}
	c.checkWithdrawn(s, a)
}

// checkWithdrawn checks an attempt against the states of the server of which the agent's current process was notified.
func (c *checker) checkWithdrawn(s, a Event) {
	var began time.Duration // start of the process that sent the attempt
	for _, e := range c.agents[s.Agent] {
		if e.Kind == ProcessStarted && e.At <= a.Began {
			began = e.At
		}
	}
	var last *Event
	for _, e := range c.notified[notificationKey{s.Agent, a.Server}] {
		until := a.Began
		if e.State == Ready { // a notification is recorded after its write, so the agent may already have acted on it
			until += c.rules.Slack
		}
		if e.At >= began && e.At <= until && (last == nil || (last.State == Ready) != (e.State == Ready)) {
			last = &e // the first notification of the state that applies
		}
	}
	if last == nil || last.State == Ready {
		return
	}
	if late := a.Began - last.At; late > c.rules.DrainGrace+c.rules.Slack {
		c.violated(NothingToWithdrawn, a.Began, s.Agent, s.Request, a.Server, "attempt began %v after the agent was notified that the server is %s", late, last.State)
	}
}

// checkRetry checks a further attempt against the class's rule on retries.
func (c *checker) checkRetry(r *requestHistory, class ClassRules, i int) {
	s, a := r.sent, r.arrivals[i]
	var first *Event // first attempt that may have run
	for k := range r.arrivals[:i] {
		if r.arrivals[k].Ran && first == nil {
			first = &r.arrivals[k]
		}
	}
	switch class.Effect {
	case Once:
		if first != nil {
			c.violated(EffectOnce, a.At, s.Agent, s.Request, a.Server, "sent again %v after it may have run at %s", a.At-first.At, first.Server)
		}
	case Keyed:
		if first == nil {
			return
		}
		c.exercised(KeyedScope)
		if class.Zone && c.rules.Zones[first.Server] != c.rules.Zones[a.Server] {
			c.violated(KeyedScope, a.At, s.Agent, s.Request, a.Server, "sent to zone %s, but ran first in zone %s", c.rules.Zones[a.Server], c.rules.Zones[first.Server])
		}
		if gap := a.At - first.At; gap > class.Window+c.rules.Slack {
			c.violated(KeyedScope, a.At, s.Agent, s.Request, a.Server, "sent again after %v, beyond the deduplication window of %v", gap, class.Window)
		}
	}
}

// checkStalls checks that the agent ends clients that stall within a request.
func (c *checker) checkStalls(events []Event) {
	open := map[string]Event{}
	for _, e := range events {
		switch e.Kind {
		case StallBegan:
			open[e.Note] = e
		case StallEnded:
			began, known := open[e.Note]
			if !known {
				continue
			}
			delete(open, e.Note)
			c.exercised(StalledAnswered)
			if took := e.At - began.At; took > c.rules.MaxStallTime+c.rules.Slack && !c.killedWithin(e.Agent, began.At, e.At) {
				c.violated(StalledAnswered, e.At, e.Agent, "", "", "client that stalled within a request was not answered or closed for %v", took)
			}
		}
	}
}

// checkProcesses checks that processes start and stop cleanly.
func (c *checker) checkProcesses() {
	type processEvents struct{ started, ready, terminated, killed, handedOver *Event }
	for agent, events := range c.agents {
		processes := map[int]*processEvents{}
		for _, e := range events {
			l := processes[e.Process]
			if l == nil {
				l = &processEvents{}
				processes[e.Process] = l
			}
			switch e.Kind {
			case ProcessStarted:
				l.started = &e
			case ProcessReady:
				l.ready = &e
				c.exercised(ReadyInTime)
				if l.started != nil && e.At-l.started.At > c.rules.MaxReadyTime+c.rules.Slack {
					c.violated(ReadyInTime, e.At, agent, "", "", "ready after %v", e.At-l.started.At)
				}
			case ProcessTerminated:
				l.terminated = &e
			case ProcessKilled:
				l.killed = &e
			case ProcessHandedOver:
				l.handedOver = &e
			case ProcessExited:
				c.exercised(CleanStop)
				switch terminated, killed := l.terminated, l.killed; {
				case killed != nil && terminated == nil, l.handedOver != nil && e.Status == 0:
				case terminated != nil && l.ready == nil && terminated.At-l.started.At < c.rules.MinStartTime+c.rules.Slack:
				case terminated == nil:
					c.violated(CleanStop, e.At, agent, "", "", "exited without a signal, status %d", e.Status)
				case killed != nil || e.At-terminated.At > c.rules.MaxStopTime+c.rules.Slack:
					c.violated(CleanStop, e.At, agent, "", "", "still running %v after SIGTERM", e.At-terminated.At)
				case e.Status != 0:
					c.violated(CleanStop, e.At, agent, "", "", "status %d after SIGTERM", e.Status)
				}
			}
		}
	}
}

// checkSlowStart checks that all agents together respect the budget of a server in slow start, in every window of the
// rule. With N the number of requests that the settings allow at that age, the bound is N + 2*sqrt(N) + 2, or
// N + 3*sqrt(N) + 3 if N is under 30. Only requests of agents that were notified of the server's start count.
func (c *checker) checkSlowStart() {
	for key, all := range c.arrivals {
		start, cold := c.starts[key]
		if !cold {
			continue
		}
		var window []Event
		broken := false
		for _, a := range all {
			age := a.At - start
			if age > c.rules.RampTime {
				break
			}
			if !c.notifiedOfStart(a) {
				continue
			}
			window = append(window, a)
			for window[0].At < a.At-c.rules.FallWindow {
				window = window[1:]
			}
			capacityShare := c.rules.ColdShare + (1-c.rules.ColdShare)*float64(age+c.rules.Slack)/float64(c.rules.RampTime)
			n := c.rules.FallMultiple * c.rules.Capacity * capacityShare * c.rules.FallWindow.Seconds()
			most := n + 2*math.Sqrt(n) + 2
			if n < 30 {
				most = n + 3*math.Sqrt(n) + 3
			}
			c.exercised(SlowStartBudget)
			if float64(len(window)) > most && !broken {
				broken = true
				c.violated(SlowStartBudget, a.At, -1, "", a.Server, "%d requests in %v, %v after the server's start: the bound is %.1f", len(window), c.rules.FallWindow, age, most)
			}
		}
	}
}

// notifiedOfStart reports whether the agent that sent an attempt had been notified of the server's current process.
func (c *checker) notifiedOfStart(a Event) bool {
	r := c.requests[a.Request]
	return slices.ContainsFunc(c.notified[notificationKey{r.sent.Agent, a.Server}], func(e Event) bool {
		return e.Process == a.Process && e.State == Ready && e.At <= a.Began
	})
}
