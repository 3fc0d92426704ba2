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

// arrivalSkew is the time by which a request may reach its server after a request that was sent later, on a busy
// machine. Requests a second are counted over windows that are shorter by this time.
const arrivalSkew = 100 * time.Millisecond

// loadRecorder counts the requests at the servers: the ground truth for the checks of limits.
type loadRecorder struct {
	mu          sync.Mutex
	inFlight    int
	maxInFlight int // maximum since the last read
	all         window
	each        map[int]*window
	startedAt   map[int]time.Time // time of the last start of each server that an event started
	count       int
}

// window counts the requests that began within the last second less arrivalSkew.
type window struct {
	begun    []time.Time
	maxCount int // largest count since the last read
}

func (w *window) add(now time.Time) {
	for len(w.begun) > 0 && now.Sub(w.begun[0]) >= time.Second-arrivalSkew {
		w.begun = w.begun[1:]
	}
	w.begun = append(w.begun, now)
	w.maxCount = max(w.maxCount, len(w.begun))
}

func newLoadRecorder() *loadRecorder {
	return &loadRecorder{each: map[int]*window{}, startedAt: map[int]time.Time{}}
}

// serverStarted records that a server has just started. The lists notify the daemons afterwards.
func (l *loadRecorder) serverStarted(server int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startedAt[server] = time.Now()
}

// startKnownAfter is the time after a server's start by which the daemons have been notified of it and the requests in
// flight at the start have ended.
const startKnownAfter = 3 * time.Second

// begin counts a request as in flight; the returned function counts its end.
func (l *loadRecorder) begin(server int) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.inFlight++
	l.maxInFlight = max(l.maxInFlight, l.inFlight)
	l.all.add(now)
	if since := now.Sub(l.startedAt[server]); since > startKnownAfter && since < plan.RampTime {
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
		l.inFlight--
		l.mu.Unlock()
	}
}

// read returns the maxima since the last read, and the number of requests. cold is the largest number of requests in a
// window at any one server in slow start.
func (l *loadRecorder) read() (flight, rate, cold, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	flight, rate, count = l.maxInFlight, l.all.maxCount, l.count
	l.maxInFlight, l.all.maxCount, l.count = l.inFlight, 0, 0
	for _, w := range l.each {
		cold = max(cold, w.maxCount)
		w.maxCount = 0
	}
	return flight, rate, cold, count
}

// recordLimits records the limits that the daemons share, with their bounds.
func (r *runner) recordLimits() {
	s := r.p.LeaseSettings()
	for i, l := range r.p.Limits {
		r.record(checker.Line{What: checker.Limited, Limit: l.Name, Why: l.Counts.String(), Total: l.Total, Hard: l.Hard, Rate: l.Counts.IsRate() && l.Counts != quota.SlowStart,
			Bound: s.Bounds(s.Limits[i], len(r.daemons)).MaxUsed})
	}
	r.recordDemand()
}

// recordDemand records the request rate of all clients together.
func (r *runner) recordDemand() {
	sum := 0.0
	for _, d := range r.daemons {
		if d.clients != nil {
			sum += math.Float64frombits(d.clients.rate.Load())
		}
	}
	r.record(checker.Line{What: checker.DemandChanged, Demand: int(sum)})
}

// recordLimitUse records the use of each limit, as measured at the servers, every tenth of a second.
func (r *runner) recordLimitUse(ctx context.Context) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		flight, rate, cold, count := r.load.read()
		for _, l := range r.p.Limits {
			used := flight
			switch {
			case l.Counts == quota.SlowStart:
				used, count = cold, 0
			case l.Counts.IsRate():
				used = rate
			}
			r.record(checker.Line{What: checker.Used, Limit: l.Name, Used: used, Begun: count})
		}
	}
}

// ramp returns the slow start settings of a daemon's file, if the plan has a limit of that kind.
func (r *runner) ramp() string {
	if !slices.ContainsFunc(r.p.Limits, func(l plan.Limit) bool { return l.Counts == quota.SlowStart }) {
		return ""
	}
	return fmt.Sprintf("ramp_time = \"%v\"\ncold_share = 0.3\nfall_multiple = 2.5\n", plan.RampTime)
}

// limits writes the shared limits into a daemon's file.
func (r *runner) limits(b *strings.Builder) {
	if len(r.p.Limits) == 0 {
		return
	}
	s := r.p.LeaseSettings()
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
		fmt.Fprintf(b, "\n[[limit]]\nname = %q\ncounts = %q\nkind = %q\nfigure = %d\n", l.Name, l.Counts.String(), kind, l.Total)
		if l.Each {
			fmt.Fprintf(b, "each = \"server\"\n")
		}
		if l.Floor > 0 {
			fmt.Fprintf(b, "floor = %v\n", l.Floor)
		}
	}
}

// serverState is the true state of a stand-in server.
type serverState struct {
	failShare atomic.Uint64 // share of requests that fail, as the bits of a float64
	received  atomic.Int64  // requests since the last read
}

func (f *serverState) share() float64 { return math.Float64frombits(f.failShare.Load()) }
