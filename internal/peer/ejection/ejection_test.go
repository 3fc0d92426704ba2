package ejection

import (
	"fmt"
	"testing"
	"time"
)

// harness is one member, "a" of ten, that hears of server s by hand.
type harness struct {
	t         *testing.T
	m         *Member
	now       time.Duration
	ejections []Ejection
	polls     []Send
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	m, err := New(Settings{Name: "a", RunID: 1}, 1)
	if err != nil {
		t.Fatal(err)
	}
	b := &harness{t: t, m: m, now: time.Hour}
	var list []Server
	for i := range 8 {
		list = append(list, Server{ID: fmt.Sprint("s", i), StartedMS: 7, Zone: "z", Pod: i % 2})
	}
	b.step(ListUpdated{"main", list}, MembersChanged{Names: []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}})
	return b
}

func (b *harness) step(events ...Event) {
	for _, a := range b.m.Step(b.now, events...) {
		switch a := a.(type) {
		case EjectionsChanged:
			b.ejections = a.Ejections
		case Send:
			if a.Message.PollNumber > 0 {
				b.polls = append(b.polls, a)
			}
		}
	}
}

// wait lets time pass, in which nothing comes.
func (b *harness) wait(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now = min(end, max(b.now+time.Millisecond, b.m.Next()))
		b.step()
	}
}

// receives has it ask, and be answered at once, by whom it asked.
func (b *harness) receives(items []Evidence, drains ...Drain) {
	b.t.Helper()
	b.polls = nil
	for len(b.polls) == 0 {
		b.wait(100 * time.Millisecond)
	}
	q := b.polls[len(b.polls)-1]
	b.step(Received{q.To, &Message{ResponseTo: q.Message.PollNumber, Evidence: items, Drains: drains}})
}

// failureReport is a member's word that s0 fails for it, and others answer.
func failureReport(origin string, number uint32) Evidence {
	return Evidence{Server: "s0", StartedMS: 7, Origin: origin, RunID: 1, Number: number, Failed: 1, ErrorResponses: 1, OtherSucceeded: 20, AgeMS: 1, LastFailureAgeMS: 1, FirstFailureAgeMS: 1, ConsecutiveFailures: 1, OtherSuccessAgeMS: 1}
}

func successReport(origin string, number uint32) Evidence {
	return Evidence{Server: "s0", StartedMS: 7, Origin: origin, RunID: 1, Number: number, Succeeded: 3, OtherSucceeded: 20, AgeMS: 1, LastSuccessAgeMS: 1, ConsecutiveSuccesses: 3, OtherSuccessAgeMS: 1}
}

func (b *harness) ejected(server string) bool {
	for _, v := range b.ejections {
		if v.Server == server && !v.Draining {
			return true
		}
	}
	return false
}

func TestRepeatedReportsOfOneMemberCountOnce(t *testing.T) {
	b := newHarness(t)
	for n := range 20 {
		b.receives([]Evidence{failureReport("b", uint32(n+1))})
	}
	if b.wait(7 * time.Second); b.ejected("s0") {
		t.Error("out by one member's word")
	}
	b.receives([]Evidence{failureReport("c", 1)})
	b.receives([]Evidence{failureReport("b", 90), failureReport("c", 2)})
	if b.wait(7 * time.Second); b.ejected("s0") {
		t.Error("out by two members' word")
	}
	b.receives([]Evidence{failureReport("b", 91), failureReport("c", 3), failureReport("d", 1)})
	if b.wait(7 * time.Second); !b.ejected("s0") {
		t.Error("not out by three members' word")
	}
}

// What comes without a word from the server may be the links' fault: with half of them cut, three voices are chance.
func TestUnresponsiveServerNeedsMoreReporters(t *testing.T) {
	mute := func(n int) []Evidence {
		var all []Evidence
		for i := range n {
			f := failureReport(string(rune('b'+i)), 1)
			f.ErrorResponses = 0
			all = append(all, f)
		}
		return all
	}
	b := newHarness(t) // of ten members
	b.receives(mute(6))
	if b.wait(7 * time.Second); b.ejected("s0") {
		t.Error("out by six of ten members' links")
	}
	b = newHarness(t)
	b.receives(mute(8))
	if b.wait(7 * time.Second); !b.ejected("s0") {
		t.Error("not out though it says nothing to eight of ten")
	}
	b = newHarness(t)
	all := mute(6)
	all[0].ErrorResponses, all[2].ErrorResponses, all[4].ErrorResponses = 1, 1, 1
	b.receives(all)
	if b.wait(7 * time.Second); !b.ejected("s0") {
		t.Error("not out though it failed three by its own word")
	}
}

// A share that is lost without a word convicts nobody, however many lose it.
func TestPartialFailureNeedsErrorResponses(t *testing.T) {
	part := func(said float32) []Evidence {
		var all []Evidence
		for i := range 8 {
			all = append(all, Evidence{Server: "s0", StartedMS: 7, Origin: string(rune('b' + i)), RunID: 1, Number: 1, Succeeded: 6, Failed: 3, ErrorResponses: said, OtherSucceeded: 50, AgeMS: 1, LastSuccessAgeMS: 1, LastFailureAgeMS: 2, FirstFailureAgeMS: 2, ConsecutiveSuccesses: 1, OtherSuccessAgeMS: 1})
		}
		return all
	}
	b := newHarness(t)
	b.receives(part(0))
	if b.wait(7 * time.Second); b.ejected("s0") {
		t.Error("out by what links lost")
	}
	b = newHarness(t)
	b.receives(part(3))
	if b.wait(7 * time.Second); !b.ejected("s0") {
		t.Error("not out though it fails a third of all alike")
	}
}

func TestMemberWithBrokenLinkReportsNoOutage(t *testing.T) {
	for name, change := range map[string]func(*Evidence){
		"no answer elsewhere since": func(i *Evidence) {
			i.OtherSuccessAgeMS, i.FirstFailureAgeMS, i.AgeMS, i.LastFailureAgeMS = 9000, 1, 1, 1
		},
		"never an answer elsewhere": func(i *Evidence) { i.OtherSuccessAgeMS, i.OtherSucceeded, i.OtherFailed = 0, 0, 20 },
		"fails elsewhere since":     func(i *Evidence) { i.OtherFailuresSince = 2 },
		"fails nearly always":       func(i *Evidence) { i.OtherSucceeded, i.OtherFailed = 1, 10 },
	} {
		b := newHarness(t)
		var all []Evidence
		for _, o := range []string{"b", "c", "d", "e", "f"} {
			i := failureReport(o, 1)
			change(&i)
			all = append(all, i)
		}
		b.receives(all)
		if b.wait(7 * time.Second); b.ejected("s0") {
			t.Errorf("%s: out all the same", name)
		}
	}
}

func TestLaterSuccessElsewherePreventsEjection(t *testing.T) {
	b := newHarness(t)
	b.receives([]Evidence{failureReport("b", 1), failureReport("c", 1), failureReport("d", 1)})
	b.now += 50 * time.Millisecond
	b.receives([]Evidence{successReport("e", 1), successReport("f", 1)})
	if b.wait(7 * time.Second); b.ejected("s0") {
		t.Error("out though it answers others since")
	}
}

func TestEvidenceIsNeverYoungerThanItSeems(t *testing.T) {
	b := newHarness(t)
	b.polls = nil
	for len(b.polls) == 0 {
		b.wait(100 * time.Millisecond)
	}
	q := b.polls[0]
	// The answer is on its way for longer than evidence lasts: not taken, whatever age it says.
	b.wait(DefaultMaxEvidenceAge + time.Second)
	b.step(Received{q.To, &Message{ResponseTo: q.Message.PollNumber, Evidence: []Evidence{failureReport("b", 1), failureReport("c", 1), failureReport("d", 1)}}})
	if b.wait(7 * time.Second); b.ejected("s0") {
		t.Error("out by an answer that was a minute late")
	}
	b.step(Received{"b", &Message{ResponseTo: 9999, Evidence: []Evidence{failureReport("b", 1), failureReport("c", 1), failureReport("d", 1)}}})
	if b.wait(7 * time.Second); b.ejected("s0") {
		t.Error("out by an answer to nothing")
	}
	old := []Evidence{failureReport("b", 1), failureReport("c", 1), failureReport("d", 1)}
	for i := range old {
		old[i].StartedMS = 6
	}
	b.receives(old)
	if b.wait(7 * time.Second); b.ejected("s0") {
		t.Error("out for what an earlier process did")
	}
}

func TestEjectionExpiresWithItsEvidence(t *testing.T) {
	b := newHarness(t)
	b.receives([]Evidence{failureReport("b", 1), failureReport("c", 1), failureReport("d", 1)})
	b.wait(7 * time.Second)
	if !b.ejected("s0") {
		t.Fatal("not out")
	}
	if until := b.ejections[0].Until; until > b.now+DefaultMaxEvidenceAge {
		t.Errorf("it holds until %v after now", until-b.now)
	}
	b.wait(DefaultMaxEvidenceAge)
	if b.ejected("s0") {
		t.Error("out for ever")
	}
	if b.receives([]Evidence{failureReport("b", 1), failureReport("c", 1)}); b.ejected("s0") {
		t.Error("out by what it was acquitted of")
	}
}

func TestMaxEjectedShareOfAZoneHolds(t *testing.T) {
	b := newHarness(t)
	var items []Evidence
	for s := range 6 {
		for _, o := range []string{"b", "c", "d"} {
			i := failureReport(o, 1)
			i.Server = fmt.Sprint("s", s)
			items = append(items, i)
		}
	}
	b.receives(items[:9])
	b.receives(items[9:])
	b.wait(7 * time.Second)
	n := 0
	for s := range 8 {
		if b.ejected(fmt.Sprint("s", s)) {
			n++
		}
	}
	if n > 4 || n < 2 { // half of eight, and of each pod's four
		t.Errorf("%d of 8 are out", n)
	}
}

func TestDrainsAreForwardedAndExpire(t *testing.T) {
	b := newHarness(t)
	b.receives(nil, Drain{Server: "s1", StartedMS: 7, State: Draining, AgeMS: 100}, Drain{Server: "s2", StartedMS: 6, State: Removed, AgeMS: 100}, Drain{Server: "s3", StartedMS: 7, State: Draining, AgeMS: uint32((DefaultMaxDrainAge + time.Second).Milliseconds())})
	if len(b.ejections) != 1 || !b.ejections[0].Draining || b.ejections[0].Server != "s1" || b.ejections[0].Until > b.now+DefaultMaxDrainAge {
		t.Fatalf("%+v", b.ejections)
	}
	if b.wait(DefaultMaxDrainAge + time.Second); len(b.ejections) != 0 {
		t.Errorf("a drain that no list confirms: %+v", b.ejections)
	}
	// What the own list says goes to others, with its age; and nothing brings it back here.
	var list []Server
	for i := range 8 {
		list = append(list, Server{ID: fmt.Sprint("s", i), StartedMS: 7, Zone: "z", Pod: i % 2})
	}
	list[4].State = Draining
	b.step(ListUpdated{"main", list})
	b.now += time.Second
	var told *Message
	for _, a := range b.m.Step(b.now, Received{"b", &Message{PollNumber: 5}}) {
		if s, ok := a.(Send); ok && s.Message.ResponseTo == 5 {
			told = s.Message
		}
	}
	if told == nil || len(told.Drains) != 1 || told.Drains[0].Server != "s4" || told.Drains[0].AgeMS < 1000 {
		t.Errorf("%+v", told)
	}
	b.receives([]Evidence{{Server: "s4", StartedMS: 7, Origin: "b", RunID: 1, Number: 1, Succeeded: 50, AgeMS: 1, LastSuccessAgeMS: 1, ConsecutiveSuccesses: 50}})
	if b.m.servers["s4"].State != Draining {
		t.Error("evidence has brought back what the list took out")
	}
}

// Members try one that is out in the same order everywhere: just so many of them.
func TestOnlyTrialMembersUseAnEjectedServer(t *testing.T) {
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprint("m", i))
	}
	use := 0
	for _, n := range names {
		m, err := New(Settings{Name: n, RunID: 1}, 1)
		if err != nil {
			t.Fatal(err)
		}
		m.names = names
		if m.mayUse(&server{Server: Server{ID: "s"}}) {
			use++
		}
	}
	if use != 3 {
		t.Errorf("%d of 40 try it", use)
	}
}
