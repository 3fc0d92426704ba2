package lease

import (
	"slices"
	"testing"
	"time"

	"vetchhaven/decide/quota"
)

func settings(figure int, c quota.Kind, keepers ...string) Settings {
	return Settings{Servers: keepers, MaxAttemptTime: time.Second, Limits: []Limit{{Limit: quota.Limit{Name: "l", Kind: c, Class: -1, Zone: -1, Cell: -1}, Total: figure, Hard: true}}}
}

// bench is one keeper, past its start, and questions to it.
type bench struct {
	t   *testing.T
	s   Settings
	k   *Server
	now time.Duration
	seq uint64
}

func newBench(t *testing.T, s Settings) *bench {
	t.Helper()
	k, err := NewServer(s, "k", 7)
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
	return b.asked(&Request{From: from, RunID: 1, Fingerprint: b.k.s.Fingerprint(), Seq: b.seq, ServerRunID: b.k.life,
		Items: []RequestItem{{Agent: 1, Fingerprint: b.k.limits[0].print, Need: need, Desired: need, LastGrant: have, Used: used}}})
}

func (b *bench) asked(a *Request) (amount int, number uint64) {
	g := b.k.HandleRequest(b.now, a)
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
	b := newBench(t, settings(10, quota.Requests, "k"))
	_, n := b.ask("x", 10, 0, 0)
	late := &Request{From: "x", RunID: 1, Fingerprint: b.k.s.Fingerprint(), Seq: b.seq, ServerRunID: 7, Items: []RequestItem{{Agent: 1, Fingerprint: b.k.limits[0].print, LastGrant: n}}}
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
	for _, c := range []quota.Kind{quota.InFlight, quota.Requests} {
		s := settings(10, c, "k")
		k, _ := NewServer(s, "k", 7)
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
	next, _ := NewServer(b.s, "k", 99)
	if !next.Resume(5*time.Second, st) || next.life != 7 {
		t.Fatal("not taken over")
	}
	n := &bench{t: t, s: b.s, k: next, now: 5 * time.Second, seq: 100}
	if got, _ := n.ask("y", 10, 0, 0); got != 10-has {
		t.Errorf("the successor lends %d beside %d", got, has)
	}
	lower := b.s
	lower.Limits = slices.Clone(b.s.Limits)
	lower.Limits[0].Total = 5
	changed, _ := NewServer(lower, "k", 7)
	changed.TakeOver(b.k)
	c := &bench{t: t, s: lower, k: changed, now: b.now, seq: 100}
	if got, _ := c.ask("y", 10, 0, 0); got != 0 {
		t.Errorf("of a figure lowered to 5 it lends %d beside 8", got)
	}
	other := b.s
	other.Servers = []string{"k", "m"}
	moved, _ := NewServer(other, "k", 7)
	moved.TakeOver(b.k)
	m := &bench{t: t, s: other, k: moved, now: b.now, seq: 100}
	if got, _ := m.ask("y", 10, 0, 0); got != 0 {
		t.Errorf("with other keepers it lends %d at once", got)
	}
	// With a shorter term than that for which it lent: not before the longer one is over.
	long := b.k.s.lent(quota.InFlight)
	short := b.s
	short.Term = DefaultTerm / 2
	quick, _ := NewServer(short, "k", 7)
	quick.TakeOver(b.k)
	q := &bench{t: t, s: short, k: quick, now: b.now, seq: 100}
	for end := b.now + long; q.now < end; q.now += 100 * time.Millisecond {
		if got, _ := q.ask("y", 10, 0, 0); got != 0 {
			t.Fatalf("with a shorter term it lends %d, %v before what it lent has lapsed", got, end-q.now)
		}
	}
}

func TestEveryHolderHasATurn(t *testing.T) {
	b := newBench(t, settings(2, quota.Requests, "k"))
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
func holding(t *testing.T, s Settings) (*Client, *quota.Ledger) {
	t.Helper()
	h, err := NewClient(s, "x", 5)
	if err != nil {
		t.Fatal(err)
	}
	h.AddAgent(time.Hour, 1)
	b := &quota.Ledger{}
	b.SetLimits([]quota.Limit{s.Limits[0].Limit})
	return h, b
}

func TestHolderTakesNoAnswerThatIsOldOrDoubled(t *testing.T) {
	h, b := holding(t, settings(10, quota.Requests, "k"))
	now := time.Hour
	asks, _ := h.Requests(now)
	first := asks[0]
	grant := func(seq, number uint64, amount int) *Grant {
		return &Grant{From: "k", RunID: 7, Seq: seq, Items: []GrantItem{{Agent: 1, Fingerprint: first.Items[0].Fingerprint, Number: number, Amount: amount}}}
	}
	now += 2 * time.Second
	asks, _ = h.Requests(now)
	given := h.HandleGrant(now, 0, grant(asks[0].Seq, 2, 3))
	if len(given) != 1 || given[0].Leases[0].Amount != 3 || given[0].Leases[0].Expires != now+DefaultTerm {
		t.Fatalf("%+v", given)
	}
	b.SetLeases(now, given[0].Leases)
	h.ReportUsage(now, 1, b.Usages(now))
	for name, g := range map[string]*Grant{"older": grant(first.Seq, 1, 9), "doubled": grant(asks[0].Seq, 3, 9), "to nothing": grant(77, 4, 9)} {
		if got := h.HandleGrant(now, 0, g); len(got) > 0 {
			t.Errorf("%s: %+v", name, got)
		}
	}
	now += 2 * time.Second
	asks, _ = h.Requests(now)
	if i := asks[0].Items[0]; i.LastGrant != 2 {
		t.Errorf("it says that it goes by %d", i.LastGrant)
	}
	if asks, _ := h.RemoveAgent(now, 1); len(asks) != 1 || asks[0].Items[0].LastGrant != over {
		t.Errorf("%+v", asks)
	}
	h.ReportUsage(now, 1, nil)
	if len(h.Agents()) > 0 {
		t.Error("an agent that has ended is asked for again")
	}
}

func TestBoundsAreAsTheFormulasSay(t *testing.T) {
	s := settings(100, quota.Requests, "a", "b", "c")
	b := s.Bounds(s.Limits[0], 10)
	if b.Max != 100 || b.IsolatedAmount != 0 || !slices.Equal(b.Shares, []int{34, 33, 33}) {
		t.Errorf("hard: %+v", b)
	}
	s.Limits[0].Hard = false
	b = s.Bounds(s.Limits[0], 10)
	// Lent: 34 + 8, 33 + 8, 33 + 8; floors: 100 x 0.25 / 10 = 2 each.
	if b.MaxLeased != 124 || b.IsolatedAmount != 2 || b.Max != 144 {
		t.Errorf("soft: %+v", b)
	}
	b = s.Bounds(s.Limits[0], 100) // a quarter of one a second each
	if b.IsolatedAmount != 1 || b.IsolatedSpan < 4*time.Second {
		t.Errorf("soft, many: %+v", b)
	}
	for _, bad := range []Settings{{}, {Servers: []string{"a"}, Term: time.Millisecond}, settings(0, 0, "a"), {Servers: []string{"a"}, ClockDrift: 0.9}} {
		if _, err := NewClient(bad, "x", 1); err == nil {
			t.Errorf("%+v is taken", bad)
		}
	}
}
