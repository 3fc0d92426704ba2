package main

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"

	"vetchhaven/internal/drill/agree"
	"vetchhaven/internal/drill/judge"
	"vetchhaven/internal/drill/plan"
	"vetchhaven/internal/peer/carrier"
	"vetchhaven/internal/peer/policy"
	"vetchhaven/tools/capacity/slopes"
)

// fleetName stands in each message; one of this length is usual.
const fleetName = "fleet"

// changing is one play of a fleet whose policy is changed.
type changing struct {
	members, voters int
	stops           bool
	every           time.Duration // between two changes, in the mean; 0: there are none
	drawn           bool          // by chance, each by another member; else at even times, all by one
	text            int           // bytes of a policy
	from, length    time.Duration // changes and figures begin then; the play ends
	streams         int
	regions         int           // members are by turns in one of so many; 0: all in one
	delay           time.Duration // one way between two regions
	cut             int           // this region is cut off, -1: none
	cutAt, cutFor   time.Duration
	kill            []int // end then, for good
	killAt          time.Duration
	seed            uint64
}

// changed is what came of it.
type changed struct {
	asked, inForce, dropped int
	why                     map[string]int  // of what was dropped, by the kind of reason
	prepared, everywhere    []time.Duration // from the question: to the first that serves by it, to the last
	leader, voter, member   load            // the leader, the mean of other voters, the mean of others
	heap                    float64         // bytes, for each member
	started                 time.Duration   // until the last member served, from the start of all at once
	serving, turned         int             // of who was cut off: served to the end of it, or not
}

// load is what one member has to do with it, a second.
type load struct{ messagesIn, messagesOut, bytesIn, bytesOut, cpu, disk float64 }

func (c changing) play() (*changed, error) {
	out := &changed{why: map[string]int{}}
	rng := rand.New(rand.NewPCG(c.seed, uint64(c.members)))
	p := &plan.Plan{Name: "changes", Daemons: c.members, Zones: 1, Length: c.length,
		Policy: &plan.Policy{Voters: upTo(c.voters), Stops: c.stops, Lease: 5 * time.Second, Within: 10 * time.Second},
		Bounds: judge.Bounds{Crash: 8 * time.Second, Leave: 2 * time.Second, Join: 5 * time.Second, Settle: 8 * time.Second, Pause: 1500 * time.Millisecond, Spread: 500 * time.Millisecond}}
	text := strings.Repeat("x", max(0, c.text-6))
	last := c.length - 10*time.Second // what is asked for later can't be told
	for t := c.from; c.every > 0 && t < last; {
		who := min(1, c.members-1)
		if c.drawn {
			who = rng.IntN(c.members)
		}
		p.Events = append(p.Events, plan.Event{At: t, Do: "apply", Who: []int{who}, Kind: text})
		if gap := c.every; c.drawn {
			t += time.Duration(rng.ExpFloat64() * float64(gap))
		} else {
			t += gap
		}
	}
	if len(c.kill) > 0 {
		p.Events = append(p.Events, plan.Event{At: c.killAt, Do: "kill", Who: c.kill})
	}
	slices.SortStableFunc(p.Events, func(a, b plan.Event) int { return cmp.Compare(a.At, b.At) })

	spent := make([]time.Duration, c.members)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	type use struct {
		first, last time.Duration
		by          map[int]bool
	}
	uses := map[uint64]*use{}
	region := func(n int) int { return n % max(1, c.regions) }
	o := agree.Options{Seed: c.seed, Witness: true, Take: time.Hour, Viewers: c.voters, Streams: c.streams, Since: c.from,
		Size: func(from int, m *policy.Message) int {
			began := threadTime()
			size := carrier.PolicySize(fleetName, plan.Name(from), m)
			spent[from] += threadTime() - began
			return size
		},
		Around: func(now time.Duration, n int, step func()) {
			if now < c.from {
				step()
				spent[n] = 0
				return
			}
			if after.HeapAlloc == 0 && now >= last {
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			began := threadTime()
			step()
			spent[n] += threadTime() - began
		},
		Serves: func(at time.Duration, n int, number uint64) {
			u := uses[number]
			if u == nil {
				u = &use{first: at, by: map[int]bool{}}
				uses[number] = u
			}
			if !u.by[n] {
				u.by[n], u.last = true, at
			}
		}}
	if c.regions > 1 {
		o.Delay = func(a, b int) time.Duration {
			if region(a) != region(b) {
				return c.delay
			}
			return 0
		}
		if c.cutFor > 0 {
			o.Cut = func(now time.Duration, a, b int) bool {
				return now >= c.cutAt && now < c.cutAt+c.cutFor && (region(a) == c.cut) != (region(b) == c.cut)
			}
			o.Take = 500 * time.Millisecond
		}
	}
	runtime.LockOSThread() // its time is what a step costs, whatever else the machine does
	defer runtime.UnlockOSThread()
	r, err := agree.Play(p, o)
	if err != nil {
		return nil, err
	}
	asked, cut := map[string]int64{}, map[string]bool{}
	for n := range c.members {
		cut[plan.Name(n)] = c.cutFor > 0 && region(n) == c.cut
	}
	for _, l := range r.Lines {
		switch l.What {
		case judge.Proposed:
			out.asked++
			asked[l.ID] = l.T
		case judge.Told:
			if l.State != "in force" {
				out.dropped++
				out.why[kindOf(l.Why)]++
				continue
			}
			out.inForce++
			at := time.Duration(asked[l.ID])
			if u := uses[l.Number]; u != nil {
				out.prepared = append(out.prepared, u.first-at)
				if len(u.by) >= c.members-len(c.kill) {
					out.everywhere = append(out.everywhere, u.last-at)
				}
			}
		case judge.Took, judge.Turned:
			if t := time.Duration(l.T); cut[l.Of] && t >= c.cutAt && t < c.cutAt+c.cutFor {
				if l.What == judge.Took {
					out.serving++
				} else {
					out.turned++
				}
			}
		}
	}
	if u := uses[0]; u != nil && len(u.by) == c.members {
		out.started = u.last
	}
	slices.Sort(out.prepared)
	slices.Sort(out.everywhere)
	out.heap = max(0, float64(after.HeapAlloc)-float64(before.HeapAlloc)) / float64(c.members)
	span := (c.length - c.from).Seconds()
	leads := 0
	for n, s := range r.Shown {
		if s.Votes == "leads" {
			leads = n
		}
	}
	for n, t := range r.Traffic {
		x := load{float64(t.MessagesIn) / span, float64(t.MessagesOut) / span, float64(t.BytesIn) / span, float64(t.BytesOut) / span, spent[n].Seconds() / span, float64(r.Disks[n])}
		switch {
		case n == leads:
			out.leader = x
		case n < c.voters:
			out.voter.add(x, c.voters-1)
		default:
			out.member.add(x, c.members-c.voters)
		}
	}
	return out, nil
}

// threadTime is the processor time of this thread so far.
func threadTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic(err) // there is none without it
	}
	return time.Duration(t.Nano())
}

// add takes one of n into a mean.
func (l *load) add(x load, n int) {
	f := 1 / float64(n)
	l.messagesIn, l.messagesOut, l.bytesIn, l.bytesOut, l.cpu, l.disk = l.messagesIn+f*x.messagesIn, l.messagesOut+f*x.messagesOut, l.bytesIn+f*x.bytesIn, l.bytesOut+f*x.bytesOut, l.cpu+f*x.cpu, l.disk+f*x.disk
}

// kindOf is a reason without its names.
func kindOf(why string) string {
	for _, kind := range []string{"another change is under way", "it was made of policy", "not heard", "it did not reach", "given up"} {
		if strings.Contains(why, kind) {
			return kind
		}
	}
	return "other"
}

func upTo(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}

// quantile is one of sorted times, in seconds; NaN: there are none.
func quantile(all []time.Duration, q float64) float64 {
	if len(all) == 0 {
		return math.NaN()
	}
	return all[min(len(all)-1, int(q*float64(len(all))))].Seconds()
}

// changesCommand measures what a change of policy costs whom.
func changesCommand() *cobra.Command {
	var (
		sizes, texts []int
		what         []string
		seed         uint64
		asTOML       bool
		machine      string
	)
	c := &cobra.Command{Use: "changes", Short: "What a change of the agreed policy costs, in virtual time", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			m := &measuring{seed: seed, sizes: sizes, texts: texts, book: book{command: "go run ./tools/capacity changes --what ", machine: machine}, table: table{c.OutOrStdout()}}
			if asTOML {
				m.table.to = c.ErrOrStderr()
			}
			for _, w := range what {
				run, ok := map[string]func(string) error{"even": m.even, "day": m.day, "minute": m.minute, "rest": m.rest, "text": m.text, "died": m.died, "cut": m.cutOff, "size": m.size}[w]
				if !ok {
					return fmt.Errorf("--what %q is none of even, day, minute, rest, text, died, cut, size", w)
				}
				m.what = w
				if err := run(w); err != nil {
					return err
				}
			}
			if asTOML {
				return slopes.Write(c.OutOrStdout(), m.book.all()...)
			}
			return nil
		}}
	c.Flags().IntSliceVar(&sizes, "sizes", []int{10, 30, 100, 300, 1000, 3000, 12000}, "members")
	c.Flags().IntSliceVar(&texts, "texts", []int{512, 4096, 16384, 65536}, "bytes of a policy, of text")
	c.Flags().StringSliceVar(&what, "what", []string{"even", "day", "minute", "rest", "text", "died", "cut", "size"}, "which")
	c.Flags().Uint64Var(&seed, "seed", 1, "of chance")
	c.Flags().BoolVar(&asTOML, "toml", false, "entries of docs/capacity/slopes.toml")
	c.Flags().StringVar(&machine, "machine", machineName(), "for the entries")
	return c
}

// machineName says where a figure comes from.
func machineName() string {
	return fmt.Sprintf("%d cores, shared, GOMAXPROCS=%d, %s", runtime.NumCPU(), runtime.GOMAXPROCS(0), runtime.Version())
}

// table prints rows of Markdown.
type table struct{ to io.Writer }

func (t table) row(cells ...any) {
	text := make([]string, len(cells))
	for i, c := range cells {
		text[i] = fmt.Sprint(c)
	}
	fmt.Fprintln(t.to, "| "+strings.Join(text, " | ")+" |")
}

func (t table) head(cells ...any) {
	t.row(cells...)
	fmt.Fprintln(t.to, "|"+strings.Repeat(" --- |", len(cells)))
}

// book collects points into entries.
type book struct {
	command, machine string
	list             []*slopes.Slope
}

// note adds a point to an entry, which the first point makes. What is no number was not measured.
func (b *book) note(e slopes.Slope, size, value float64) {
	if math.IsNaN(value) {
		return
	}
	i := slices.IndexFunc(b.list, func(s *slopes.Slope) bool { return s.Name == e.Name })
	if i < 0 {
		e.Date, e.Machine = time.Now().UTC().Format(time.DateOnly), b.machine
		b.list = append(b.list, &e)
		i = len(b.list) - 1
	}
	b.list[i].Points = append(b.list[i].Points, [2]float64{size, figures(value)})
}

func (b *book) all() (all []slopes.Slope) {
	for _, s := range b.list {
		all = append(all, *s)
	}
	return all
}

// measuring plays what is asked for, and keeps what it gives.
type measuring struct {
	book
	seed         uint64
	sizes, texts []int
	what         string
	table        table
	headed       string
}

func (m *measuring) run(c changing, label string) (*changed, error) {
	c.seed, c.streams = m.seed, cmp.Or(c.streams, carrier.PolicyStreams)
	c.voters = cmp.Or(c.voters, 3)
	c.from = cmp.Or(c.from, 6*time.Second)
	c.length = cmp.Or(c.length, 70*time.Second)
	c.text = cmp.Or(c.text, 512)
	began := time.Now()
	r, err := c.play()
	if err != nil {
		return nil, err
	}
	if m.headed != m.what {
		fmt.Fprintf(m.table.to, "\n## %s\n\n", m.what)
		m.table.head("what", "members", "cut off", "text", "asked", "in force", "dropped", "under way p50", "everywhere p50", "p99", "most", "member B/s in", "out", "leader B/s in", "out", "voter B/s in", "out", "leader cpu", "voter cpu", "member cpu", "leader disk", "member disk", "heap a member", "started by", "took", "turned away", "why", "in")
		m.headed = m.what
	}
	q := func(all []time.Duration, x float64) string {
		if v := quantile(all, x); !math.IsNaN(v) {
			return fmt.Sprintf("%.2f s", v)
		}
		return "-"
	}
	b := func(x float64) string { return fmt.Sprintf("%.0f", x) }
	pc := func(x float64) string { return fmt.Sprintf("%.4f%%", 100*x) }
	m.table.row(label, c.members, map[bool]string{true: "stops", false: "vetoes"}[c.stops], c.text, r.asked, r.inForce, r.dropped, q(r.prepared, 0.5), q(r.everywhere, 0.5), q(r.everywhere, 0.99), q(r.everywhere, 1),
		b(r.member.bytesIn), b(r.member.bytesOut), b(r.leader.bytesIn), b(r.leader.bytesOut), b(r.voter.bytesIn), b(r.voter.bytesOut), pc(r.leader.cpu), pc(r.voter.cpu), pc(r.member.cpu), b(r.leader.disk), b(r.member.disk), b(r.heap),
		r.started.Round(time.Millisecond), r.serving, r.turned, r.why, time.Since(began).Round(time.Second))
	return r, nil
}

// entry is one of a quantity in the subject of this run.
func (m *measuring) entry(name, role, load, quantity, unit, variable, form, note string) slopes.Slope {
	return slopes.Slope{Name: name, Role: role, Load: load, Quantity: quantity, Unit: unit, Mechanism: "policy", Variable: variable, Form: form, Command: m.command + m.what + m.flags(), Note: note}
}

// flags are those that say which sizes were played.
func (m *measuring) flags() string {
	list := func(all []int) string { return strings.Trim(strings.Join(strings.Fields(fmt.Sprint(all)), ","), "[]") }
	switch m.what {
	case "size":
		return ""
	case "text":
		return " --texts " + list(m.texts)
	}
	return " --sizes " + list(m.sizes)
}

// loads notes what member, leader and another voter do.
func (m *measuring) loads(r *changed, when, variable string, size float64, note string) {
	for _, who := range []struct {
		role, name string
		l          load
	}{{"agent", "member", r.member}, {"voter", "leader", r.leader}, {"voter", "follower", r.voter}} {
		for _, q := range []struct {
			quantity, unit string
			value          float64
		}{{"messages_out", "1/s", who.l.messagesOut}, {"messages_in", "1/s", who.l.messagesIn}, {"bytes_out", "B/s", who.l.bytesOut}, {"bytes_in", "B/s", who.l.bytesIn}, {"cpu", "core", who.l.cpu}} {
			form := "power"
			if who.name == "member" {
				form = "constant"
			}
			n := note
			if who.role == "voter" {
				n = strings.TrimPrefix(note+"; "+map[string]string{"leader": "the voter that leads", "follower": "a voter that does not lead"}[who.name], "; ")
			}
			if q.quantity == "cpu" {
				n = strings.TrimPrefix(n+"; module and encoding, without sockets", "; ")
			}
			m.note(m.entry(fmt.Sprintf("policy.%s.%s.%s", who.name, q.quantity, when), who.role, when, q.quantity, q.unit, variable, form, n), size, q.value)
		}
	}
}

// even is a change each 2 s, as tools/policy times has it.
func (m *measuring) even(string) error {
	for _, streams := range []int{-1, carrier.PolicyStreams} {
		for _, n := range m.sizes {
			label := "a change each 2 s"
			if streams < 0 {
				label += ", streams without number"
			}
			r, err := m.run(changing{members: n, stops: true, every: 2 * time.Second, text: 10, streams: streams}, label)
			if err != nil {
				return err
			}
			if streams < 0 {
				continue
			}
			m.note(m.entry("policy.time.even", "agent", "rest", "time", "s", "agents", "log", "99 in 100 changes, one each 2 s, texts of 10 bytes, whole links"), float64(n), quantile(r.everywhere, 0.99))
		}
	}
	return nil
}

// day is the mean rate of the ordinary day.
func (m *measuring) day(string) error {
	for _, n := range m.sizes {
		r, err := m.run(changing{members: n, stops: true, every: perSecond(0.74), drawn: true, length: 126 * time.Second}, "0.74 a second, drawn")
		if err != nil {
			return err
		}
		m.loads(r, "day", "agents", float64(n), "0.74 changes a second, 512 bytes each")
		m.note(m.entry("policy.time.day", "agent", "day", "time", "s", "agents", "log", "99 in 100 of those that come into force"), float64(n), quantile(r.everywhere, 0.99))
		m.note(m.entry("policy.time_p50.day", "agent", "day", "time_p50", "s", "agents", "log", ""), float64(n), quantile(r.everywhere, 0.5))
		m.note(m.entry("policy.under_way.day", "voter", "day", "under_way", "s", "agents", "log", "one goes at a time: from the question to the first that serves by it, half of them"), float64(n), quantile(r.prepared, 0.5))
		m.note(m.entry("policy.dropped.day", "agent", "day", "share_dropped", "share", "agents", "steps", "share of changes that were dropped, on whole links"), float64(n), float64(r.dropped)/float64(max(1, r.asked)))
		m.note(m.entry("policy.leader.state", "voter", "rest", "state", "B", "agents", "linear", "on the disk: roster, the last 16 policies of 512 bytes, the last 256 changes, the log"), float64(n), r.leader.disk)
		m.note(m.entry("policy.member.state", "agent", "rest", "state", "B", "agents", "constant", "on the disk, with a policy of 512 bytes"), float64(n), r.member.disk)
		m.note(m.entry("policy.member.memory", "agent", "rest", "memory", "B", "agents", "steps", "heap of the whole play for each member, its disk and what it has in the queue of the play too; the largest fleet counts"), float64(n), r.heap)
	}
	return nil
}

func perSecond(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

// minute is ten times the mean rate, for a minute.
func (m *measuring) minute(string) error {
	for _, n := range m.sizes {
		r, err := m.run(changing{members: n, stops: true, every: perSecond(7.4), drawn: true, length: 76 * time.Second}, "7.4 a second, drawn")
		if err != nil {
			return err
		}
		m.loads(r, "worst", "agents", float64(n), "7.4 changes a second, 512 bytes each")
		m.note(m.entry("policy.time.worst", "agent", "worst", "time", "s", "agents", "log", "99 in 100 of those that come into force"), float64(n), quantile(r.everywhere, 0.99))
		m.note(m.entry("policy.dropped.worst", "agent", "worst", "share_dropped", "share", "agents", "steps", "share of changes that were dropped, on whole links"), float64(n), float64(r.dropped)/float64(max(1, r.asked)))
		m.note(m.entry("policy.started.worst", "agent", "worst", "time_start", "s", "agents", "table", "all start at once: until the last is in the roster and takes requests"), float64(n), r.started.Seconds())
	}
	return nil
}

// rest is without any change.
func (m *measuring) rest(string) error {
	for _, stops := range []bool{true, false} {
		for _, n := range m.sizes {
			r, err := m.run(changing{members: n, stops: stops, length: 66 * time.Second}, "no change")
			if err != nil {
				return err
			}
			if stops {
				m.loads(r, "rest", "agents", float64(n), "no change, stops")
			}
		}
	}
	return nil
}

// text is by the size of a policy, at one size of fleet.
func (m *measuring) text(string) error {
	n := 300
	for _, text := range m.texts {
		r, err := m.run(changing{members: n, stops: true, every: 2 * time.Second, text: text}, "a change each 2 s")
		if err != nil {
			return err
		}
		// By one change a second: each goes whole to every member.
		rate := float64(r.inForce) / (70 - 6)
		per := func(x float64) float64 { return x / rate * 0.74 }
		note := fmt.Sprintf("by the size of a policy's text at 0.74 changes a second, %d members", n)
		m.note(m.entry("policy.member.bytes_in.by_text", "agent", "day", "bytes_in", "B/s", "policy_bytes", "linear", note), float64(text), per(r.member.bytesIn))
		m.note(m.entry("policy.leader.bytes_out_member.by_text", "voter", "day", "bytes_out_a_member", "B/s", "policy_bytes", "linear", note+"; the leader's for each member"), float64(text), per(r.leader.bytesOut)/float64(n))
		m.note(m.entry("policy.time.by_text", "agent", "day", "time", "s", "policy_bytes", "linear", note+", 99 in 100; a stream has 12 MB a second, however many there are"), float64(text), quantile(r.everywhere, 0.99))
	}
	return nil
}

// died has one member end, and not come back.
func (m *measuring) died(string) error {
	for _, stops := range []bool{true, false} {
		for _, n := range m.sizes {
			r, err := m.run(changing{members: n, stops: stops, every: perSecond(0.74), drawn: true, kill: []int{n - 1}, killAt: 20 * time.Second}, "0.74 a second, one dies at 20 s")
			if err != nil {
				return err
			}
			mode := map[bool]string{true: "stops", false: "vetoes"}[stops]
			m.note(m.entry("policy.dropped_"+mode+".died", "agent", "day", "share_dropped_died", "share", "agents", "table", "share of a minute's changes that were dropped; "+mode+", one machine dies and stays away"), float64(n), float64(r.dropped)/float64(max(1, r.asked)))
			if stops {
				m.note(m.entry("policy.time.died", "agent", "day", "time", "s", "agents", "log", "the slowest change where a machine dies, stops"), float64(n), quantile(r.everywhere, 1))
			}
		}
	}
	return nil
}

// cutOff has one region of five cut off for 20 s, with a way of 40 ms between regions.
func (m *measuring) cutOff(string) error {
	for _, stops := range []bool{true, false} {
		for _, n := range m.sizes {
			if n > 1000 {
				continue
			}
			c := changing{members: n, voters: 5, stops: stops, every: perSecond(0.74), drawn: true, regions: 5, delay: 40 * time.Millisecond, cut: -1}
			whole, err := m.run(c, "five regions, 40 ms one way, whole")
			if err != nil {
				return err
			}
			c.cut, c.cutAt, c.cutFor = 4, 20*time.Second, 20*time.Second
			r, err := m.run(c, "the same, one region cut off for 20 s")
			if err != nil {
				return err
			}
			mode := map[bool]string{true: "stops", false: "vetoes"}[stops]
			if stops {
				m.note(m.entry("policy.time_regions.day", "agent", "day", "time_regions", "s", "agents", "log", "99 in 100, five regions, 40 ms one way between any two"), float64(n), quantile(whole.everywhere, 0.99))
			}
			m.note(m.entry("policy.dropped_"+mode+".cut", "agent", "worst", "share_dropped_cut", "share", "agents", "table", "share of a minute's changes that were dropped, one region of five cut off for 20 s; "+mode), float64(n), float64(r.dropped)/float64(max(1, r.asked)))
			m.note(m.entry("policy.turned_away_"+mode+".cut", "agent", "worst", "share_turned_away", "share", "agents", "table", "share of requests turned away in the region that is cut off for 20 s; "+mode), float64(n), float64(r.turned)/float64(max(1, r.turned+r.serving)))
		}
	}
	return nil
}

// policyOf is a policy's text that has a class, two limits and a source for each of n services.
func policyOf(n int) string {
	var b strings.Builder
	for i := range n {
		name := fmt.Sprintf("service-%03d", i)
		fmt.Fprintf(&b, "[[class]]\nname = %q\nrepeats = \"keyed\"\ngroup = \"zone\"\nwindow = \"300ms\"\naim = \"400ms\"\ndeadline = \"2s\"\nworth = 1\n\n", name)
		for _, counts := range []string{"requests", "in-flight"} {
			fmt.Fprintf(&b, "[[limit]]\nname = \"%s-%s\"\ncounts = %q\nkind = \"soft\"\nfigure = 500\nclass = %q\n\n", name, counts, counts, name)
		}
		fmt.Fprintf(&b, "[[source]]\nname = %q\nlist = \"10.0.%d.%d:7000\"\n\n", name, i>>8, i&255)
	}
	return b.String()
}

// size is how large a policy for all services is.
func (m *measuring) size(string) error {
	fmt.Fprint(m.table.to, "\n## size\n\n")
	m.table.head("services", "bytes of a policy")
	for _, n := range []int{10, 100, 990} {
		m.table.row(n, len(policyOf(n)))
		m.note(m.entry("policy.size", "source", "rest", "policy_size", "B", "services", "linear", "a class, two limits and a source for each service"), float64(n), float64(len(policyOf(n))))
	}
	return nil
}
