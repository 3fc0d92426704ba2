package decide

// The files named under policy in deploy/balancer.toml hold every choice that a balancer makes.
// Its interface (settings, events, actions) is in api.go, its records in state.go, the form of
// messages to peers in message.go. Reading order: here constants and event dispatch (Step); then
// pick.go, retry.go (with the repeat rule), health.go, cold.go, list.go, peers.go; and finish.go,
// which alone starts attempts and ends requests, and checks the four rules.

import (
	"cmp"
	"time"
)

// Constants are dimensionless; every scale comes from the settings or from what is observed.
const (
	bucketCap     = 100.0 // retry tokens at the most: a quiet balancer funds 20 retries at once, not 100
	retryCost     = 5.0   // tokens for a retry ...
	timeoutCost   = 10.0  // ... and for one after a time-out, which may mean a deeper trouble
	successRefill = 1.0   // tokens that a served attempt brings back

	backoffUnit    = 1.0 / 32 // of the class's aim: a one-second unit would outlast most aims
	backoffCeiling = 8.0      // the longest backoff, in units

	smooth       = 0.1  // weight of a new sample in a running mean, about the last 20 samples
	priorSamples = 2.0  // answers that the mean of all counts for in a backend's slowness at the start
	slowBound    = 8.0  // one sample says at most that a backend is so many times slower than the mean
	strikeHeal   = 0.25 // strikes that a served attempt takes back: one error in five keeps them growing
	strikeCap    = 5.0  // longest ejection is 2^(cap-1) times the first
	errsApart    = 3.0  // standard deviations above the others' error rate that strike a backend
	errsMost     = 0.25 // most that one of those counts for: it may be a failing one itself
	strikesBias  = 0.1  // chance of an idle backend that has not healed yet
	meetAgain    = 0.5  // longest aims within which an agent means to meet a backend again
	widthLeast   = 3    // idle backends at least among which a choice is made
	scanMost     = 64   // backends that are all looked at for a choice; of more, some are drawn
	sampleMost   = 48   // draws at the most
	crossBias    = 0.25 // chance of an idle backend in another zone, if crossing is priced
	heavy        = 2.0  // a cold backend gets no request of more than so many times the mean work

	aimedDelay   = 0.35  // mean latency, as a share of the aim, above which less is kept in flight
	aimedThin    = 0.26  // the least that a thin agent aims at: hundreds of them can't see one server fill up
	aimedStretch = 1.3   // or so many times the work that clients tell, as a share of the aim ...
	aimedMost    = 0.6   // ... up to here
	alone        = 1.5   // a server that tells of fewer in hand had one at the most: reports are noisy
	limitCut     = 0.9   // one cut of the in-flight limit
	limitGrow    = 0.7   // and its growth, in attempts per backend for each round of answers
	thinPart     = 3.0   // an even part of the limit below this is kept by credit, not by counting
	thinBurst    = 4.0   // mean requests that may go out ahead of the credit
	thinMost     = 2.0   // what a first try brings at most, in its own work: retries need some too
	startPerBack = 6.0   // in-flight limit at the start, for all agents together per backend
	floorPerBack = 4.0   // and the least it falls to: less would leave cores idle
	floorCrowd   = 3.0   // the same where agents outnumber backends: a few of them may meet at any one
	restoredMost = 60.0  // a limit of more, left by another balancer, is not believed
	backCap      = 3.0   // no backend holds more than so many mean shares of the limit
	holdMargin   = 2.0   // a held request leaves when fewer than so many mean latencies remain to its aim
	holdAtMost   = 0.75  // of the aim; a request may always be held for the rest of it
	headShare    = 0.25  // part of the limit that is shared out by head count, the rest by traffic
	tellFan      = 8     // peers told each time: all at a small site, as many at random at a large one
	tellMissed   = 4.0   // a peer that misses so many tells has stopped; one never heard counts as a mean one
	passEvery    = 2     // outcomes for each message with notes: half the price of one a request
	notesKept    = 96    // about two messages' worth
	silentNotes  = 8     // time-outs in a row, here or told by peers, that are taken for silence
	overdueAt    = 0.6   // of the aim: an attempt out for so long is overdue
	overdueCost  = 3.0   // or this many times the expected latency, if that is later
	lateSlow     = 3.0   // slowness that an overdue attempt counts for
	leftJitter   = 0.004 // of the aim: remaining times of one length differ by so much, with no tick too
	leftApart    = 8     // double jitters: a last try seldom comes nearer to the usual length
	leftSure     = 20    // votes from which that length is believed, those of ten tries; half of the most
	repeatValue  = 0.1   // value of a client's repeat against a first try: most of its aim has passed

	reportEvery  = 50 * time.Millisecond // between two reports that something lacked a right
	returnWithin = time.Second           // what a right counts over: it may be free again by then
	thinProbe    = 2 * time.Second       // without an attempt; 4 s of refusals alone count as out of service
)

// Step takes what has happened by now, in order, and returns what to do.
func (b *Balancer) Step(now time.Duration, events []Event) []Action {
	b.now, b.actions = max(now, b.now), nil
	b.measure()
	if b.s.Peers && b.tellToken == 0 {
		b.tellToken = b.alarm(time.Duration(b.rng.Float64() * float64(b.period)))
	}
	for _, e := range events {
		switch e := e.(type) {
		case Request:
			b.onRequest(e)
		case Outcome:
			b.onOutcome(e)
		case TimerFired:
			b.onTimer(e.Token)
		case ListUpdate:
			b.onList(e)
			b.measure()
		case BackendDisabled:
			b.onBan(e)
			b.measure()
		case FleetSize:
			b.onFleet(e)
		case Ejections:
			b.onVerdicts(e)
			b.measure()
		case SharedLimits:
			b.book.SetLimits(e.Limits)
		case LeasesGranted:
			b.book.SetLeases(b.now, e.Leases)
			b.reported = 0
		case PeerMessage:
			b.onPeer(e)
		case UploadCompleted:
			b.onUploaded(e)
		case ResponseStarted:
			b.onStream(e)
		case RequestCancelled:
			if r := b.requests[e.Request]; r != nil {
				b.close(r)
			}
		}
	}
	b.releaseHeld()
	if !b.book.Empty() && (b.reported == 0 || b.book.Active() && b.now-b.reported >= reportEvery) {
		b.reported = b.now
		b.actions = append(b.actions, LeaseUsage{b.book.Usages(b.now)})
	}
	return b.actions
}

func (b *Balancer) onRequest(e Request) {
	if e.Class < 0 || e.Class >= len(b.classes) || b.requests[e.ID] != nil {
		return
	}
	c := &b.classes[e.Class]
	r := &request{
		id:       e.ID,
		class:    e.Class,
		aim:      b.now + min(c.Objective, e.Remaining),
		half:     b.now + e.Remaining/2,
		deadline: b.now + e.Remaining,
		repeat:   e.ClientRetry,
		only:     e.OnlyBackend,
		upload:   e.Upload,
	}
	if b.lateTry(c, e) {
		r.repeat, r.aim = true, r.aim-max(0, c.Deadline-e.Remaining)
	}
	if r.work = float64(e.Work); r.work > 0 {
		c.work = blend(c.work, r.work)
	}
	for i := range b.classes { // decay by arrivals: the last few hundred requests count
		b.classes[i].arrived *= 1 - smooth/20
		b.classes[i].answered *= 1 - smooth/20
	}
	c.arrived++
	b.firstAt = cmp.Or(b.firstAt, b.now)
	b.requests[e.ID] = r
	if !r.repeat {
		b.demand += b.expected(r)
		b.earn(r)
	}
	if t := b.byID[r.only]; r.only != "" && (t == nil || t.State != Up) {
		b.finish(r, NoBackend) // no other may have it, and waiting brings nothing
		return
	}
	b.hold(r)
}

// lateTry infers a client's repeat from its remaining time. Clients give their tries one usual length, the
// last one all that is left: where most come with one, another tells how long ago its client began. Where
// callers hand down what is left of their own time, lengths are spread about the usual one, and tell
// nothing. Departure: so it is found by a majority vote (Boyer and Moore). A last try follows one of that
// length at least, so those weigh double; one near it, as clients seldom tell, begins the vote anew. It
// could hurt where first tries come in two lengths far apart.
func (b *Balancer) lateTry(c *classState, e Request) bool {
	jitter, off := max(b.s.Tick, time.Duration(leftJitter*float64(c.Objective)), 1), e.Remaining-c.usual
	apart := max(off, -off) / (2 * jitter)
	switch {
	case e.ClientRetry: // marked as one: no evidence of what first tries come with
	case apart == 0:
		c.votes, c.usual = min(c.votes+2, 2*leftSure), c.usual+off/8
	case c.votes == 0 || apart < leftApart:
		c.votes, c.usual = 2, e.Remaining
	default:
		c.votes--
	}
	return apart > 0 && c.votes >= leftSure
}

// out is an attempt that is out, with its request; nil: there is none.
func (b *Balancer) out(id string, n int) (*request, *attempt) {
	r := b.requests[id]
	if r == nil || n < 0 || n >= len(r.attempts) || !r.attempts[n].open {
		return nil, nil
	}
	return r, r.attempts[n]
}

func (b *Balancer) onUploaded(e UploadCompleted) {
	if r, a := b.out(e.Request, e.Attempt); r != nil && r.upload {
		c := &b.classes[r.class]
		r.upload = false
		r.aim = b.now + min(c.Objective, e.Remaining)
		r.deadline = b.now + e.Remaining
		r.half = b.now + e.Remaining/2
		b.takeUp(r, a)
	}
}

func (b *Balancer) onStream(e ResponseStarted) {
	r, a := b.out(e.Request, e.Attempt)
	if r == nil || r.ended {
		return
	}
	if r.stream = true; e.Completed && a.load {
		b.served(r, a, Outcome{Result: OK, Latency: e.Latency})
		b.putDown(a)
	}
}

// served counts a success, as soon as it is one.
func (b *Balancer) served(r *request, a *attempt, e Outcome) {
	b.observe(r, a, e)
	b.tokens = min(bucketCap, b.tokens+successRefill)
	if b.now <= r.aim {
		b.classes[r.class].answered++
	}
}

func (b *Balancer) onOutcome(e Outcome) {
	r, a := b.out(e.Request, e.Attempt)
	if r == nil {
		return
	}
	streamed := r.stream && !a.load // its success was counted when its answer began
	a.open, r.spent = false, r.spent || e.NotReplayable
	b.book.Release(b.now, a.rights, e.Dialed)
	r.open--
	b.putDown(a)
	if e.Result.NeverRan() {
		if r.risky--; r.risky == 0 {
			r.anchor = nil
		}
	}
	switch {
	case e.Result == OK && streamed:
	case e.Result == OK && !r.ended:
		b.served(r, a, e)
	default:
		b.observe(r, a, e)
	}
	if b.outcomes++; b.notesOn() && b.outcomes%passEvery == 0 {
		b.message(b.notes, 1+b.rng.IntN(b.s.Balancers-1))
	}
	if e.Answered || e.Result == OK || r.ended {
		b.close(r)
		return
	}
	r.failed = a.b
	if r.open == 0 && !r.waiting && !r.holding {
		b.retry(r, e.Result)
	}
}

func (b *Balancer) onTimer(token int64) {
	a, r := b.watched[token], b.timers[token]
	delete(b.watched, token)
	delete(b.timers, token)
	switch {
	case token == 0:
	case token == b.askToken:
		b.askToken = 0
		b.actions = append(b.actions, Subscribe{})
	case token == b.tellToken:
		b.tell()
	case a != nil:
		b.overdue(a)
	case r != nil && !r.ended && token == r.timer:
		r.timer = 0 // a held one may be due later by now: it must get another, or it is lost
		if r.waiting {
			r.waiting = false
			b.hold(r)
		}
	}
}

func (b *Balancer) timer(r *request, at time.Duration) {
	r.timer = b.alarm(at - b.now)
	b.timers[r.timer] = r
}

func (b *Balancer) alarm(wait time.Duration) int64 {
	b.token++
	b.actions = append(b.actions, SetTimer{After: wait, Token: b.token})
	return b.token
}
