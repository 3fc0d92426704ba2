// Package leasesim plays keepers and holders of shared limits in virtual time, among links that break, delay and double,
// processes that pause, crash and start again without memory, and clocks that go at different rates; and beside them
// other ways of sharing a limit, for comparison. The truth is counted outside of all of them: what is in flight, and
// what has begun within a second, by true time.
package leasesim

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"vetchhaven/decide/quota"
	"vetchhaven/internal/eventqueue"
	"vetchhaven/internal/peer/lease"
)

// Way is how a limit is shared.
type Way uint8

// The ways, the first of which is the one that is used.
const (
	Keepers Way = iota // parts, each lent by a keeper
	Leader             // one keeper has all
	Quorum             // three keepers have all, and a right is one that two of them have lent
	Static             // an even share for each, for ever
	Gossip             // no rights: each tells all what it uses, four times a second, and goes by what it heard
	Escrow             // rights without a term, passed from agent to agent
	Ways
)

func (w Way) String() string {
	return [...]string{"keepers", "one leader", "quorum", "static", "gossip", "escrow"}[w]
}

// Options say what to play.
type Options struct {
	Seed    uint64
	Way     Way
	Holders int
	Keepers int // the first holders
	Figure  int
	Counts  quota.Kind
	Soft    bool
	Length  time.Duration
	Demand  func(holder int, now time.Duration) float64 // requests a second wanted
	Lasts   time.Duration                               // mean of a request in flight; the longest is four times that
	Faults  bool
	Every   time.Duration // mean time between two of them; default 700 ms
	Rates   float64       // clocks go at rates from 1-Rates to 1+Rates; Settings.Drift is the default
	Cut     []int         // holders that hear only one another from Cut0 to Cut1
	Cut0    time.Duration
	Cut1    time.Duration
	From    time.Duration // service counts from here: keepers that start lend nothing for a while
	// Size is what a question or an answer takes on the wire; nil: about so much. Sent hears of each, and Took of each that
	// arrives; nil: nobody.
	Size       func(from string, message any) int
	Sent, Took func(now time.Duration, member, bytes int)
	Path       func(from, to int, now time.Duration) (lost float64, late time.Duration) // besides 1 to 10 ms; nil: nothing
	Down       []Down
}

// Down is members that are not there for a while, and start anew at once.
type Down struct {
	Members    []int
	Start, End time.Duration
}

// Result is what happened by true time.
type Result struct {
	Most     int     // in flight, or in a second, at the most
	Over     int     // times that it went over the figure
	Bound    int     // what it may reach, by the settings
	Served   float64 // share of what was wanted, or of what the limit allows if that is less
	Wanted   int
	Begun    int
	Near     int // times that a begin found nine tenths of the figure or more in use
	Grants   int
	Crashes  int
	Pauses   int
	Messages int
	Bytes    int
	Each     [][]int // begun by each holder in each tenth of a second
}

const agent = 1 // each holder has one

type member struct {
	n       int
	rate    float64
	offset  time.Duration
	h       []*lease.Client // one; of a quorum one for each keeper
	book    []*quota.Ledger
	k       *lease.Server
	life    uint64
	paused  bool
	dead    bool // and what comes for it is lost
	running int
	recent  []time.Duration
	heard   []int // gossip: what each last told
	tokens  int   // escrow
	nextAsk time.Duration
}

type world struct {
	o       Options
	s       lease.Settings
	rng     *rand.Rand
	now     time.Duration
	agenda  eventqueue.Queue
	members []*member
	down    map[[2]int]bool // links, by from and to
	flight  int
	begun   []time.Duration // in the last second, by true time
	r       Result
	allowed float64
}

// Play plays it to its end.
func Play(o Options) (*Result, error) {
	w := &world{o: o, rng: rand.New(rand.NewPCG(o.Seed, 21)), down: map[[2]int]bool{}}
	w.s = lease.Settings{MaxAttemptTime: 4 * o.Lasts,
		Limits: []lease.Limit{{Limit: quota.Limit{Name: "l", Kind: o.Counts, Class: -1, Zone: -1, Cell: -1}, Total: o.Figure, Hard: !o.Soft}}}
	switch o.Way {
	case Leader:
		w.o.Keepers = 1
	case Quorum:
		w.o.Keepers = 3
	}
	for k := range w.o.Keepers {
		w.s.Servers = append(w.s.Servers, name(k))
	}
	w.r.Bound = w.s.Bounds(w.s.Limits[0], o.Holders).Max
	for n := range o.Holders {
		m := &member{n: n, rate: 1 + o.Rates*(2*w.rng.Float64()-1), offset: time.Duration(w.rng.Float64() * float64(time.Hour)), tokens: lease.GrantorShare(o.Figure, n, o.Holders)}
		if o.Way == Gossip {
			m.heard = make([]int, o.Holders)
		}
		w.members = append(w.members, m)
		w.r.Each = append(w.r.Each, make([]int, o.Length/(100*time.Millisecond)+1))
		if err := w.start(m); err != nil {
			return nil, err
		}
	}
	for _, m := range w.members {
		w.at(time.Duration(w.rng.Float64()*float64(50*time.Millisecond)), func() { w.turn(m) })
		w.arrive(m)
	}
	if o.Faults {
		w.trouble()
	}
	for _, d := range o.Down {
		for _, n := range d.Members {
			m := w.members[n]
			w.at(d.Start, func() { m.paused, m.dead = true, true })
			w.at(d.End, func() {
				m.paused, m.dead, m.running, m.recent = false, false, 0, nil
				_ = w.start(m) // the settings were right once
			})
		}
	}
	for at, do, ok := w.agenda.Next(o.Length); ok; at, do, ok = w.agenda.Next(o.Length) {
		w.now = at
		do()
	}
	if w.allowed > 0 {
		w.r.Served = float64(w.r.Begun) / w.allowed
	}
	return &w.r, nil
}

func name(n int) string { return fmt.Sprint("m", n) }

func (w *world) at(t time.Duration, do func()) {
	w.agenda.At(t, do)
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

// clock is a member's own.
func (m *member) clock(now time.Duration) time.Duration {
	return m.offset + time.Duration(float64(now)*m.rate)
}

// settings are those of one holder: of a quorum there is one for each keeper, who has all.
func (w *world) settings(k int) lease.Settings {
	s := w.s
	if w.o.Way == Quorum {
		s.Servers = []string{name(k)}
	}
	return s
}

func (w *world) start(m *member) error {
	m.life = w.rng.Uint64() | 1
	m.h, m.book = nil, nil
	books := 1
	if w.o.Way == Quorum {
		books = w.o.Keepers
	}
	for k := range books {
		h, err := lease.NewClient(w.settings(k), name(m.n), m.life)
		if err != nil {
			return err
		}
		b := &quota.Ledger{}
		b.SetLimits([]quota.Limit{w.s.Limits[0].Limit})
		h.AddAgent(m.clock(w.now), agent)
		b.SetLeases(m.clock(w.now), w.settings(k).Floors(w.o.Holders))
		m.h, m.book = append(m.h, h), append(m.book, b)
	}
	if m.n < w.o.Keepers {
		var err error
		if m.k, err = lease.NewServer(w.settings(m.n), name(m.n), m.life); err != nil {
			return err
		}
	}
	return nil
}

// turn has a member do what it does by itself.
func (w *world) turn(m *member) {
	defer w.after(50*time.Millisecond, func() { w.turn(m) })
	if m.paused {
		return
	}
	if m.k != nil {
		m.k.Tick(m.clock(w.now))
	}
	switch w.o.Way {
	case Keepers, Leader, Quorum:
		for i := range m.h {
			w.ask(m, i)
		}
	case Gossip:
		if now := m.clock(w.now); now >= m.nextAsk {
			m.nextAsk = now + lease.DefaultRenewInterval
			used := m.use(w)
			for to := range w.members {
				if to != m.n {
					w.send(m.n, to, 0, func() { w.members[to].heard[m.n] = used })
				}
			}
		}
	}
}

// use is what a member has in use by its own count.
func (m *member) use(w *world) int {
	if !w.o.Counts.IsRate() {
		return m.running
	}
	for len(m.recent) > 0 && w.now-m.recent[0] >= time.Second {
		m.recent = m.recent[1:]
	}
	return len(m.recent)
}

func (w *world) ask(m *member, i int) {
	for _, r := range m.h[i].Requests(m.clock(w.now)) {
		a, at := r.Request, r.Server
		if w.o.Way == Quorum {
			at = i
		}
		size := 20 + 24*len(a.Items)
		if w.o.Size != nil {
			size = w.o.Size(name(m.n), a)
		}
		w.send(m.n, at, size, func() {
			k := w.members[at]
			g := k.k.HandleRequest(k.clock(w.now), a)
			if g == nil {
				return
			}
			life := m.life
			size := 20 + 20*len(g.Items)
			if w.o.Size != nil {
				size = w.o.Size(name(at), g)
			}
			w.send(at, m.n, size, func() {
				if m.life == life {
					w.granted(m, i, r.Server, g)
				}
			})
		})
	}
}

func (w *world) granted(m *member, i, place int, g *lease.Grant) {
	now := m.clock(w.now)
	for _, x := range m.h[i].HandleGrant(now, place, g) {
		w.r.Grants++
		m.book[i].SetLeases(now, x.Leases)
		m.h[i].ReportUsage(now, agent, m.book[i].Usages(now))
	}
}

// send brings a message, or not, or twice, or late; a paused process takes it when it wakes.
func (w *world) send(from, to, size int, do func()) {
	w.r.Messages++
	w.r.Bytes += size
	if w.o.Sent != nil && from != to {
		w.o.Sent(w.now, from, size)
	}
	copies, d := 1, time.Duration(1+w.rng.IntN(10))*time.Millisecond
	if w.o.Faults {
		switch x := w.rng.Float64(); {
		case x < 0.05:
			copies = 0
		case x < 0.08:
			copies = 2
		case x < 0.09:
			d = time.Duration(w.rng.Float64() * float64(time.Minute))
		}
	}
	if w.o.Path != nil && from != to {
		lost, late := w.o.Path(from, to, w.now)
		if d += late; lost > 0 && w.rng.Float64() < lost {
			copies = 0
		}
	}
	if w.down[[2]int{from, to}] || w.cut(from, to) {
		copies = 0
	}
	for c := range copies {
		w.after(d+time.Duration(c)*time.Duration(w.rng.IntN(3000))*time.Millisecond, func() {
			if w.o.Took != nil && from != to && !w.members[to].dead {
				w.o.Took(w.now, to, size)
			}
			w.deliver(to, do)
		})
	}
}

func (w *world) cut(from, to int) bool {
	if from == to || w.now < w.o.Cut0 || w.now >= w.o.Cut1 {
		return false
	}
	side := func(n int) bool {
		for _, c := range w.o.Cut {
			if c == n {
				return true
			}
		}
		return false
	}
	return side(from) != side(to)
}

func (w *world) deliver(to int, do func()) {
	if w.members[to].dead {
		return
	}
	if w.members[to].paused {
		w.after(100*time.Millisecond, func() { w.deliver(to, do) })
		return
	}
	do()
}

// arrive brings a holder its requests.
func (w *world) arrive(m *member) {
	rate := w.o.Demand(m.n, w.now)
	gap := time.Duration(w.rng.ExpFloat64() / max(rate, 0.01) * float64(time.Second))
	w.after(min(gap, 250*time.Millisecond), func() {
		if gap <= 250*time.Millisecond {
			w.take(m)
		}
		w.arrive(m)
	})
}

func (w *world) take(m *member) {
	if w.now >= w.o.From {
		w.r.Wanted++
		w.allow()
	}
	if m.paused {
		return
	}
	lasts := min(time.Duration(w.rng.ExpFloat64()*float64(w.o.Lasts)), 4*w.o.Lasts)
	end, ok := w.begin(m)
	if !ok {
		return
	}
	if w.now >= w.o.From {
		w.r.Begun++
	}
	w.r.Each[m.n][w.now/(100*time.Millisecond)]++
	m.recent = append(m.recent, w.now)
	if w.o.Counts.IsRate() {
		for len(w.begun) > 0 && w.now-w.begun[0] >= time.Second {
			w.begun = w.begun[1:]
		}
		w.begun = append(w.begun, w.now)
		w.see(len(w.begun))
		return
	}
	w.flight++
	m.running++
	w.see(w.flight)
	life := m.life
	// Its end is by its own clock: four times the mean at the most.
	w.after(time.Duration(float64(lasts)/max(m.rate, 1)), func() {
		w.flight--
		if m.life == life {
			m.running--
			end()
		}
	})
}

// begin reports whether a request may begin, and what is to be done at its end.
func (w *world) begin(m *member) (end func(), ok bool) {
	now := m.clock(w.now)
	switch w.o.Way {
	case Static:
		return func() {}, m.use(w) < lease.GrantorShare(w.o.Figure, m.n, w.o.Holders)
	case Gossip:
		sum := m.use(w)
		for n, u := range m.heard {
			if n != m.n {
				sum += u
			}
		}
		return func() {}, sum < w.o.Figure
	case Escrow:
		if m.use(w) < m.tokens {
			return func() {}, true
		}
		w.beg(m)
		return nil, false
	}
	u := &quota.Demand{Class: 0, FirstAttempt: true, EndsBy: now + 4*w.o.Lasts}
	if m.short(w, now, u) {
		for i := range m.h {
			if m.book[i].Active() && now >= m.nextAsk {
				m.h[i].ReportUsage(now, agent, m.book[i].Usages(now))
			}
		}
		if now >= m.nextAsk {
			m.nextAsk = now + 50*time.Millisecond
		}
		return nil, false
	}
	var taken [][]quota.Reservation
	for _, b := range m.book {
		if len(m.book) == 1 || b.RefusedBy(now, u, false) == nil {
			t, _, _, _ := b.Reserve(now, u)
			taken = append(taken, t)
		} else {
			taken = append(taken, nil)
		}
	}
	books := m.book
	return func() {
		for i, t := range taken {
			books[i].Release(m.clock(w.now), t, true)
		}
	}, true
}

// short reports whether there is no right: of a quorum, not two.
func (m *member) short(w *world, now time.Duration, u *quota.Demand) bool {
	have := 0
	for _, b := range m.book {
		if b.RefusedBy(now, u, true) == nil {
			have++
		}
	}
	return have < len(m.book)/2+1
}

// beg asks another for rights: half of what it has left.
func (w *world) beg(m *member) {
	if now := m.clock(w.now); now < m.nextAsk {
		return
	}
	m.nextAsk = m.clock(w.now) + 50*time.Millisecond
	from := w.rng.IntN(len(w.members))
	if from == m.n {
		return
	}
	w.send(m.n, from, 0, func() {
		o := w.members[from]
		give := (o.tokens - o.use(w)) / 2
		if give <= 0 {
			return
		}
		o.tokens -= give
		life, came := m.life, false
		w.send(from, m.n, 0, func() {
			if m.life == life && !came {
				came = true
				m.tokens += give
			}
		})
	})
}

// allow counts what a limit that knew all would let pass, about: the demand, or the figure.
func (w *world) allow() {
	total := 0.0
	for n := range w.members {
		total += w.o.Demand(n, w.now)
	}
	most := float64(w.o.Figure)
	if !w.o.Counts.IsRate() {
		most /= w.o.Lasts.Seconds()
	}
	w.allowed += min(1, most/total)
}

func (w *world) see(n int) {
	w.r.Most = max(w.r.Most, n)
	if n > w.o.Figure {
		w.r.Over++
	}
	if 10*n >= 9*w.o.Figure {
		w.r.Near++
	}
}

// trouble has something befall someone, again and again.
func (w *world) trouble() {
	w.after(time.Duration(w.rng.ExpFloat64()*float64(cmp.Or(w.o.Every, 700*time.Millisecond))), func() {
		m := w.members[w.rng.IntN(len(w.members))]
		if w.rng.IntN(3) == 0 {
			m = w.members[w.rng.IntN(max(1, w.o.Keepers))]
		}
		switch w.rng.IntN(4) {
		case 0: // paused, often for longer than a term
			if !m.paused {
				m.paused = true
				w.r.Pauses++
				w.after(time.Duration(w.rng.ExpFloat64()*float64(4*time.Second)), func() { m.paused = false })
			}
		case 1: // killed and started: what was in flight goes on at its server
			w.r.Crashes++
			m.running, m.recent = 0, nil
			_ = w.start(m) // the settings were right once
		case 2, 3:
			from, to := w.rng.IntN(len(w.members)), w.rng.IntN(max(1, w.o.Keepers))
			if w.rng.IntN(2) == 0 {
				from, to = to, from
			}
			w.down[[2]int{from, to}] = true
			w.after(time.Duration(w.rng.ExpFloat64()*float64(5*time.Second)), func() { w.down[[2]int{from, to}] = false })
		}
		w.trouble()
	})
}

// Follows is how long after a moment what one holder begins in a half second reached a share of a rate a second; 0:
// never.
func (r *Result) Follows(holder int, from time.Duration, rate, share float64) time.Duration {
	const step = 100 * time.Millisecond
	for t := from + 5*step; int(t/step) < len(r.Each[holder]); t += step {
		n := 0
		for i := range 5 {
			n += r.Each[holder][int(t/step)-1-i]
		}
		if float64(n)*2 >= share*rate {
			return t - from
		}
	}
	return 0
}
