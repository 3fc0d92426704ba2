package ejection

import (
	"fmt"
	"testing"
	"time"
)

// bench is one member, "a" of ten, that hears of server s by hand.
type bench struct {
	t      *testing.T
	m      *Member
	now    time.Duration
	judged []Ejection
	asked  []Send
}

func newBench(t *testing.T) *bench {
	t.Helper()
	m, err := New(Settings{Name: "a", RunID: 1}, 1)
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, m: m, now: time.Hour}
	var list []Server
	for i := range 8 {
		list = append(list, Server{ID: fmt.Sprint("s", i), StartedMS: 7, Zone: "z", Pod: i % 2})
	}
	b.step(ListUpdated{"main", list}, MembersChanged{Names: []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}})
	return b
}

func (b *bench) step(events ...Event) {
	for _, a := range b.m.Step(b.now, events...) {
		switch a := a.(type) {
		case EjectionsChanged:
			b.judged = a.Ejections
		case Send:
			if a.Message.PollNumber > 0 {
				b.asked = append(b.asked, a)
			}
		}
	}
}

// wait lets time pass, in which nothing comes.
func (b *bench) wait(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now = min(end, max(b.now+time.Millisecond, b.m.Next()))
		b.step()
	}
}

// hears has it ask, and be answered at once, by whom it asked.
func (b *bench) hears(items []Evidence, drains ...Drain) {
	b.t.Helper()
	b.asked = nil
	for len(b.asked) == 0 {
		b.wait(100 * time.Millisecond)
	}
	q := b.asked[len(b.asked)-1]
	b.step(Received{q.To, &Message{ResponseTo: q.Message.PollNumber, Evidence: items, Drains: drains}})
}

// fails is a member's word that s0 fails for it, and others answer.
func fails(origin string, number uint32) Evidence {
	return Evidence{Server: "s0", StartedMS: 7, Origin: origin, RunID: 1, Number: number, Failed: 1, ErrorResponses: 1, OtherSucceeded: 20, AgeMS: 1, LastFailureAgeMS: 1, FirstFailureAgeMS: 1, ConsecutiveFailures: 1, OtherSuccessAgeMS: 1}
}

func answers(origin string, number uint32) Evidence {
	return Evidence{Server: "s0", StartedMS: 7, Origin: origin, RunID: 1, Number: number, Succeeded: 3, OtherSucceeded: 20, AgeMS: 1, LastSuccessAgeMS: 1, ConsecutiveSuccesses: 3, OtherSuccessAgeMS: 1}
}

func (b *bench) out(server string) bool {
	for _, v := range b.judged {
		if v.Server == server && !v.Draining {
			return true
		}
	}
	return false
}

func TestOneVoiceHeardOftenIsOneVoice(t *testing.T) {
	b := newBench(t)
	for n := range 20 {
		b.hears([]Evidence{fails("b", uint32(n+1))})
	}
	if b.wait(7 * time.Second); b.out("s0") {
		t.Error("out by one member's word")
	}
	b.hears([]Evidence{fails("c", 1)})
	b.hears([]Evidence{fails("b", 90), fails("c", 2)})
	if b.wait(7 * time.Second); b.out("s0") {
		t.Error("out by two members' word")
	}
	b.hears([]Evidence{fails("b", 91), fails("c", 3), fails("d", 1)})
	if b.wait(7 * time.Second); !b.out("s0") {
		t.Error("not out by three members' word")
	}
}

// What comes without a word from the server may be the links' fault: with half of them cut, three voices are chance.
func TestFailuresWithoutAWordNeedMoreVoices(t *testing.T) {
	mute := func(n int) []Evidence {
		var all []Evidence
		for i := range n {
			f := fails(string(rune('b'+i)), 1)
			f.ErrorResponses = 0
			all = append(all, f)
		}
		return all
	}
	b := newBench(t) // of ten members
	b.hears(mute(6))
	if b.wait(7 * time.Second); b.out("s0") {
		t.Error("out by six of ten members' links")
	}
	b = newBench(t)
	b.hears(mute(8))
	if b.wait(7 * time.Second); !b.out("s0") {
		t.Error("not out though it says nothing to eight of ten")
	}
	b = newBench(t)
	all := mute(6)
	all[0].ErrorResponses, all[2].ErrorResponses, all[4].ErrorResponses = 1, 1, 1
	b.hears(all)
	if b.wait(7 * time.Second); !b.out("s0") {
		t.Error("not out though it failed three by its own word")
	}
}

// A share that is lost without a word convicts nobody, however many lose it.
func TestFailsInPartOnlyByItsOwnWord(t *testing.T) {
	part := func(said float32) []Evidence {
		var all []Evidence
		for i := range 8 {
			all = append(all, Evidence{Server: "s0", StartedMS: 7, Origin: string(rune('b' + i)), RunID: 1, Number: 1, Succeeded: 6, Failed: 3, ErrorResponses: said, OtherSucceeded: 50, AgeMS: 1, LastSuccessAgeMS: 1, LastFailureAgeMS: 2, FirstFailureAgeMS: 2, ConsecutiveSuccesses: 1, OtherSuccessAgeMS: 1})
		}
		return all
	}
	b := newBench(t)
	b.hears(part(0))
	if b.wait(7 * time.Second); b.out("s0") {
		t.Error("out by what links lost")
	}
	b = newBench(t)
	b.hears(part(3))
	if b.wait(7 * time.Second); !b.out("s0") {
		t.Error("not out though it fails a third of all alike")
	}
}

func TestWhoseLinkIsBrokenAccusesNobody(t *testing.T) {
	for name, change := range map[string]func(*Evidence){
		"no answer elsewhere since": func(i *Evidence) {
			i.OtherSuccessAgeMS, i.FirstFailureAgeMS, i.AgeMS, i.LastFailureAgeMS = 9000, 1, 1, 1
		},
		"never an answer elsewhere": func(i *Evidence) { i.OtherSuccessAgeMS, i.OtherSucceeded, i.OtherFailed = 0, 0, 20 },
		"fails elsewhere since":     func(i *Evidence) { i.OtherFailuresSince = 2 },
		"fails nearly always":       func(i *Evidence) { i.OtherSucceeded, i.OtherFailed = 1, 10 },
	} {
		b := newBench(t)
		var all []Evidence
		for _, o := range []string{"b", "c", "d", "e", "f"} {
			i := fails(o, 1)
			change(&i)
			all = append(all, i)
		}
		b.hears(all)
		if b.wait(7 * time.Second); b.out("s0") {
			t.Errorf("%s: out all the same", name)
		}
	}
}

func TestThoseWhomItAnswersSpeakForIt(t *testing.T) {
	b := newBench(t)
	b.hears([]Evidence{fails("b", 1), fails("c", 1), fails("d", 1)})
	b.now += 50 * time.Millisecond
	b.hears([]Evidence{answers("e", 1), answers("f", 1)})
	if b.wait(7 * time.Second); b.out("s0") {
		t.Error("out though it answers others since")
	}
}

func TestEvidenceIsNeverYoungerThanItSeems(t *testing.T) {
	b := newBench(t)
	b.asked = nil
	for len(b.asked) == 0 {
		b.wait(100 * time.Millisecond)
	}
	q := b.asked[0]
	// The answer is on its way for longer than evidence lasts: not taken, whatever age it says.
	b.wait(DefaultMaxEvidenceAge + time.Second)
	b.step(Received{q.To, &Message{ResponseTo: q.Message.PollNumber, Evidence: []Evidence{fails("b", 1), fails("c", 1), fails("d", 1)}}})
	if b.wait(7 * time.Second); b.out("s0") {
		t.Error("out by an answer that was a minute late")
	}
	b.step(Received{"b", &Message{ResponseTo: 9999, Evidence: []Evidence{fails("b", 1), fails("c", 1), fails("d", 1)}}})
	if b.wait(7 * time.Second); b.out("s0") {
		t.Error("out by an answer to nothing")
	}
	old := []Evidence{fails("b", 1), fails("c", 1), fails("d", 1)}
	for i := range old {
		old[i].StartedMS = 6
	}
	b.hears(old)
	if b.wait(7 * time.Second); b.out("s0") {
		t.Error("out for what an earlier process did")
	}
}

func TestVerdictLapsesWithItsEvidence(t *testing.T) {
	b := newBench(t)
	b.hears([]Evidence{fails("b", 1), fails("c", 1), fails("d", 1)})
	b.wait(7 * time.Second)
	if !b.out("s0") {
		t.Fatal("not out")
	}
	if until := b.judged[0].Until; until > b.now+DefaultMaxEvidenceAge {
		t.Errorf("it holds until %v after now", until-b.now)
	}
	b.wait(DefaultMaxEvidenceAge)
	if b.out("s0") {
		t.Error("out for ever")
	}
	if b.hears([]Evidence{fails("b", 1), fails("c", 1)}); b.out("s0") {
		t.Error("out by what it was acquitted of")
	}
}

func TestNoMoreThanItsShareOfAZoneIsOut(t *testing.T) {
	b := newBench(t)
	var items []Evidence
	for s := range 6 {
		for _, o := range []string{"b", "c", "d"} {
			i := fails(o, 1)
			i.Server = fmt.Sprint("s", s)
			items = append(items, i)
		}
	}
	b.hears(items[:9])
	b.hears(items[9:])
	b.wait(7 * time.Second)
	n := 0
	for s := range 8 {
		if b.out(fmt.Sprint("s", s)) {
			n++
		}
	}
	if n > 4 || n < 2 { // half of eight, and of each pod's four
		t.Errorf("%d of 8 are out", n)
	}
}

func TestDrainsAreToldOnAndLapse(t *testing.T) {
	b := newBench(t)
	b.hears(nil, Drain{Server: "s1", StartedMS: 7, State: Draining, AgeMS: 100}, Drain{Server: "s2", StartedMS: 6, State: Removed, AgeMS: 100}, Drain{Server: "s3", StartedMS: 7, State: Draining, AgeMS: uint32((DefaultMaxDrainAge + time.Second).Milliseconds())})
	if len(b.judged) != 1 || !b.judged[0].Draining || b.judged[0].Server != "s1" || b.judged[0].Until > b.now+DefaultMaxDrainAge {
		t.Fatalf("%+v", b.judged)
	}
	if b.wait(DefaultMaxDrainAge + time.Second); len(b.judged) != 0 {
		t.Errorf("a drain that no list confirms: %+v", b.judged)
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
	b.hears([]Evidence{{Server: "s4", StartedMS: 7, Origin: "b", RunID: 1, Number: 1, Succeeded: 50, AgeMS: 1, LastSuccessAgeMS: 1, ConsecutiveSuccesses: 50}})
	if b.m.servers["s4"].State != Draining {
		t.Error("evidence has brought back what the list took out")
	}
}

// Members try one that is out in the same order everywhere: just so many of them.
func TestFewTryIt(t *testing.T) {
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
