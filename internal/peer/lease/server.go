package lease

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"vetchhaven/decide/quota"
)

// Server lends its part of each limit.
type Server struct {
	s      Settings
	name   string
	life   uint64
	place  int
	last   time.Duration // when it last ran
	began  bool
	count  uint64 // grants
	limits []*kept
}

type holderID struct {
	name  string
	life  uint64
	agent uint32
}

// kept is one limit at its keeper.
type kept struct {
	Limit
	print uint64
	part  int
	from  time.Duration // nothing is lent before
	rows  map[string]*lendRow
}

// lendRow is a limit, or its part for one of something.
type lendRow struct {
	holders map[holderID]*borrower
	order   []holderID // by name, life and agent: nothing may hang on a map's order
	at      time.Duration
	out     int // the sum of what all may have in use, as of at and of what changed since
	slack   float64
	steered time.Duration
}

// borrower is one holder's agent.
type borrower struct {
	loans      []loan // by number; the last is the present one
	need, want int
	used       int
	seq        uint64 // of its last question: what comes later and is older says what no longer holds
	asked      time.Duration
	out        int // as summed up
	share      int
	last       int // granted
}

// loan is what was granted at once, or is reported to be in use.
type loan struct {
	Number uint64        `cbor:"1,keyasint,omitempty"`
	Amount int           `cbor:"2,keyasint,omitempty"`
	Until  time.Duration `cbor:"3,keyasint,omitempty"` // it counts as lent
}

const (
	rowsMost    = 4096                   // parts of one limit
	refreshFew  = 32                     // so few holders are summed up with each question
	refreshEach = 25 * time.Millisecond  // and more than that so often
	turns       = 2                      // terms after which the odd rights go to other holders
	steerEach   = 100 * time.Millisecond // between two changes of how far a soft limit is lent beyond its figure
	steerBy     = 0.05                   // of what is not used, each time
	forgetAfter = 10 * time.Second       // of a holder that has nothing and asks no more
)

// NewServer returns one that has lent nothing in this life.
func NewServer(s Settings, name string, life uint64) (*Server, error) {
	s, err := s.withDefaults()
	if err != nil {
		return nil, err
	}
	k := &Server{s: s, name: name, life: life, place: slices.Index(s.Servers, name)}
	if k.place < 0 {
		return nil, fmt.Errorf("limits: %q is no keeper", name)
	}
	for _, l := range s.Limits {
		k.limits = append(k.limits, &kept{Limit: l, print: l.print(), part: GrantorShare(l.Total, k.place, len(s.Servers)), rows: map[string]*lendRow{}})
	}
	return k, nil
}

// Tick is to be called now and then: a keeper that did not run for long finds out by it. Another process may have
// been started in its place meanwhile, and lends: then it goes on as one that has just started.
func (k *Server) Tick(now time.Duration) {
	if !k.began || now-k.last > k.s.Term/2 {
		for _, l := range k.limits {
			l.from = max(l.from, now+k.s.lent(l.Kind))
		}
	}
	k.began, k.last = true, max(now, k.last)
}

// TakeOver has it go on for the keeper whose settings have changed: what that one lent is lent.
func (k *Server) TakeOver(old *Server) {
	k.began, k.last, k.life, k.count = old.began, old.last, old.life, old.count
	for _, l := range k.limits {
		// One that was not there, or was lent for another term: all of that has to lapse.
		l.from = k.last + max(k.s.lent(l.Kind), old.s.lent(l.Kind))
		for _, o := range old.limits {
			if o.print == l.print && old.s.Fingerprint() == k.s.Fingerprint() {
				l.rows, l.from = o.rows, o.from
			}
		}
	}
}

// HandleRequest takes what a holder asks, and is the answer; nil: none.
func (k *Server) HandleRequest(now time.Duration, a *Request) *Grant {
	k.Tick(now)
	if a == nil || a.From == "" || a.Fingerprint != k.s.Fingerprint() || len(a.Items) > 4*MaxItems {
		return nil
	}
	g := &Grant{From: k.name, RunID: k.life, Seq: a.Seq}
	for _, i := range a.Items {
		if a.ServerRunID != k.life && i.LastGrant != over { // of an earlier life, all of whose grants have lapsed
			i.LastGrant, i.Used = 0, 0
		}
		for _, l := range k.limits {
			if l.print != i.Fingerprint {
				continue
			}
			r := l.rows[i.Key]
			if r != nil && r.holders[holderID{a.From, a.RunID, i.Agent}].later(a.Seq) {
				continue
			}
			if r == nil {
				if len(l.rows) >= rowsMost || l.Partition == quota.NotPartitioned && i.Key != "" {
					continue
				}
				r = &lendRow{holders: map[holderID]*borrower{}}
				l.rows[i.Key] = r
			}
			k.count++
			amount := r.lend(now, k.s, k.place, l, holderID{a.From, a.RunID, i.Agent}, &i, a.Seq, k.count)
			g.Items = append(g.Items, GrantItem{i.Agent, i.Fingerprint, i.Key, k.count, amount})
		}
	}
	return g
}

// lend books what a holder has now, and grants it what it may have from now on.
func (r *lendRow) lend(now time.Duration, s Settings, place int, l *kept, id holderID, i *RequestItem, seq, number uint64) int {
	b := r.holders[id]
	if b == nil {
		b = &borrower{}
		r.holders[id] = b
		at, _ := slices.BinarySearchFunc(r.order, id, compareID)
		r.order = slices.Insert(r.order, at, id)
	}
	b.need, b.want, b.seq, b.asked = max(0, i.Need), max(0, i.Need, i.Desired), seq, now
	b.used = i.Used
	b.settle(now, s, i, l.Kind)
	if len(r.order) <= refreshFew || now-r.at >= refreshEach || r.at == 0 {
		r.refresh(now, s, place, l)
	}
	amount := 0
	if now >= l.from && i.LastGrant != over {
		amount = max(0, min(b.steady(), l.part+l.slack(l.part)-(r.out-b.out)))
	}
	b.last = amount
	b.loans = append(b.loans, loan{number, amount, now + s.lent(l.Kind)})
	was := b.out
	b.out = b.most(now)
	r.out += b.out - was
	return amount
}

// later reports whether a later question than this one was answered.
func (b *borrower) later(seq uint64) bool { return b != nil && seq <= b.seq }

func compareID(a, b holderID) int {
	return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.life, b.life), cmp.Compare(a.agent, b.agent))
}

// steady is the share, or what it last had where that is hardly more and is needed: each right that changes hands lies
// idle for up to a second.
func (b *borrower) steady() int {
	if d := b.last - b.share; d > 0 && d <= 1+b.last/8 && b.share > 0 && b.need >= b.last {
		return b.last
	}
	return b.share
}

// settle forgets loans that the holder no longer goes by: it has taken a later one. What it had in use at that moment
// may be so still: in flight until it says otherwise, or until its right would have ended; begun within a second, for
// a second.
func (b *borrower) settle(now time.Duration, s Settings, i *RequestItem, c quota.Kind) {
	keep := b.loans[:0]
	last := time.Duration(0)
	for _, x := range b.loans {
		switch {
		case now >= x.Until:
		case x.Number >= i.LastGrant && i.LastGrant != over:
			keep = append(keep, x)
		default:
			last = max(last, x.Until)
		}
	}
	if i.Used > 0 && i.LastGrant > 0 {
		// Where nothing of it was left here, it may be in flight for longer than any right: an upload, while it says so.
		used := loan{Amount: i.Used, Until: now + s.lent(c)}
		if c.IsRate() {
			used.Until = now + s.surely(span+within)
		} else if i.LastGrant == over {
			used.Until = last
		}
		if now < used.Until {
			keep = append([]loan{used}, keep...)
		}
	}
	b.loans = keep
}

// most is what it may have in use at the most.
func (b *borrower) most(now time.Duration) int {
	most := 0
	for _, x := range b.loans {
		if now < x.Until {
			most = max(most, x.Amount)
		}
	}
	return most
}

// refresh sums up what is lent, forgets holders that have nothing and ask no more, and reckons the shares anew.
func (r *lendRow) refresh(now time.Duration, s Settings, place int, l *kept) {
	r.at, r.out = max(now, 1), 0
	r.order = slices.DeleteFunc(r.order, func(id holderID) bool {
		b := r.holders[id]
		b.out = b.most(now)
		r.out += b.out
		gone := b.out == 0 && now-b.asked > forgetAfter
		if gone {
			delete(r.holders, id)
		}
		return gone
	})
	r.reckon(now, s, place, l)
}

// reckon gives each holder its share of the part: first what all use or would, or as large a share of that for each as
// there is; then what each would need besides to turn nothing away; then half of what is left, in proportion: the rest
// stays for whoever comes. By proportion, not alike for each: a request is worth no less at a busy agent.
func (r *lendRow) reckon(now time.Duration, s Settings, place int, l *kept) {
	var all []*borrower
	// Where there are fewer rights than holders, each keeper goes on by as many as it has rights, and begins elsewhere.
	turn := (int(now/(turns*s.Term))*len(s.Servers) + place) * max(1, l.part) % max(1, len(r.order))
	used := 0
	for n := range r.order {
		b := r.holders[r.order[(n+turn)%len(r.order)]]
		b.share = 0
		if now-b.asked < s.Term && b.want > 0 {
			all = append(all, b)
			used += b.used
		}
	}
	r.steer(now, l, used)
	left := l.part + int(r.slack*float64(l.part))
	left -= spread(left, all, func(b *borrower) int { return b.need })
	left -= spread(left, all, func(b *borrower) int { return b.want - b.need })
	wants := 0
	for _, b := range all {
		wants += b.want
	}
	for _, b := range all {
		if left > 0 {
			b.share += int(float64(left) / 2 * float64(b.want) / float64(wants))
		}
	}
}

// steer has a soft limit lent beyond its figure by as much as it takes for the figure to be used: what is lent is never
// used to the last by all at once.
func (r *lendRow) steer(now time.Duration, l *kept, used int) {
	if l.Hard || now-r.steered < steerEach {
		return
	}
	r.steered = now
	r.slack = min(MaxOvercommit, max(0, r.slack+steerBy*float64(l.part-used)/float64(max(1, l.part))))
}

// spread adds to each share what its holder wants of a total, or an even share of that where it is too little: at least
// one, if that can be had, and what does not divide by turns. It returns how much that is.
func spread(total int, all []*borrower, want func(*borrower) int) (given int) {
	sum := 0
	for _, b := range all {
		sum += max(0, want(b))
	}
	if sum <= total {
		for _, b := range all {
			b.share += max(0, want(b))
		}
		return sum
	}
	if total <= 0 {
		return 0
	}
	each := make([]int, len(all))
	left, rest := total, 0
	for n, b := range all { // one each
		if want(b) > 0 && left > 0 {
			each[n] = 1
			left--
		}
		rest += max(0, want(b)-1)
	}
	if rest > 0 {
		of := left
		for n, b := range all {
			more := int(float64(of) * float64(max(0, want(b)-1)) / float64(rest))
			each[n] += more
			left -= more
		}
	}
	for n, b := range all {
		if left > 0 && each[n] < want(b) {
			each[n]++
			left--
		}
		b.share += each[n]
		given += each[n]
	}
	return given
}

// LimitStatus is how much of a limit's part is lent, for operators.
type LimitStatus struct {
	Limit, Key    string
	Share         int
	Leased        int
	WaitRemaining time.Duration // nothing is lent for so long yet
	Holders       map[string]int
}

// Status are of all limits, in their order.
func (k *Server) Status(now time.Duration) []LimitStatus {
	var all []LimitStatus
	for _, l := range k.limits {
		var keys []string
		for key := range l.rows {
			keys = append(keys, key)
		}
		slices.Sort(keys)
		if len(keys) == 0 && l.Partition == quota.NotPartitioned {
			keys = []string{""}
		}
		for _, key := range keys {
			one := LimitStatus{Limit: l.Name, Key: key, Share: l.part, WaitRemaining: max(0, l.from-now), Holders: map[string]int{}}
			if r := l.rows[key]; r != nil {
				for _, id := range r.order {
					if n := r.holders[id].most(now); n > 0 {
						one.Leased += n
						one.Holders[id.name] += n
					}
				}
			}
			all = append(all, one)
		}
	}
	return all
}

// ServerState is what a process that takes a keeper's place without a gap has to know.
type ServerState struct {
	RunID       uint64       `cbor:"1,keyasint,omitempty"`
	Count       uint64       `cbor:"2,keyasint,omitempty"`
	Fingerprint uint64       `cbor:"3,keyasint,omitempty"`
	Limits      []LimitState `cbor:"4,keyasint,omitempty"`
}

// LimitState is one limit's.
type LimitState struct {
	Fingerprint   uint64        `cbor:"1,keyasint,omitempty"`
	WaitRemaining time.Duration `cbor:"2,keyasint,omitempty"`
	Rows          []RowState    `cbor:"3,keyasint,omitempty"`
}

// RowState is one part's.
type RowState struct {
	Key     string        `cbor:"1,keyasint,omitempty"`
	Holders []HolderState `cbor:"2,keyasint,omitempty"`
}

// HolderState is one holder's. Times are what is left: the successor counts them from when it starts, which is later.
type HolderState struct {
	Name   string `cbor:"1,keyasint,omitempty"`
	RunID  uint64 `cbor:"2,keyasint,omitempty"`
	Agent  uint32 `cbor:"3,keyasint,omitempty"`
	Leases []loan `cbor:"4,keyasint,omitempty"`
}

// State is the keeper's, for the process that takes its place. This one lends nothing any more.
func (k *Server) State(now time.Duration) *ServerState {
	st := &ServerState{RunID: k.life, Count: k.count, Fingerprint: k.s.Fingerprint()}
	for _, l := range k.limits {
		ks := LimitState{Fingerprint: l.print, WaitRemaining: max(0, l.from-now)}
		if !k.began {
			ks.WaitRemaining = k.s.lent(l.Kind)
		}
		for key, r := range l.rows {
			rs := RowState{Key: key}
			for _, id := range r.order {
				bs := HolderState{Name: id.name, RunID: id.life, Agent: id.agent}
				for _, x := range r.holders[id].loans {
					if x.Until > now {
						bs.Leases = append(bs.Leases, loan{x.Number, x.Amount, x.Until - now})
					}
				}
				rs.Holders = append(rs.Holders, bs)
			}
			ks.Rows = append(ks.Rows, rs)
		}
		st.Limits = append(st.Limits, ks)
	}
	return st
}

// Resume takes over what another process had lent. It reports whether that fits: else this one starts anew.
func (k *Server) Resume(now time.Duration, st *ServerState) bool {
	if st == nil || st.Fingerprint != k.s.Fingerprint() || k.began {
		return false
	}
	k.life, k.count, k.began, k.last = st.RunID, st.Count, true, now
	for _, l := range k.limits {
		l.from = now + k.s.lent(l.Kind)
		for _, ks := range st.Limits {
			if ks.Fingerprint != l.print {
				continue
			}
			l.from = now + ks.WaitRemaining
			for _, rs := range ks.Rows {
				r := &lendRow{holders: map[holderID]*borrower{}}
				for _, bs := range rs.Holders {
					id := holderID{bs.Name, bs.RunID, bs.Agent}
					b := &borrower{asked: now}
					for _, x := range bs.Leases {
						b.loans = append(b.loans, loan{x.Number, x.Amount, now + x.Until})
					}
					r.holders[id] = b
					r.order = append(r.order, id)
				}
				slices.SortFunc(r.order, compareID)
				l.rows[rs.Key] = r
			}
		}
	}
	return true
}
