package ejection

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// ejectionState is how a server stands.
type ejectionState struct {
	out                  bool
	reason               string
	reporters            []string
	ejectedAt            time.Duration // out since
	readmittingSince     time.Duration // it answers those that try it; 0: it does not
	ejections            int           // convicted, not long ago
	lastEjection         time.Duration
	unresponsive         bool          // most that accuse it had no word from it
	suspectedAt          time.Duration // there are voices enough against it since; 0: there are not
	confirmationPolledAt time.Duration // and when that was last
	failuresBegan        time.Duration // the first of those that accuse it now began to
	suspicionBegan       time.Duration // and of those that did when it became suspected
	contradicted         bool          // somebody has had an answer since then
	responders           []string      // who has answered a question about it since then; if it is silent, only if it sent something to it since they began to
	failureShare         float64       // of its requests that failed, by all voices
	trialRank            int           // this member's in the order in which members may use it ...
	trialRankEpoch       int           // ... by the members of that number
	capped               bool          // it would be out, but too many are
	evidenceVoidUntil    time.Duration // what spoke against it until then counts no more
}

const (
	ejectionQuorum           = 3                      // members whose own evidence a verdict needs, or all others where there are fewer
	unresponsiveQuorum       = 10                     // ... where the server said nothing itself: with half of the members cut off, so many fail on end by chance once in 1,024, and others are asked besides
	minFailureShareExcess    = 0.3                    // an accuser's share of failures there, above its share elsewhere
	minOtherSuccesses        = 2                      // answers elsewhere, lately, without which nobody accuses
	maxChanceLikelihood      = 0.05                   // failures of all accusers are no likelier than this, by how each fares elsewhere
	minFailureProbability    = 0.02                   // no member is so lucky elsewhere that one failure says more than this
	maxCountedFailures       = 3                      // failures of one member on end count no more
	linkProofGrace           = time.Second            // an answer elsewhere so long before the failures still speaks for its link
	corroborationWait        = 700 * time.Millisecond // for so long others may speak for it before it is out ...
	fastReporters            = 6                      // ... or, with so many against it ...
	fastCorroborationWait    = 250 * time.Millisecond // ... for so long
	minPartialShare          = 0.15                   // share of failures from which a server fails in part ...
	minPartialFailures       = 8                      // ... with so many of them
	minPartialRequests       = 5                      // requests of one member that tell whether it fails for all or for some
	minPartialReporters      = 4                      // members with so many requests, at the least, that have to see it alike
	minResponses             = 6                      // answers of others without which a verdict waits ...
	maxResponseWait          = 5 * time.Second        // ... for so long at the most
	pollRetryInterval        = 400 * time.Millisecond // between two rounds of witnesses while it waits for answers
	minResponsesUnresponsive = 12                     // the same where the server said nothing: of half that are cut off so many are asked once in 4,096 times
	awaitedRoundTrips        = 3                      // questions and answers that a verdict waits for, besides
	maxTrialMembers          = 3                      // members that try one that is out
	minSuccessRun            = 3                      // answers on end with which it begins to come back; twice as many each time
	maxSuccessRun            = 48
	readmissionDoubling      = time.Second           // twice as many members use it each time
	evaluationGrid           = 50 * time.Millisecond // servers that are looked at again are looked at together
	ejectionMemory           = 2 * time.Minute
)

// evaluate looks anew at the servers about which something is said, and tells own agents what has changed. It costs
// nothing for the others, however many there are.
func (m *Member) evaluate() {
	m.evaluationDue, m.evaluateAt, m.lastEvaluation = false, 0, m.now
	for _, s := range m.active {
		if s.needsEvaluation || s.evaluateAt > 0 && m.now >= s.evaluateAt {
			s.needsEvaluation, s.evaluateAt = false, 0
			m.evaluateServer(s)
			s.anomalous = s.isAnomalous(m)
		}
	}
	held := m.overCap()
	var all []Ejection
	rest := m.active[:0]
	for _, s := range m.active {
		if s.forgetIfQuiet(m) {
			s.active, s.anomalous = false, false
			continue
		}
		rest = append(rest, s)
		if s.evaluateAt > 0 { // others were looked at meanwhile
			m.evaluateBy(s.evaluateAt)
		}
		if at := s.drainedAt; at > 0 && s.State == Up && m.now-at <= m.settings.MaxDrainAge {
			all = append(all, Ejection{s.ID, s.StartedMS, true, at + m.settings.MaxDrainAge})
			m.evaluateBy(at + m.settings.MaxDrainAge + 1)
		}
		was := s.capped
		s.capped = s.out && held[s.ID]
		if s.capped && !was {
			m.counts.Capped++
		}
		if s.out && !s.capped && !m.mayUse(s) {
			all = append(all, Ejection{s.ID, s.StartedMS, false, s.evidenceExpires(m)})
		}
	}
	clear(m.active[len(rest):])
	m.active = rest
	if !slices.EqualFunc(all, m.announced, func(a, b Ejection) bool {
		return a.Server == b.Server && a.StartedMS == b.StartedMS && a.Draining == b.Draining && a.Until-b.Until < time.Second && b.Until-a.Until < time.Second
	}) {
		m.announced = all
		m.emit(EjectionsChanged{all})
	}
}

// forgetIfQuiet reports whether nothing is said about a server any more; what was is dropped.
func (s *server) forgetIfQuiet(m *Member) bool {
	if s.needsEvaluation || s.evaluateAt > 0 || s.out || s.drainedAt > 0 && m.now-s.drainedAt <= m.settings.MaxDrainAge {
		return false
	}
	if slices.ContainsFunc(s.reports, func(v *report) bool { return m.now-v.observedAt <= m.settings.MaxEvidenceAge }) {
		return false
	}
	s.reports = nil
	return true
}

// evaluateBy has judge called by then.
func (m *Member) evaluateBy(at time.Duration) {
	if m.evaluateAt == 0 || at < m.evaluateAt {
		m.evaluateAt = at
	}
}

// evidenceExpires is when a verdict lapses for want of new evidence.
func (s *server) evidenceExpires(m *Member) time.Duration {
	newest := time.Duration(0)
	for _, v := range s.reports {
		if v.startedMS == s.StartedMS {
			newest = max(newest, v.lastFailure)
		}
	}
	return newest + m.settings.MaxEvidenceAge
}

// currentReports are the voices that count.
func (s *server) currentReports(m *Member) []*report {
	var all []*report
	for _, v := range s.reports {
		if v.startedMS == s.StartedMS && m.now-v.observedAt <= m.settings.MaxEvidenceAge && v.successes+v.failures > 0 && v.observedAt > s.evidenceVoidUntil {
			all = append(all, v)
		}
	}
	return all
}

func failureShare(bad, ok float64) float64 { return bad / max(bad+ok, 1e-9) }

// reportsOutage reports whether a member's own evidence is against a server: its last requests there failed, and its link
// works, since another server has answered it lately and no two have failed it after that.
func (v *report) reportsOutage() bool {
	return v.failing() && v.otherSuccessAt > 0 && v.otherSuccessAt >= v.failingSince-linkProofGrace && v.otherFailuresSince < 2
}

// logLikelihood is the logarithm of how likely its failures on end are, by how it fares elsewhere.
func (v *report) logLikelihood() float64 {
	p := max(failureShare(v.otherFailures, v.otherSuccesses), minFailureProbability)
	if v.otherFailuresSince > 0 {
		p = max(p, 0.5)
	}
	return math.Log(p) * float64(min(v.consecutiveFailures, maxCountedFailures))
}

// provesServerFault reports whether most of a member's failures there were said by the server itself. A link can't have made these;
// where nothing came back, it may have.
func (v *report) provesServerFault() bool {
	return v.errorResponses > 0 && 2*v.errorResponses >= v.failures
}

// failing reports whether a member's last word of a server is a failure.
func (v *report) failing() bool {
	return v.consecutiveFailures > 0 && v.lastFailure > 0 && v.lastSuccess <= v.failingSince
}

// failsPartly reports whether it fails there far oftener than elsewhere, if not always.
func (v *report) failsPartly() bool {
	return v.failures >= 0.5 && v.otherSuccesses >= minOtherSuccesses && failureShare(v.failures, v.successes)-failureShare(v.otherFailures, v.otherSuccesses) >= minFailureShareExcess
}

// evaluateServer looks at one server.
func (m *Member) evaluateServer(s *server) {
	if s.State == Removed || len(s.reports) == 0 && !s.out {
		s.ejectionState = ejectionState{evidenceVoidUntil: s.evidenceVoidUntil, trialRank: s.trialRank, trialRankEpoch: s.trialRankEpoch}
		return
	}
	voices := s.currentReports(m)
	if s.out {
		m.evaluateEjected(s, voices)
		return
	}
	if s.ejections > 0 && m.now-s.lastEjection > ejectionMemory {
		s.ejections = 0
	}
	by, why, wait := m.detect(s, voices)
	if by == nil {
		s.suspectedAt = 0
		return
	}
	if s.suspectedAt > 0 && s.unresponsive && s.contradicted { // it is asked anew
		s.suspectedAt = 0
	}
	if s.suspectedAt == 0 {
		s.suspectedAt, s.responders, s.confirmationPolledAt, s.suspicionBegan, s.contradicted = m.now, nil, m.now, s.failuresBegan, false
		n := confirmationPolls
		if s.unresponsive {
			n = confirmationPollsUnresponsive
		}
		m.sendPolls(m.randomCorroborators(n, s.source), &Message{About: []Incarnation{{s.ID, s.StartedMS}}, OwnOnly: s.unresponsive})
	}
	if at := s.suspectedAt + wait + awaitedRoundTrips*m.roundTrip; m.now < at { // who is asked has to be heard
		s.scheduleEvaluation(m, at)
		return
	}
	few := min(minResponses, len(m.subscriberNames(s))-1)
	if s.unresponsive {
		few = min(minResponsesUnresponsive, len(m.subscriberNames(s))-1)
	}
	if len(s.responders) < few && m.now < s.suspectedAt+maxResponseWait {
		if m.now-s.confirmationPolledAt >= pollRetryInterval { // answers were lost, or are late
			s.confirmationPolledAt = m.now
			m.sendPolls(m.randomCorroborators(confirmationPolls, s.source), &Message{About: []Incarnation{{s.ID, s.StartedMS}}, OwnOnly: s.unresponsive})
		}
		s.scheduleEvaluation(m, m.now)
		return
	}
	s.needsEvaluation = true
	s.out, s.reason, s.reporters, s.ejectedAt, s.readmittingSince, s.suspectedAt = true, why, by, m.now, 0, 0
	s.ejections++
	s.lastEjection = m.now
	s.baseline.discardRecent(m.now)
	m.counts.Ejected++
	m.emit(Log{fmt.Sprintf("server %s is out: %s, by %s", s.ID, why, strings.Join(by, ", "))})
	m.noteUpdate()
	s.scheduleEvaluation(m, m.now+readmissionDoubling/4)
}

// recordCorroboration takes what a member itself saw of a server that is suspected. It counts if it has sent something to it since
// the first of those that accuse it began to; with an answer since then, the suspicion is over.
func (s *server) recordCorroboration(name string, made, lastOK time.Duration) {
	if made <= s.suspicionBegan || slices.Contains(s.responders, name) {
		return
	}
	s.responders = append(s.responders, name)
	s.contradicted = s.contradicted || lastOK > s.suspicionBegan
}

// scheduleEvaluation has a server looked at by then.
func (s *server) scheduleEvaluation(m *Member, at time.Duration) {
	s.evaluateAt = at + evaluationGrid - at%evaluationGrid
	m.evaluateBy(s.evaluateAt)
}

// requiredReporters is how many voices a verdict needs.
func (m *Member) requiredReporters(s *server) int {
	return max(2, min(ejectionQuorum, len(m.subscriberNames(s))-1))
}

// requiredUnresponsiveReporters is how many it needs where the server said nothing itself: more than half of the members cut off from it would be.
func (m *Member) requiredUnresponsiveReporters(s *server) int {
	return m.unresponsiveReportersOf(len(m.subscriberNames(s)))
}

func (m *Member) unresponsiveReportersOf(members int) int {
	return max(2, min(ejectionQuorum, members-1), min(unresponsiveQuorum, (2*members+2)/3))
}

// detect says by whose evidence, and for what, a server should be out, and how long that should be left to those who
// can speak for it; nil: it should not.
func (m *Member) detect(s *server, voices []*report) (by []string, why string, wait time.Duration) {
	var part []*report
	ok, bad, said, elseOK, elseBad := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, v := range voices {
		if v.otherSuccesses < minOtherSuccesses {
			continue
		}
		ok, bad, said, elseOK, elseBad = ok+v.successes, bad+v.failures, said+v.errorResponses, elseOK+v.otherSuccesses, elseBad+v.otherFailures
		if v.errorResponses >= 0.5 && failureShare(v.failures, v.successes) > failureShare(v.otherFailures, v.otherSuccesses) {
			part = append(part, v)
		}
	}
	s.failureShare = failureShare(bad, ok)
	names := func(all []*report) []string {
		var out []string
		for _, v := range all {
			out = append(out, v.origin)
		}
		slices.Sort(out)
		return out
	}
	if dead, alive := s.outrightReporters(m, voices, m.requiredReporters(s), m.requiredUnresponsiveReporters(s)); len(dead) > 0 {
		enough := min(fastReporters, max(m.requiredReporters(s), len(m.subscriberNames(s))-1))
		proved := 0
		for _, v := range dead {
			proved += countIf(v.provesServerFault())
		}
		s.unresponsive, s.failuresBegan = proved < m.requiredReporters(s), m.now
		for _, v := range dead {
			s.failuresBegan = min(s.failuresBegan, v.failingSince)
		}
		switch wait = corroborationWait; {
		case len(dead) >= enough:
			wait = fastCorroborationWait
		case len(voices) < enough: // news is scarce
			wait = 2 * corroborationWait
		}
		return names(dead), fmt.Sprintf("fails for %d members, answers %d", len(dead), alive), wait
	}
	// It fails in part, by its own word: for about all alike, not for some always and for others never, which is a link.
	// What was lost without a word is a link's fault for all that can be known.
	if 2*said < bad || len(part) < m.requiredReporters(s) || s.failureShare < max(minPartialShare, 2*failureShare(elseBad, elseOK)+0.05) || bad < minPartialFailures {
		return nil, "", 0
	}
	seen, alike := 0, 0
	for _, v := range voices {
		if v.successes+v.failures < minPartialRequests || v.otherSuccesses < minOtherSuccesses {
			continue
		}
		if seen++; failureShare(v.failures, v.successes) >= s.failureShare/3 && failureShare(v.failures, v.successes) <= 1-(1-s.failureShare)/3 {
			alike++
		}
	}
	if seen < min(minPartialReporters, len(m.subscriberNames(s))-1) || 5*alike < 4*seen {
		return nil, "", 0
	}
	s.unresponsive, s.failuresBegan = false, 0
	return names(part), fmt.Sprintf("fails %.0f%% of its requests", 100*s.failureShare), 2 * corroborationWait
}

// outrightReporters are the members for which a server fails outright: the most of them, newest first and at least so many, such
// that since the first of these began to fail nobody is known to have had an answer. Least have to prove that it is the
// server that fails, or so many more have to say so that it can't be their links.
func (s *server) outrightReporters(m *Member, voices []*report, least, mute int) (dead []*report, alive int) {
	var all []*report
	for _, v := range voices {
		if v.reportsOutage() {
			all = append(all, v)
		}
	}
	slices.SortStableFunc(all, func(a, b *report) int { return cmp.Compare(b.failingSince, a.failingSince) })
	for n := len(all); n >= least; n-- {
		proved := 0
		for _, v := range all[:n] {
			proved += countIf(v.provesServerFault())
		}
		if proved < least && (n < mute || !m.independentLocalities(s, all[:n])) {
			break
		}
		from, alive := all[n-1].failingSince, 0
		for _, v := range voices {
			if !v.failing() && v.lastSuccess > from {
				alive++
			}
		}
		luck := 0.0
		for _, v := range all[:n] {
			luck += v.logLikelihood()
		}
		if alive == 0 && luck <= math.Log(maxChanceLikelihood) {
			return all[:n], alive
		}
	}
	return nil, 0
}

func countIf(b bool) int {
	if b {
		return 1
	}
	return 0
}

// evaluateEjected looks at one that is out: it comes back once it answers those that try it, to twice as many members each
// second, and begins anew with a failure. Without any evidence left it is free.
func (m *Member) evaluateEjected(s *server, voices []*report) {
	if s.evidenceExpires(m) <= m.now {
		m.counts.Expired++
		m.emit(Log{fmt.Sprintf("server %s is free again: nobody has seen it fail for %v", s.ID, m.settings.MaxEvidenceAge)})
		s.readmit(m.now)
		return
	}
	s.scheduleEvaluation(m, min(s.evidenceExpires(m)+1, m.now+readmissionDoubling/4))
	runs, again := 0, 0
	for _, v := range voices {
		if v.lastSuccess > s.ejectedAt {
			runs += v.successRun
		}
		if s.readmittingSince > 0 && v.lastFailure > s.readmittingSince && v.successRun == 0 && failureShare(v.failures, v.successes) > 0.1 {
			again += min(v.consecutiveFailures, 2)
		}
	}
	need := min(minSuccessRun<<min(s.ejections-1, 10), maxSuccessRun)
	switch {
	case again >= 2: // one is chance
		s.readmittingSince, s.ejectedAt = 0, m.now
		s.ejections++
		s.lastEjection = m.now
	case s.readmittingSince == 0 && runs >= need:
		s.readmittingSince = m.now
		m.emit(Log{fmt.Sprintf("server %s answers again: it comes back by and by", s.ID)})
	}
	if s.readmittingSince > 0 && m.admittedShare(s) >= 1 {
		m.counts.Readmitted++
		m.emit(Log{fmt.Sprintf("server %s is back", s.ID)})
		s.readmit(m.now)
	}
}

// readmit ends a verdict. What spoke against it is forgotten: it takes new evidence to have it out again.
func (s *server) readmit(now time.Duration) {
	s.out, s.reason, s.reporters, s.readmittingSince, s.suspectedAt = false, "", nil, 0, 0
	s.reports, s.evidenceVoidUntil = nil, now
	s.own.failures, s.own.successes, s.own.errorResponses = 0, 0, 0
}

func (m *Member) trialMembers(s *server) int {
	return max(1, min(maxTrialMembers, len(m.subscriberNames(s))/8))
}

// admittedShare is the share of the members that may use one that is out.
func (m *Member) admittedShare(s *server) float64 {
	few := float64(m.trialMembers(s)) / float64(max(1, len(m.subscriberNames(s))))
	if s.readmittingSince == 0 {
		return min(few, 0.99)
	}
	return few * math.Exp2(float64(m.now-s.readmittingSince)/float64(readmissionDoubling))
}

// mayUse reports whether this member may: the first few, in an order that is each server's own and the same for all.
func (m *Member) mayUse(s *server) bool {
	if s.trialRankEpoch != m.membershipEpoch { // who is there has changed
		mine := rendezvousRank(m.settings.Name, s.ID)
		s.trialRank, s.trialRankEpoch = 0, m.membershipEpoch
		for _, n := range m.subscriberNames(s) {
			if n != m.settings.Name && rendezvousRank(n, s.ID) < mine {
				s.trialRank++
			}
		}
	}
	before := s.trialRank
	all := len(m.subscriberNames(s))
	return float64(before) < max(float64(m.trialMembers(s)), m.admittedShare(s)*float64(all)) && before < max(1, all-1) || all <= 1
}

// overCap are the servers that would be out, and are not since too many of their zone or pod are: the worst stay out, and
// of these the ones that are out for longer.
func (m *Member) overCap() map[string]bool {
	var outs []*server
	for _, s := range m.active {
		if s.out && s.State == Up {
			outs = append(outs, s)
		}
	}
	slices.SortStableFunc(outs, func(a, b *server) int {
		return cmp.Or(cmp.Compare(b.failureShare, a.failureShare), cmp.Compare(a.ejectedAt, b.ejectedAt), cmp.Compare(a.ID, b.ID))
	})
	held := map[string]bool{}
	taken := make([]int, len(m.upServers))
	for _, s := range outs {
		for _, g := range s.failureDomains {
			most := int(m.settings.MaxEjectedShare * float64(m.upServers[g]))
			if most == 0 && m.upServers[g] > 1 {
				most = 1
			}
			if taken[g] >= most {
				held[s.ID] = true
			}
		}
		if !held[s.ID] {
			for _, g := range s.failureDomains {
				taken[g]++
			}
		}
	}
	return held
}

// ServerStatus is how a server stands, for operators.
type ServerStatus struct {
	Server            string        `json:"server"`
	State             string        `json:"verdict"` // out, accused, drains, gone
	Reason            string        `json:"why,omitempty"`
	Reporters         []string      `json:"by,omitempty"` // whose evidence
	Duration          time.Duration `json:"for_ns"`
	AdmittedShare     float64       `json:"used_by"` // share of members that may use it now
	Followed          bool          `json:"followed"`
	NotFollowedReason string        `json:"not_followed_for,omitempty"`
	Succeeded         float64       `json:"answered"` // by all voices known here, faded
	Failed            float64       `json:"failed"`
}

// Status is all servers about which something is said.
func (m *Member) Status() []ServerStatus {
	var all []ServerStatus
	for _, s := range m.active {
		if !s.hasOpenReports(m) {
			continue
		}
		one := ServerStatus{Server: s.ID, State: "accused", AdmittedShare: 1, Reason: s.reason, Reporters: s.reporters}
		for _, v := range s.currentReports(m) {
			one.Succeeded, one.Failed = one.Succeeded+v.successes, one.Failed+v.failures
			if !s.out && (v.reportsOutage() || v.failsPartly()) {
				one.Reporters = append(one.Reporters, v.origin)
			}
		}
		switch {
		case s.out:
			one.State, one.Duration, one.AdmittedShare, one.Followed = "out", m.now-s.ejectedAt, min(1, m.admittedShare(s)), true
			if s.capped {
				one.Followed, one.NotFollowedReason = false, "too many of its zone or pod are out"
			} else if m.mayUse(s) {
				one.Followed, one.NotFollowedReason = false, "this member tries it for the fleet"
			}
		case s.drainedAt > 0 && m.now-s.drainedAt <= m.settings.MaxDrainAge:
			one.State, one.Duration, one.Followed = [...]string{"", "drains", "gone"}[s.drainState], m.now-s.drainedAt, s.State == Up
			if s.State != Up {
				one.NotFollowedReason = "its own list says so"
			}
		}
		all = append(all, one)
	}
	return all
}
