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
	judged []Verdict
	asked  []Send
}

func newBench(t *testing.T) *bench {
	t.Helper()
	m, err := New(Settings{Name: "a", Life: 1}, 1)
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, m: m, now: time.Hour}
	var list []Server
	for i := range 8 {
		list = append(list, Server{ID: fmt.Sprint("s", i), Start: 7, Zone: "z", Pod: i % 2})
	}
	b.step(Listed{"main", list}, Members{Names: []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}})
	return b
}

func (b *bench) step(events ...Event) {
	for _, a := range b.m.Step(b.now, events...) {
		switch a := a.(type) {
		case Judged:
			b.judged = a.All
		case Send:
			if a.Message.Ask > 0 {
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
func (b *bench) hears(items []Item, drains ...Drain) {
	b.t.Helper()
	b.asked = nil
	for len(b.asked) == 0 {
		b.wait(100 * time.Millisecond)
	}
	q := b.asked[len(b.asked)-1]
	b.step(Heard{q.To, &Message{Answer: q.Message.Ask, Items: items, Drains: drains}})
}

// fails is a member's word that s0 fails for it, and others answer.
func fails(origin string, number uint32) Item {
	return Item{Server: "s0", Start: 7, Origin: origin, Life: 1, Number: number, Bad: 1, Said: 1, ElseOK: 20, Age: 1, LastBad: 1, Began: 1, Streak: 1, Works: 1}
}

func answers(origin string, number uint32) Item {
	return Item{Server: "s0", Start: 7, Origin: origin, Life: 1, Number: number, OK: 3, ElseOK: 20, Age: 1, LastOK: 1, Run: 3, Works: 1}
}

func (b *bench) out(server string) bool {
	for _, v := range b.judged {
		if v.Server == server && !v.Drain {
			return true
		}
	}
	return false
}

func TestOneVoiceHeardOftenIsOneVoice(t *testing.T) {
	b := newBench(t)
	for n := range 20 {
		b.hears([]Item{fails("b", uint32(n+1))})
	}
	if b.wait(7 * time.Second); b.out("s0") {
		t.Error("out by one member's word")
	}
	b.hears([]Item{fails("c", 1)})
	b.hears([]Item{fails("b", 90), fails("c", 2)})
	if b.wait(7 * time.Second); b.out("s0") {
		t.Error("out by two members' word")
	}
	b.hears([]Item{fails("b", 91), fails("c", 3), fails("d", 1)})
	if b.wait(7 * time.Second); !b.out("s0") {
		t.Error("not out by three members' word")
	}
}

// What comes without a word from the server may be the links' fault: with half of them cut, three voices are chance.
func TestFailuresWithoutAWordNeedMoreVoices(t *testing.T) {
	mute := func(n int) []Item {
		var all []Item
		for i := range n {
			f := fails(string(rune('b'+i)), 1)
			f.Said = 0
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
	all[0].Said, all[2].Said, all[4].Said = 1, 1, 1
	b.hears(all)
	if b.wait(7 * time.Second); !b.out("s0") {
		t.Error("not out though it failed three by its own word")
	}
}

// A share that is lost without a word convicts nobody, however many lose it.
func TestFailsInPartOnlyByItsOwnWord(t *testing.T) {
	part := func(said float32) []Item {
		var all []Item
		for i := range 8 {
			all = append(all, Item{Server: "s0", Start: 7, Origin: string(rune('b' + i)), Life: 1, Number: 1, OK: 6, Bad: 3, Said: said, ElseOK: 50, Age: 1, LastOK: 1, LastBad: 2, Began: 2, Run: 1, Works: 1})
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
	for name, change := range map[string]func(*Item){
		"no answer elsewhere since": func(i *Item) { i.Works, i.Began, i.Age, i.LastBad = 9000, 1, 1, 1 },
		"never an answer elsewhere": func(i *Item) { i.Works, i.ElseOK, i.ElseBad = 0, 0, 20 },
		"fails elsewhere since":     func(i *Item) { i.Since = 2 },
		"fails nearly always":       func(i *Item) { i.ElseOK, i.ElseBad = 1, 10 },
	} {
		b := newBench(t)
		var all []Item
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
	b.hears([]Item{fails("b", 1), fails("c", 1), fails("d", 1)})
	b.now += 50 * time.Millisecond
	b.hears([]Item{answers("e", 1), answers("f", 1)})
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
	b.wait(Age + time.Second)
	b.step(Heard{q.To, &Message{Answer: q.Message.Ask, Items: []Item{fails("b", 1), fails("c", 1), fails("d", 1)}}})
	if b.wait(7 * time.Second); b.out("s0") {
		t.Error("out by an answer that was a minute late")
	}
	b.step(Heard{"b", &Message{Answer: 9999, Items: []Item{fails("b", 1), fails("c", 1), fails("d", 1)}}})
	if b.wait(7 * time.Second); b.out("s0") {
		t.Error("out by an answer to nothing")
	}
	old := []Item{fails("b", 1), fails("c", 1), fails("d", 1)}
	for i := range old {
		old[i].Start = 6
	}
	b.hears(old)
	if b.wait(7 * time.Second); b.out("s0") {
		t.Error("out for what an earlier process did")
	}
}

func TestVerdictLapsesWithItsEvidence(t *testing.T) {
	b := newBench(t)
	b.hears([]Item{fails("b", 1), fails("c", 1), fails("d", 1)})
	b.wait(7 * time.Second)
	if !b.out("s0") {
		t.Fatal("not out")
	}
	if until := b.judged[0].Until; until > b.now+Age {
		t.Errorf("it holds until %v after now", until-b.now)
	}
	b.wait(Age)
	if b.out("s0") {
		t.Error("out for ever")
	}
	if b.hears([]Item{fails("b", 1), fails("c", 1)}); b.out("s0") {
		t.Error("out by what it was acquitted of")
	}
}

func TestNoMoreThanItsShareOfAZoneIsOut(t *testing.T) {
	b := newBench(t)
	var items []Item
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
	b.hears(nil, Drain{Server: "s1", Start: 7, State: Draining, Age: 100}, Drain{Server: "s2", Start: 6, State: Gone, Age: 100}, Drain{Server: "s3", Start: 7, State: Draining, Age: uint32((Drains + time.Second).Milliseconds())})
	if len(b.judged) != 1 || !b.judged[0].Drain || b.judged[0].Server != "s1" || b.judged[0].Until > b.now+Drains {
		t.Fatalf("%+v", b.judged)
	}
	if b.wait(Drains + time.Second); len(b.judged) != 0 {
		t.Errorf("a drain that no list confirms: %+v", b.judged)
	}
	// What the own list says goes to others, with its age; and nothing brings it back here.
	var list []Server
	for i := range 8 {
		list = append(list, Server{ID: fmt.Sprint("s", i), Start: 7, Zone: "z", Pod: i % 2})
	}
	list[4].State = Draining
	b.step(Listed{"main", list})
	b.now += time.Second
	var told *Message
	for _, a := range b.m.Step(b.now, Heard{"b", &Message{Ask: 5}}) {
		if s, ok := a.(Send); ok && s.Message.Answer == 5 {
			told = s.Message
		}
	}
	if told == nil || len(told.Drains) != 1 || told.Drains[0].Server != "s4" || told.Drains[0].Age < 1000 {
		t.Errorf("%+v", told)
	}
	b.hears([]Item{{Server: "s4", Start: 7, Origin: "b", Life: 1, Number: 1, OK: 50, Age: 1, LastOK: 1, Run: 50}})
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
		m, err := New(Settings{Name: n, Life: 1}, 1)
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
