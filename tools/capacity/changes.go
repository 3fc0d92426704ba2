package main

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"vetchhaven/internal/peer/transport"
	"vetchhaven/tools/capacity/slopes"
)

// changesCommand measures the cost of a policy change for members, voters and the leader.
func changesCommand() *cobra.Command {
	var (
		f      plainFlags
		texts  []int
		what   []string
		length time.Duration
	)
	c := &cobra.Command{Use: "changes", Short: "The cost of a change of the agreed policy, in virtual time", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			m := &policyMeasurements{seed: f.seed, sizes: f.sizes, texts: texts, length: length, entryBook: f.book("go run ./tools/capacity changes --what "), table: f.table(c)}
			for _, w := range what {
				run, ok := map[string]func(string) error{"even": m.even, "day": m.day, "minute": m.minute, "rest": m.rest, "text": m.text, "died": m.died, "cut": m.cutOff, "size": m.size, "stream": m.stream}[w]
				if !ok {
					return fmt.Errorf("--what %q is not one of even, day, minute, rest, text, died, cut, size, stream", w)
				}
				m.what = w
				if err := run(w); err != nil {
					return err
				}
			}
			return f.end(c, &m.entryBook)
		}}
	f.add(c, "members", 10, 30, 100, 300, 1000, 3000, 12000)
	c.Flags().DurationVar(&length, "length", 126*time.Second, "stream: length of the run of a day")
	c.Flags().IntSliceVar(&texts, "texts", []int{512, 4096, 16384, 65536}, "text: sizes of a policy in bytes")
	c.Flags().StringSliceVar(&what, "what", []string{"even", "day", "minute", "rest", "text", "died", "cut", "size"}, "the measurements to run")
	return c
}

// plainFlags are the flags of the measurements that don't use flags: changes, list and operator.
type plainFlags struct {
	sizes   []int
	seed    uint64
	toml    bool
	machine string
}

func (f *plainFlags) add(c *cobra.Command, of string, sizes ...int) {
	c.Flags().IntSliceVar(&f.sizes, "sizes", sizes, of)
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of random numbers, where they are used")
	c.Flags().BoolVar(&f.toml, "toml", false, "print entries for docs/capacity/slopes.toml, and the table on standard error")
	c.Flags().StringVar(&f.machine, "machine", machineName(), "description of the machine in the entries")
}

func (f *plainFlags) book(command string) entryBook {
	return entryBook{command: command, machine: f.machine}
}

// table returns the table for readers: on standard error if the entries are printed to standard output.
func (f *plainFlags) table(c *cobra.Command) table {
	if f.toml {
		return table{c.ErrOrStderr()}
	}
	return table{c.OutOrStdout()}
}

// end prints the entries if --toml is set.
func (f *plainFlags) end(c *cobra.Command, b *entryBook) error {
	if !f.toml {
		return nil
	}
	return slopes.Write(c.OutOrStdout(), b.all()...)
}

// machineName describes the machine that a figure is measured on.
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

// entryBook collects points into entries.
type entryBook struct {
	command, machine string
	list             []*slopes.Slope
}

// addPoint adds a point to the entry of e's name, and creates the entry with its first point. A value of NaN was not
// measured and is omitted.
func (b *entryBook) addPoint(e slopes.Slope, size, value float64) {
	if math.IsNaN(value) {
		return
	}
	i := slices.IndexFunc(b.list, func(s *slopes.Slope) bool { return s.Name == e.Name })
	if i < 0 {
		e.Date, e.Machine = time.Now().UTC().Format(time.DateOnly), b.machine
		b.list = append(b.list, &e)
		i = len(b.list) - 1
	}
	b.list[i].Points = append(b.list[i].Points, [2]float64{size, fourDigits(value)})
}

func (b *entryBook) all() (all []slopes.Slope) {
	for _, s := range b.list {
		all = append(all, *s)
	}
	return all
}

// policyMeasurements runs the requested measurements and collects their entries.
type policyMeasurements struct {
	entryBook
	seed         uint64
	sizes, texts []int
	what         string
	length       time.Duration // of the run of a day, in stream
	table        table
	lastHeader   string
}

func (m *policyMeasurements) run(c policyRun, label string) (*policyResult, error) {
	c.seed, c.streams = m.seed, cmp.Or(c.streams, transport.MaxPolicyStreams)
	c.voters = cmp.Or(c.voters, 3)
	c.from = cmp.Or(c.from, 6*time.Second)
	c.length = cmp.Or(c.length, 70*time.Second)
	c.text = cmp.Or(c.text, 512)
	began := time.Now()
	r, err := c.simulate()
	if err != nil {
		return nil, err
	}
	if m.lastHeader != m.what {
		fmt.Fprintf(m.table.to, "\n## %s\n\n", m.what)
		m.table.head("what", "members", "cut off", "text", "asked", "in force", "dropped", "under way p50", "everywhere p50", "p99", "most", "member B/s in", "out", "leader B/s in", "out", "voter B/s in", "out", "leader cpu", "voter cpu", "member cpu", "leader disk", "member disk", "heap a member", "started by", "took", "turned away", "why", "in")
		m.lastHeader = m.what
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

// entry returns an entry of the mechanism policy with the command of this measurement.
func (m *policyMeasurements) entry(name, role, load, quantity, unit, variable, form, note string) slopes.Slope {
	return slopes.Slope{Name: name, Role: role, Load: load, Quantity: quantity, Unit: unit, Mechanism: "policy", Variable: variable, Form: form, Command: m.command + m.what + m.flags(), Note: note}
}

// flags returns the flags that select the measured sizes.
func (m *policyMeasurements) flags() string {
	list := func(all []int) string { return strings.Trim(strings.Join(strings.Fields(fmt.Sprint(all)), ","), "[]") }
	switch m.what {
	case "size":
		return ""
	case "text":
		return " --texts " + list(m.texts)
	}
	return " --sizes " + list(m.sizes)
}

// loads adds the traffic and CPU time of a member, the leader and another voter to their entries.
func (m *policyMeasurements) loads(r *policyResult, when, variable string, size float64, note string) {
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
			m.addPoint(m.entry(fmt.Sprintf("policy.%s.%s.%s", who.name, q.quantity, when), who.role, when, q.quantity, q.unit, variable, form, n), size, q.value)
		}
	}
}

// even measures one change every 2 s, as tools/policy times does.
func (m *policyMeasurements) even(string) error {
	for _, streams := range []int{-1, transport.MaxPolicyStreams} {
		for _, n := range m.sizes {
			label := "a change each 2 s"
			if streams < 0 {
				label += ", streams without number"
			}
			r, err := m.run(policyRun{members: n, stops: true, every: 2 * time.Second, text: 10, streams: streams}, label)
			if err != nil {
				return err
			}
			if streams < 0 {
				continue
			}
			m.addPoint(m.entry("policy.time.even", "agent", "rest", "time", "s", "agents", "log", "99 in 100 changes, one each 2 s, texts of 10 bytes, whole links"), float64(n), quantile(r.everywhere, 0.99))
		}
	}
	return nil
}

// day measures changes at the mean rate of the ordinary day.
func (m *policyMeasurements) day(string) error {
	for _, n := range m.sizes {
		r, err := m.run(policyRun{members: n, stops: true, every: perSecond(0.74), randomTimes: true, length: 126 * time.Second}, "0.74 a second, drawn")
		if err != nil {
			return err
		}
		m.loads(r, "day", "agents", float64(n), "0.74 changes a second, 512 bytes each")
		m.addPoint(m.entry("policy.time.day", "agent", "day", "time", "s", "agents", "log", "99 in 100 of those that come into force"), float64(n), quantile(r.everywhere, 0.99))
		m.addPoint(m.entry("policy.time_p50.day", "agent", "day", "time_p50", "s", "agents", "log", ""), float64(n), quantile(r.everywhere, 0.5))
		m.addPoint(m.entry("policy.under_way.day", "voter", "day", "under_way", "s", "agents", "log", "one goes at a time: from the question to the first that serves by it, half of them"), float64(n), quantile(r.prepared, 0.5))
		m.addPoint(m.entry("policy.dropped.day", "agent", "day", "share_dropped", "share", "agents", "steps", "share of changes that were dropped, on whole links"), float64(n), float64(r.dropped)/float64(max(1, r.asked)))
		m.addPoint(m.entry("policy.leader.state", "voter", "rest", "state", "B", "agents", "linear", "on the disk: roster, the last 16 policies of 512 bytes, the last 256 changes, the log"), float64(n), r.leader.disk)
		m.addPoint(m.entry("policy.member.state", "agent", "rest", "state", "B", "agents", "constant", "on the disk, with a policy of 512 bytes"), float64(n), r.member.disk)
		m.addPoint(m.entry("policy.member.memory", "agent", "rest", "memory", "B", "agents", "steps", "heap of the whole play for each member, its disk and what it has in the queue of the play too; the largest fleet counts"), float64(n), r.heap)
	}
	return nil
}

func perSecond(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

// minute measures changes at ten times the mean rate, for a minute.
func (m *policyMeasurements) minute(string) error {
	for _, n := range m.sizes {
		r, err := m.run(policyRun{members: n, stops: true, every: perSecond(7.4), randomTimes: true, length: 76 * time.Second}, "7.4 a second, drawn")
		if err != nil {
			return err
		}
		m.loads(r, "worst", "agents", float64(n), "7.4 changes a second, 512 bytes each")
		m.addPoint(m.entry("policy.time.worst", "agent", "worst", "time", "s", "agents", "log", "99 in 100 of those that come into force"), float64(n), quantile(r.everywhere, 0.99))
		m.addPoint(m.entry("policy.dropped.worst", "agent", "worst", "share_dropped", "share", "agents", "steps", "share of changes that were dropped, on whole links"), float64(n), float64(r.dropped)/float64(max(1, r.asked)))
	}
	return nil
}

// rest measures a fleet without any change.
func (m *policyMeasurements) rest(string) error {
	for _, stops := range []bool{true, false} {
		for _, n := range m.sizes {
			r, err := m.run(policyRun{members: n, stops: stops, length: 66 * time.Second}, "no change")
			if err != nil {
				return err
			}
			if stops {
				m.loads(r, "rest", "agents", float64(n), "no change, stops")
				if r.started > 0 {
					m.addPoint(m.entry("policy.started.worst", "agent", "worst", "time_start", "s", "agents", "table", "all start at once: until the last is in the roster and takes requests"), float64(n), r.started.Seconds())
				}
			}
		}
	}
	return nil
}

// text measures changes by the size of a policy, in fleets of one size.
func (m *policyMeasurements) text(string) error {
	n := 300
	for _, text := range m.texts {
		r, err := m.run(policyRun{members: n, stops: true, every: 2 * time.Second, text: text}, "a change each 2 s")
		if err != nil {
			return err
		}
		// Traffic is scaled to the rate of changes on an ordinary day, since each change is sent completely to every member.
		rate := float64(r.inForce) / (70 - 6)
		per := func(x float64) float64 { return x / rate * 0.74 }
		note := fmt.Sprintf("by the size of a policy's text at 0.74 changes a second, %d members", n)
		m.addPoint(m.entry("policy.member.bytes_in.by_text", "agent", "day", "bytes_in", "B/s", "policy_bytes", "linear", note), float64(text), per(r.member.bytesIn))
		m.addPoint(m.entry("policy.leader.bytes_out_member.by_text", "voter", "day", "bytes_out_a_member", "B/s", "policy_bytes", "linear", note+"; the leader's for each member"), float64(text), per(r.leader.bytesOut)/float64(n))
		m.addPoint(m.entry("policy.time.by_text", "agent", "day", "time", "s", "policy_bytes", "linear", note+", 99 in 100; a stream has 12 MB a second, however many there are"), float64(text), quantile(r.everywhere, 0.99))
	}
	return nil
}

// died measures changes while one member is killed and does not come back.
func (m *policyMeasurements) died(string) error {
	for _, stops := range []bool{true, false} {
		for _, n := range m.sizes {
			r, err := m.run(policyRun{members: n, stops: stops, every: perSecond(0.74), randomTimes: true, kill: []int{n - 1}, killAt: 20 * time.Second}, "0.74 a second, one dies at 20 s")
			if err != nil {
				return err
			}
			mode := map[bool]string{true: "stops", false: "vetoes"}[stops]
			m.addPoint(m.entry("policy.dropped_"+mode+".died", "agent", "day", "share_dropped_died", "share", "agents", "table", "share of a minute's changes that were dropped; "+mode+", one machine dies and stays away"), float64(n), float64(r.dropped)/float64(max(1, r.asked)))
			if stops {
				m.addPoint(m.entry("policy.time.died", "agent", "day", "time", "s", "agents", "log", "the slowest change where a machine dies, stops"), float64(n), quantile(r.everywhere, 1))
			}
		}
	}
	return nil
}

// cutOff measures changes while one region of five is cut off for 20 s, with a one-way delay of 40 ms between regions.
func (m *policyMeasurements) cutOff(string) error {
	for _, stops := range []bool{true, false} {
		for _, n := range m.sizes {
			if n > 1000 {
				continue
			}
			c := policyRun{members: n, voters: 5, stops: stops, every: perSecond(0.74), randomTimes: true, regions: 5, delay: 40 * time.Millisecond, cut: -1}
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
				m.addPoint(m.entry("policy.time_regions.day", "agent", "day", "time_regions", "s", "agents", "log", "99 in 100, five regions, 40 ms one way between any two"), float64(n), quantile(whole.everywhere, 0.99))
			}
			m.addPoint(m.entry("policy.dropped_"+mode+".cut", "agent", "worst", "share_dropped_cut", "share", "agents", "table", "share of a minute's changes that were dropped, one region of five cut off for 20 s; "+mode), float64(n), float64(r.dropped)/float64(max(1, r.asked)))
			m.addPoint(m.entry("policy.turned_away_"+mode+".cut", "agent", "worst", "share_turned_away", "share", "agents", "table", "share of requests turned away in the region that is cut off for 20 s; "+mode), float64(n), float64(r.turned)/float64(max(1, r.turned+r.serving)))
		}
	}
	return nil
}

// stream measures the ordinary day and the worst minute, with one policy for all and with parts for services.
func (m *policyMeasurements) stream(string) error {
	for _, rate := range []float64{0.74, 7.4} {
		for _, n := range m.sizes {
			for _, parts := range []bool{false, true} {
				c := policyRun{members: n, stops: true, every: perSecond(rate), randomTimes: true, parts: parts, length: m.length}
				if rate > 1 {
					c.length = 76 * time.Second
				}
				label := fmt.Sprintf("%v a second, one text for all", rate)
				if parts {
					label = fmt.Sprintf("%v a second, parts of services", rate)
				}
				r, err := m.run(c, label)
				if err != nil {
					return err
				}
				if !parts {
					continue
				}
				when := map[bool]string{false: "day", true: "worst"}[rate > 1]
				note := fmt.Sprintf("%v changes a second of parts of 512 bytes, each of a service, one in %d for all", rate, forAll)
				m.addPoint(m.entry("policy.parts.dropped."+when, "agent", when, "share_dropped", "share", "agents", "steps", note+": share dropped, on whole links"), float64(n), float64(r.dropped)/float64(max(1, r.asked)))
				m.addPoint(m.entry("policy.parts.time."+when, "agent", when, "time", "s", "agents", "log", note+": 99 in 100, all whom it concerns"), float64(n), quantile(r.everywhere, 0.99))
				for _, who := range []struct {
					role, name string
					l          load
				}{{"agent", "member", r.member}, {"voter", "leader", r.leader}} {
					m.addPoint(m.entry("policy.parts."+who.name+".bytes_in."+when, who.role, when, "bytes_in", "B/s", "agents", "power", note), float64(n), who.l.bytesIn)
					m.addPoint(m.entry("policy.parts."+who.name+".bytes_out."+when, who.role, when, "bytes_out", "B/s", "agents", "power", note), float64(n), who.l.bytesOut)
				}
			}
		}
	}
	return nil
}

// policyOf returns the text of a policy with a class, two limits and a source for each of n services.
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

// size measures the size of a policy, by the number of services.
func (m *policyMeasurements) size(string) error {
	fmt.Fprint(m.table.to, "\n## size\n\n")
	m.table.head("services", "bytes of a policy")
	for _, n := range []int{10, 100, 990} {
		m.table.row(n, len(policyOf(n)))
		m.addPoint(m.entry("policy.size", "source", "rest", "policy_size", "B", "services", "linear", "a class, two limits and a source for each service"), float64(n), float64(len(policyOf(n))))
	}
	return nil
}
