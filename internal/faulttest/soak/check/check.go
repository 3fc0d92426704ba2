package check

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"time"
)

// Invariant names what must hold.
type Invariant string

// The invariants, each with the term that it holds.
const (
	OneAnswer              Invariant = "one_answer"           // each request read has one final answer, in time
	OwnAnswer              Invariant = "own_answer"           // a served answer is one that a server made for this request
	NothingAfterAnswer     Invariant = "nothing_after_answer" // nothing is sent for a request behind its final answer
	NothingAfterDisconnect Invariant = "nothing_for_left"     // no attempt begins over 0.1 s after its client has left
	EffectOnce             Invariant = "effect_once"          // a request that is not idempotent runs once
	KeyedScope             Invariant = "keyed_scope"          // a keyed repeat keeps to its scope and window
	RefusalNoEffect        Invariant = "refusal_no_effect"    // what was refused has not run
	NothingToWithdrawn     Invariant = "nothing_to_withdrawn" // nothing new to a server past the grace after its withdrawal was told
	SlowStartBudget        Invariant = "slow_start_budget"    // a cold server gets no more than it stands, of all agents
	DeadlinePassedOn       Invariant = "deadline_passed_on"   // the deadline told to a server is at most what the client has left
	StalledAnswered        Invariant = "stalled_answered"     // a client that stops within a request gets its error or close
	CleanStop              Invariant = "clean_stop"           // a process ends by a signal alone, in time, with status 0
	ReadyInTime            Invariant = "ready_in_time"        // a process that was started takes clients
	NoGuardViolation       Invariant = "no_guard_violation"   // no guard of the program counted a violation
	ConnectedIsRead        Invariant = "connected_is_read"    // a process that serves, or ended less than 0.4 s ago, takes connections
	NothingBehind          Invariant = "nothing_behind"       // no message follows a Notice of Disconnection
)

// What is counted besides, under the same heading of a report.
const (
	DirectoryRequests Invariant = "ldap_requests"
	FirstRequests     Invariant = "ldap_first_requests" // of their connections
	SentInDrain       Invariant = "sent_in_drain"       // requests of any protocol between SIGTERM and the process's end
	MadeInDrain       Invariant = "made_in_drain"       // connections
	Crowds            Invariant = "crowds"
)

// Counts are all that is counted besides.
var Counts = []Invariant{DirectoryRequests, FirstRequests, SentInDrain, MadeInDrain, Crowds}

// Invariants are all of them, in the order of reports.
var Invariants = []Invariant{OneAnswer, OwnAnswer, NothingAfterAnswer, NothingAfterDisconnect, EffectOnce, KeyedScope, RefusalNoEffect,
	NothingToWithdrawn, SlowStartBudget, DeadlinePassedOn, StalledAnswered, CleanStop, ReadyInTime, NoGuardViolation,
	ConnectedIsRead, NothingBehind}

// Rules are the figures by which a history is checked.
type Rules struct {
	Slack                   time.Duration // by which recorded times may be off on a busy machine
	HoldUp                  time.Duration // for which a process may stand still between a look and its act; 0: nothing holds it up
	MaxLateAnswer           time.Duration // a final answer may come so long after the deadline; later it is lost
	MaxStartAfterDisconnect time.Duration // an attempt may begin so long after its client has left
	MaxStallTime            time.Duration // a stalled client has its error or close by then
	MaxStopTime             time.Duration // after SIGTERM
	MinAcceptTime           time.Duration // after SIGTERM connections are taken for so long
	MinStartTime            time.Duration // a process that gets SIGTERM sooner after its start may end by the signal
	MaxReadyTime            time.Duration
	DrainGrace              time.Duration
	DeadlineOver            time.Duration // the deadline passed on may exceed what is left by so much
	Classes                 map[string]ClassRules
	Zones                   map[string]string // of servers
	ColdShare               float64           // of a server's capacity at its start
	RampTime                time.Duration
	FallMultiple            float64
	FallWindow              time.Duration
	Capacity                float64 // of a warm server, requests a second
}

// Effect is what a repeat of a request does.
type Effect int

// Effects.
const (
	Idempotent Effect = iota
	Keyed
	Once
)

// ClassRules are a class's.
type ClassRules struct {
	Effect Effect
	Window time.Duration // of Keyed
	Zone   bool          // of Keyed: the scope is the first attempt's zone; else all servers
}

// Violation is an invariant that did not hold, with what shows it.
type Violation struct {
	Invariant Invariant     `json:"invariant"`
	At        time.Duration `json:"at"`
	Agent     int           `json:"agent"`
	Request   string        `json:"request,omitempty"`
	Server    string        `json:"server,omitempty"`
	Text      string        `json:"text"`
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: agent %d request %q server %q: %s", v.Invariant, v.At.Seconds(), v.Agent, v.Request, v.Server, v.Text)
}

// Report is what a checker found, and how often each invariant was at stake.
type Report struct {
	Violations []Violation       `json:"violations"`
	Exercised  map[Invariant]int `json:"exercised"`
}

// checker gathers what belongs together.
type checker struct {
	rules    Rules
	report   Report
	requests map[string]*requestHistory
	agents   map[int][]Event // of processes, in order
	notified map[notificationKey][]Event
	arrivals map[string][]Event // by server's process
	starts   map[string]time.Duration

	crowds      map[int][]Event // of agents
	connections []Event
}

type notificationKey struct {
	agent  int
	server string
}

// requestHistory is what happened to one request.
type requestHistory struct {
	sent     Event
	resent   bool
	answers  []Event
	left     *Event
	ended    *Event
	arrivals []Event
}

// Check reads a history.
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
		c.exercised(NothingBehind)
	case BehindNotice:
		c.violated(NothingBehind, e.At, e.Agent, "", "", "behind a Notice of Disconnection: %q", e.Note)
	case InvariantLogged:
		c.violated(NoGuardViolation, e.At, e.Agent, "", "", "%s", e.Note)
	}
}

// heldUp is how long a process may have stood still between a look and its act: by its build, by a signal, or by a machine
// that did not run it. What the machine adds to a hold comes on top of it.
func (c *checker) heldUp(agent int, at time.Duration) time.Duration {
	held, waited := c.rules.HoldUp, time.Duration(0)
	for _, e := range c.agents[agent] {
		switch {
		case e.Kind != ProcessHeld || e.At > at || at > e.At+e.Left+c.rules.HoldUp+c.rules.Slack:
		case e.Note == "":
			held = max(held, e.Left)
		default:
			waited = max(waited, e.Left)
		}
	}
	return held + waited
}

// killedBefore reports whether an agent was killed within a span.
func (c *checker) killedWithin(agent int, from, to time.Duration) bool {
	return slices.ContainsFunc(c.agents[agent], func(e Event) bool { return e.Kind == ProcessKilled && e.At >= from && e.At <= to })
}

func (c *checker) checkRequest(r *requestHistory) {
	s := r.sent
	if s.Kind == "" { // it was not sent whole: a client that stalled or left within it
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
			c.checkRepeat(r, class, i)
		}
	}
}

// aliveSince is when its client last knew that the process at the other end of its connection was alive.
func (r *requestHistory) aliveSince() time.Duration {
	if r.ended != nil && r.ended.Began > 0 {
		return min(r.sent.At, r.ended.Began)
	}
	return r.sent.At
}

// checkAnswer holds a request to its one final answer.
func (c *checker) checkAnswer(r *requestHistory) {
	s, due := r.sent, r.sent.At+r.sent.Left+c.rules.MaxLateAnswer+c.rules.Slack
	c.exercised(OneAnswer)
	switch {
	case len(r.answers) > 1:
		c.violated(OneAnswer, r.answers[1].At, s.Agent, s.Request, "", "%d final answers", len(r.answers))
	case len(r.answers) == 1 && r.answers[0].At > due:
		c.violated(OneAnswer, r.answers[0].At, s.Agent, s.Request, "", "its answer came %v after its deadline", r.answers[0].At-s.At-s.Left)
	case r.ended != nil && c.crowdedAt(s.Agent, r.ended.At): // a new connection may be shut unread then
	case len(r.answers) == 0 && r.left == nil && !c.killedWithin(s.Agent, r.aliveSince()-c.rules.Slack, due):
		text := "no final answer"
		if r.ended != nil {
			text = "its new connection was closed without an answer: " + r.ended.Note
		}
		c.violated(OneAnswer, due, s.Agent, s.Request, "", "%s", text)
	}
	for _, a := range r.answers {
		switch {
		case a.Status == 200 && !a.Broken:
			c.exercised(OwnAnswer)
			if !a.Own {
				c.violated(OwnAnswer, a.At, s.Agent, s.Request, "", "served with what no server made for it: %s", a.Note)
			}
		case a.Status == 429 || a.Status == 503:
			c.exercised(RefusalNoEffect)
			for _, x := range r.arrivals {
				if x.Ran {
					c.violated(RefusalNoEffect, a.At, s.Agent, s.Request, x.Server, "refused, though it ran at %.3f s", x.At.Seconds())
				}
			}
		}
	}
}

// checkArrival holds one attempt to what is known of its request, its client and its server.
func (c *checker) checkArrival(r *requestHistory, a Event) {
	s, slack := r.sent, c.rules.Slack
	for _, answer := range r.answers {
		c.exercised(NothingAfterAnswer)
		if late := a.At - answer.At; late > slack && !c.killedWithin(s.Agent, s.At, a.At) {
			c.violated(NothingAfterAnswer, a.At, s.Agent, s.Request, a.Server, "arrived %v after its final answer (%d)", late, answer.Status)
		}
	}
	if r.left != nil && a.Began > r.left.At {
		if late := a.Began - r.left.At; late > c.rules.MaxStartAfterDisconnect+slack+c.heldUp(s.Agent, a.Began) {
			c.violated(NothingAfterDisconnect, a.Began, s.Agent, s.Request, a.Server, "an attempt began %v after its client had left", late)
		}
	}
	c.exercised(DeadlinePassedOn)
	if over := a.Left - (s.At + s.Left - a.At); a.Left > 0 && over > max(c.rules.DeadlineOver, c.heldUp(s.Agent, a.Began))+slack {
		c.violated(DeadlinePassedOn, a.At, s.Agent, s.Request, a.Server, "told that it has %v, the client has %v", a.Left, s.At+s.Left-a.At)
	}
	c.checkWithdrawn(s, a)
}

// checkWithdrawn holds an attempt to what its agent's present process was told of the server.
func (c *checker) checkWithdrawn(s, a Event) {
	var began time.Duration // of the process that sent it
	for _, e := range c.agents[s.Agent] {
		if e.Kind == ProcessStarted && e.At <= a.Began {
			began = e.At
		}
	}
	var last *Event
	for _, e := range c.notified[notificationKey{s.Agent, a.Server}] {
		until := a.Began
		if e.State == Ready { // a word is recorded once it is written: its agent may have acted on it by then
			until += c.rules.Slack
		}
		if e.At >= began && e.At <= until && (last == nil || (last.State == Ready) != (e.State == Ready)) {
			last = &e // the first word of the state that holds
		}
	}
	if last == nil || last.State == Ready {
		return
	}
	if late := a.Began - last.At; late > c.rules.DrainGrace+c.rules.Slack {
		c.violated(NothingToWithdrawn, a.Began, s.Agent, s.Request, a.Server, "an attempt began %v after it was told %s", late, last.State)
	}
}

// checkRepeat holds a further attempt to the class's rule on repeats.
func (c *checker) checkRepeat(r *requestHistory, class ClassRules, i int) {
	s, a := r.sent, r.arrivals[i]
	var first *Event // that may have run
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
			c.violated(KeyedScope, a.At, s.Agent, s.Request, a.Server, "sent to zone %s, ran first in %s", c.rules.Zones[a.Server], c.rules.Zones[first.Server])
		}
		if gap := a.At - first.At; gap > class.Window+c.rules.Slack {
			c.violated(KeyedScope, a.At, s.Agent, s.Request, a.Server, "sent again after %v, remembered for %v", gap, class.Window)
		}
	}
}

// checkStalls holds the agent to ending clients that stop within a request.
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
				c.violated(StalledAnswered, e.At, e.Agent, "", "", "a client that stopped within a request was left for %v", took)
			}
		}
	}
}

// checkProcesses holds processes to a clean start and stop.
func (c *checker) checkProcesses() {
	type life struct{ started, ready, terminated, killed, handedOver *Event }
	for agent, events := range c.agents {
		lives := map[int]*life{}
		for _, e := range events {
			l := lives[e.Process]
			if l == nil {
				l = &life{}
				lives[e.Process] = l
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
					c.violated(CleanStop, e.At, agent, "", "", "ended by itself, status %d", e.Status)
				case killed != nil || e.At-terminated.At > c.rules.MaxStopTime+c.rules.Slack:
					c.violated(CleanStop, e.At, agent, "", "", "still there %v after SIGTERM", e.At-terminated.At)
				case e.Status != 0:
					c.violated(CleanStop, e.At, agent, "", "", "status %d after SIGTERM", e.Status)
				}
			}
		}
	}
}

// checkSlowStart holds all agents together to what a cold server stands in any window of the rule: with N what the settings
// allow it then, N + 2 roots of N + 2, under 30 N + 3 roots of N + 3. Only what agents sent that had been told counts.
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
			warmth := c.rules.ColdShare + (1-c.rules.ColdShare)*float64(age+c.rules.Slack)/float64(c.rules.RampTime)
			n := c.rules.FallMultiple * c.rules.Capacity * warmth * c.rules.FallWindow.Seconds()
			most := n + 2*math.Sqrt(n) + 2
			if n < 30 {
				most = n + 3*math.Sqrt(n) + 3
			}
			c.exercised(SlowStartBudget)
			if float64(len(window)) > most && !broken {
				broken = true
				c.violated(SlowStartBudget, a.At, -1, "", a.Server, "%d requests in %v, %v after its start: it stands %.1f", len(window), c.rules.FallWindow, age, most)
			}
		}
	}
}

// notifiedOfStart reports whether an arrival's agent had been told of the server's present process.
func (c *checker) notifiedOfStart(a Event) bool {
	r := c.requests[a.Request]
	return slices.ContainsFunc(c.notified[notificationKey{r.sent.Agent, a.Server}], func(e Event) bool {
		return e.Process == a.Process && e.State == Ready && e.At <= a.Began
	})
}
