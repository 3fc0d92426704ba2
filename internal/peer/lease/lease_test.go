package lease

import (
	"slices"
	"testing"
	"time"

	"vetchhaven/decide/quota"
)

func settings(figure int, c quota.Counts, keepers ...string) Settings {
	return Settings{Keepers: keepers, Longest: time.Second, Limits: []Limit{{Limit: quota.Limit{Name: "l", Counts: c, Class: -1, Zone: -1, Cell: -1}, Figure: figure, Hard: true}}}
}

// bench is one keeper, past its start, and questions to it.
type bench struct {
	t   *testing.T
	s   Settings
	k   *Keeper
	now time.Duration
	seq uint64
}

func newBench(t *testing.T, s Settings) *bench {
	t.Helper()
	k, err := NewKeeper(s, "k", 7)
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, s: s, k: k, now: time.Hour}
	k.Tick(b.now)
	for range 20 {
		b.now += time.Second
		k.Tick(b.now)
	}
	return b
}

// ask is what a holder gets, and the number of its grant.
func (b *bench) ask(from string, need int, have uint64, used int) (amount int, number uint64) {
	b.t.Helper()
	b.seq++
	return b.asked(&Ask{From: from, Life: 1, Print: b.k.s.Print(), Seq: b.seq, Keeper: b.k.life,
		Items: []AskItem{{Agent: 1, Print: b.k.limits[0].print, Need: need, Want: need, Have: have, Used: used}}})
}

func (b *bench) asked(a *Ask) (amount int, number uint64) {
	g := b.k.Asked(b.now, a)
	if g == nil || len(g.Items) == 0 {
		return 0, 0
	}
	return g.Items[0].Amount, g.Items[0].Number
}

func TestSmallerRightCountsUntilItIsTaken(t *testing.T) {
	b := newBench(t, settings(10, quota.InFlight, "k"))
	first, n := b.ask("x", 10, 0, 0)
	if first != 10 {
		t.Fatalf("%d of 10", first)
	}
	b.ask("x", 2, n, 9)
	if got, _ := b.ask("y", 10, 0, 0); got != 0 {
		t.Errorf("y has %d while x may go by 10", got)
	}
	_, n = b.ask("x", 2, n, 9)
	b.ask("x", 2, n, 9) // took the smaller one, with nine in flight
	if got, _ := b.ask("y", 10, 0, 0); got != 1 {
		t.Errorf("y has %d beside nine in flight", got)
	}
	_, n = b.ask("x", 2, n, 3)
	b.ask("x", 2, n, 2)
	if got, _ := b.ask("y", 10, 0, 0); got < 7 {
		t.Errorf("y has %d beside two in flight", got)
	}
}

func TestNothingIsLentTwiceAfterAnOldQuestion(t *testing.T) {
	b := newBench(t, settings(10, quota.PerSecond, "k"))
	_, n := b.ask("x", 10, 0, 0)
	late := &Ask{From: "x", Life: 1, Print: b.k.s.Print(), Seq: b.seq, Keeper: 7, Items: []AskItem{{Agent: 1, Print: b.k.limits[0].print, Have: n}}}
	_, n = b.ask("x", 0, n, 0)
	b.ask("x", 0, n, 10) // ten have begun, and it goes by none any more
	b.asked(late)        // from before they began, and on its way until now
	if got, _ := b.ask("y", 10, 0, 0); got != 0 {
		t.Errorf("y has %d within a second of ten", got)
	}
	b.now += 1300 * time.Millisecond
	b.ask("x", 0, n, 0)
	if got, _ := b.ask("y", 10, 0, 0); got != 10 {
		t.Errorf("y has %d once the second is over", got)
	}
}

func TestKeeperLendsNothingUntilOthersHaveLapsed(t *testing.T) {
	for _, c := range []quota.Counts{quota.InFlight, quota.PerSecond} {
		s := settings(10, c, "k")
		k, _ := NewKeeper(s, "k", 7)
		b := &bench{t: t, s: s, k: k, now: time.Hour}
		lent := k.s.lent(c)
		k.Tick(b.now)
		for end := b.now + lent; b.now < end; b.now += 100 * time.Millisecond {
			if got, _ := b.ask("x", 5, 0, 0); got != 0 {
				t.Fatalf("%v: lent %v before the end of what another life may have lent", c, end-b.now)
			}
		}
		if got, _ := b.ask("x", 5, 0, 0); got < 5 {
			t.Errorf("%v: %d after that", c, got)
		}
		b.now += k.s.Term // it did not run for as long: another may have its name, and lend
		if got, _ := b.ask("y", 5, 0, 0); got != 0 {
			t.Errorf("%v: lent %d after a pause", c, got)
		}
	}
}

func TestSilentHoldersRightsComeBack(t *testing.T) {
	b := newBench(t, settings(10, quota.InFlight, "k"))
	b.ask("x", 10, 0, 0)
	end := b.now + b.k.s.lent(quota.InFlight)
	for ; b.now < end-50*time.Millisecond; b.now += 100 * time.Millisecond {
		if got, _ := b.ask("y", 10, 0, 0); got != 0 {
			t.Fatalf("y has %d, %v before x's right is over for certain", got, end-b.now)
		}
	}
	b.now = end + 50*time.Millisecond
	if got, _ := b.ask("y", 10, 0, 0); got != 10 {
		t.Errorf("%d after it", got)
	}
}

func TestSuccessorsLendNothingTwice(t *testing.T) {
	b := newBench(t, settings(10, quota.InFlight, "k"))
	has, _ := b.ask("x", 8, 0, 0)
	st := b.k.State(b.now)
	next, _ := NewKeeper(b.s, "k", 99)
	if !next.Resume(5*time.Second, st) || next.life != 7 {
		t.Fatal("not taken over")
	}
	n := &bench{t: t, s: b.s, k: next, now: 5 * time.Second, seq: 100}
	if got, _ := n.ask("y", 10, 0, 0); got != 10-has {
		t.Errorf("the successor lends %d beside %d", got, has)
	}
	lower := b.s
	lower.Limits = slices.Clone(b.s.Limits)
	lower.Limits[0].Figure = 5
	changed, _ := NewKeeper(lower, "k", 7)
	changed.Follow(b.k)
	c := &bench{t: t, s: lower, k: changed, now: b.now, seq: 100}
	if got, _ := c.ask("y", 10, 0, 0); got != 0 {
		t.Errorf("of a figure lowered to 5 it lends %d beside 8", got)
	}
	other := b.s
	other.Keepers = []string{"k", "m"}
	moved, _ := NewKeeper(other, "k", 7)
	moved.Follow(b.k)
	m := &bench{t: t, s: other, k: moved, now: b.now, seq: 100}
	if got, _ := m.ask("y", 10, 0, 0); got != 0 {
		t.Errorf("with other keepers it lends %d at once", got)
	}
	// With a shorter term than that for which it lent: not before the longer one is over.
	long := b.k.s.lent(quota.InFlight)
	short := b.s
	short.Term = Term / 2
	quick, _ := NewKeeper(short, "k", 7)
	quick.Follow(b.k)
	q := &bench{t: t, s: short, k: quick, now: b.now, seq: 100}
	for end := b.now + long; q.now < end; q.now += 100 * time.Millisecond {
		if got, _ := q.ask("y", 10, 0, 0); got != 0 {
			t.Fatalf("with a shorter term it lends %d, %v before what it lent has lapsed", got, end-q.now)
		}
	}
}

func TestEveryHolderHasATurn(t *testing.T) {
	b := newBench(t, settings(2, quota.PerSecond, "k"))
	have := map[string]uint64{}
	had := map[string]int{}
	for range 400 {
		for _, who := range []string{"a", "b", "c", "d", "e"} {
			got, n := b.ask(who, 1, have[who], 0)
			have[who] = n
			had[who] += got
		}
		b.now += 250 * time.Millisecond
	}
	for _, who := range []string{"a", "b", "c", "d", "e"} {
		if had[who] == 0 {
			t.Errorf("%s never had a right: %v", who, had)
		}
	}
}

// holding is a holder with one agent, its book, and keepers that answer by hand.
func holding(t *testing.T, s Settings) (*Holder, *quota.Book) {
	t.Helper()
	h, err := NewHolder(s, "x", 5)
	if err != nil {
		t.Fatal(err)
	}
	h.Join(time.Hour, 1)
	b := &quota.Book{}
	b.Set([]quota.Limit{s.Limits[0].Limit})
	return h, b
}

func TestHolderTakesNoAnswerThatIsOldOrDoubled(t *testing.T) {
	h, b := holding(t, settings(10, quota.PerSecond, "k"))
	now := time.Hour
	asks, _ := h.Asks(now)
	first := asks[0]
	grant := func(seq, number uint64, amount int) *Grant {
		return &Grant{From: "k", Life: 7, Seq: seq, Items: []GrantItem{{Agent: 1, Print: first.Items[0].Print, Number: number, Amount: amount}}}
	}
	now += 2 * time.Second
	asks, _ = h.Asks(now)
	given := h.Granted(now, 0, grant(asks[0].Seq, 2, 3))
	if len(given) != 1 || given[0].Rights[0].Amount != 3 || given[0].Rights[0].Until != now+Term {
		t.Fatalf("%+v", given)
	}
	b.Grant(now, given[0].Rights)
	h.Held(now, 1, b.Holdings(now))
	for name, g := range map[string]*Grant{"older": grant(first.Seq, 1, 9), "doubled": grant(asks[0].Seq, 3, 9), "to nothing": grant(77, 4, 9)} {
		if got := h.Granted(now, 0, g); len(got) > 0 {
			t.Errorf("%s: %+v", name, got)
		}
	}
	now += 2 * time.Second
	asks, _ = h.Asks(now)
	if i := asks[0].Items[0]; i.Have != 2 {
		t.Errorf("it says that it goes by %d", i.Have)
	}
	if asks, _ := h.Gone(now, 1); len(asks) != 1 || asks[0].Items[0].Have != over {
		t.Errorf("%+v", asks)
	}
	h.Held(now, 1, nil)
	if len(h.Agents()) > 0 {
		t.Error("an agent that has ended is asked for again")
	}
}

func TestBoundsAreAsTheFormulasSay(t *testing.T) {
	s := settings(100, quota.PerSecond, "a", "b", "c")
	b := s.Bound(s.Limits[0], 10)
	if b.Most != 100 || b.AloneIs != 0 || !slices.Equal(b.Parts, []int{34, 33, 33}) {
		t.Errorf("hard: %+v", b)
	}
	s.Limits[0].Hard = false
	b = s.Bound(s.Limits[0], 10)
	// Lent: 34 + 8, 33 + 8, 33 + 8; floors: 100 x 0.25 / 10 = 2 each.
	if b.Lent != 124 || b.AloneIs != 2 || b.Most != 144 {
		t.Errorf("soft: %+v", b)
	}
	b = s.Bound(s.Limits[0], 100) // a quarter of one a second each
	if b.AloneIs != 1 || b.AloneFor < 4*time.Second {
		t.Errorf("soft, many: %+v", b)
	}
	for _, bad := range []Settings{{}, {Keepers: []string{"a"}, Term: time.Millisecond}, settings(0, 0, "a"), {Keepers: []string{"a"}, Drift: 0.9}} {
		if _, err := NewHolder(bad, "x", 1); err == nil {
			t.Errorf("%+v is taken", bad)
		}
	}
}
