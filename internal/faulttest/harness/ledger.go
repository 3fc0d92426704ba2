package harness

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"vetchhaven/decide/quota"
	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/faulttest/plan"
)

// late is by how much a request may come to its server later than another that was sent after it, on a busy machine:
// what begins in a second is counted over so much less.
const late = 100 * time.Millisecond

// ledger is what the servers see: the truth about limits.
type ledger struct {
	mu     sync.Mutex
	flight int
	most   int // in flight, since it was last read
	all    window
	each   map[int]*window
	cold   map[int]time.Time // servers that have just started
	count  int
}

// window is what began within a second less late.
type window struct {
	begun []time.Time
	most  int // since it was last read
}

func (w *window) add(now time.Time) {
	for len(w.begun) > 0 && now.Sub(w.begun[0]) >= time.Second-late {
		w.begun = w.begun[1:]
	}
	w.begun = append(w.begun, now)
	w.most = max(w.most, len(w.begun))
}

func newLedger() *ledger { return &ledger{each: map[int]*window{}, cold: map[int]time.Time{}} }

// fresh notes that a server has just started. Lists tell daemons of it a moment later.
func (l *ledger) fresh(server int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold[server] = time.Now()
}

// known is by when daemons know that a server has just started: what is under way then is over, too.
const known = 3 * time.Second

// begin books a request; what it returns books its end.
func (l *ledger) begin(server int) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.flight++
	l.most = max(l.most, l.flight)
	l.all.add(now)
	if since := now.Sub(l.cold[server]); since > known && since < plan.Ramp {
		w := l.each[server]
		if w == nil {
			w = &window{}
			l.each[server] = w
		}
		w.add(now)
	}
	l.count++
	return func() {
		l.mu.Lock()
		l.flight--
		l.mu.Unlock()
	}
}

// read is what was seen since the last time; cold is the most at any one cold server.
func (l *ledger) read() (flight, rate, cold, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	flight, rate, count = l.most, l.all.most, l.count
	l.most, l.all.most, l.count = l.flight, 0, 0
	for _, w := range l.each {
		cold = max(cold, w.most)
		w.most = 0
	}
	return flight, rate, cold, count
}

// limited notes which limits the daemons share, and what follows from that.
func (r *rig) limited() {
	s := r.p.Settings()
	for i, l := range r.p.Limits {
		r.line(checker.Line{What: checker.Limited, Limit: l.Name, Why: l.Counts.String(), Figure: l.Figure, Hard: l.Hard, Rate: l.Counts.IsRate() && l.Counts != quota.SlowStart,
			Bound: s.Bounds(s.Limits[i], len(r.daemons)).Max})
	}
	r.wanted()
}

// wanted notes what clients ask for.
func (r *rig) wanted() {
	sum := 0.0
	for _, d := range r.daemons {
		if d.clients != nil {
			sum += math.Float64frombits(d.clients.rate.Load())
		}
	}
	r.line(checker.Line{What: checker.Wanted, Wanted: int(sum)})
}

// eachTenth notes what servers saw in each tenth of a second.
func (r *rig) eachTenth(ctx context.Context) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		flight, rate, cold, count := r.ledger.read()
		for _, l := range r.p.Limits {
			used := flight
			switch {
			case l.Counts == quota.SlowStart:
				used, count = cold, 0
			case l.Counts.IsRate():
				used = rate
			}
			r.line(checker.Line{What: checker.Used, Limit: l.Name, Used: used, Begun: count})
		}
	}
}

// ramp is what a daemon's file says of cold servers, where the drill is about them.
func (r *rig) ramp() string {
	if !slices.ContainsFunc(r.p.Limits, func(l plan.Limit) bool { return l.Counts == quota.SlowStart }) {
		return ""
	}
	return fmt.Sprintf("ramp_time = \"%v\"\ncold_share = 0.3\nfall_multiple = 2.5\n", plan.Ramp)
}

// limits is what a daemon's file says of them.
func (r *rig) limits(b *strings.Builder) {
	if len(r.p.Limits) == 0 {
		return
	}
	s := r.p.Settings()
	var names []string
	for _, k := range s.Servers {
		names = append(names, fmt.Sprintf("%q", k))
	}
	fmt.Fprintf(b, "keepers = [%s]\nterm = \"%v\"\n", strings.Join(names, ", "), s.Term)
	for _, l := range r.p.Limits {
		kind := "soft"
		if l.Hard {
			kind = "hard"
		}
		fmt.Fprintf(b, "\n[[limit]]\nname = %q\ncounts = %q\nkind = %q\nfigure = %d\n", l.Name, l.Counts.String(), kind, l.Figure)
		if l.Each {
			fmt.Fprintf(b, "each = \"server\"\n")
		}
		if l.Floor > 0 {
			fmt.Fprintf(b, "floor = %v\n", l.Floor)
		}
	}
}

// fault is a server as it truly is.
type fault struct {
	fails atomic.Uint64 // a share of its requests, as the bits of a float64
	got   atomic.Int64  // requests since it was last read
}

func (f *fault) share() float64 { return math.Float64frombits(f.fails.Load()) }
