package harness

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/faulttest/plan"
	"vetchhaven/internal/peer/policy"
	"vetchhaven/internal/peer/transport"
)

// policies are the policy changes that a fault test proposes. Each version of a part's text contains, besides the
// common classes, a class that no other version has, its marker. Requests to the markers show which version an instance
// applies.
type policies struct {
	mu      sync.Mutex
	changes int
	markers map[string][]string          // by part, oldest first; the first one of the global part is that of the daemons' files
	numbers map[string]map[string]uint64 // policy numbers of the committed changes, by change ID and part
	lines   []checker.Line               // poll results; policy numbers are filled in at the end
}

const (
	pollInterval    = 30 * time.Millisecond // between two polls of a daemon
	pollTimeout     = 2 * time.Second
	outcomeInterval = 100 * time.Millisecond
	dropAfter       = 5 * time.Second  // after which operators drop a change that no daemon has reported as under way
	outcomeTimeout  = 90 * time.Second // after which operators stop polling for a change's outcome
)

// policy writes the [policy] section into a daemon's file.
func (r *runner) policy(b *strings.Builder, d *daemon) {
	p := r.p.Policy
	if p == nil {
		return
	}
	var voters []string
	for _, n := range p.Voters {
		voters = append(voters, fmt.Sprintf("%q", plan.Name(n)))
	}
	fmt.Fprintf(b, "\n[policy]\nvoters = [%s]\ncut_off = %q\nlease = \"%v\"\nwithin = \"%v\"\n", strings.Join(voters, ", "), map[bool]string{true: "stops", false: "vetoes"}[p.StopWhenIsolated], p.Lease, p.PrepareTimeout)
	if p.ServeLastKnown {
		fmt.Fprintln(b, `when_alone = "last"`)
	}
	if p.Witness {
		fmt.Fprintf(b, "witness = %q\n", d.dir)
	}
}

// partText returns a part's text with its marker class.
func partText(part, marker string) string {
	one := func(name string) string {
		return fmt.Sprintf("[[class]]\nname = %q\nrepeats = \"safe\"\naim = \"500ms\"\ndeadline = \"%v\"\nworth = 1.0\n\n", name, plan.Deadline)
	}
	if part != "" {
		return one(marker)
	}
	return one("get") + one(marker)
}

// heldParts returns the parts of the policy that a daemon holds, that is, its additional services.
func (r *runner) heldParts(d *daemon) []string {
	if r.p.Policy == nil {
		return nil
	}
	return r.p.Policy.Of(d.n)
}

// ownMarker returns the class that distinguishes a daemon's own file from a policy.
func (r *runner) ownMarker() string {
	if r.p.Policy == nil {
		return ""
	}
	_, text, _ := strings.Cut(partText("", "p0"), "\n\n")
	return "\n" + text
}

// startPolling records how the daemons agree on policies and starts to poll each of them.
func (r *runner) startPolling(ctx context.Context) {
	p := r.p.Policy
	var voters []string
	for _, n := range p.Voters {
		voters = append(voters, plan.Name(n))
	}
	back := policy.Settings{Lease: p.Lease, ClockDrift: policy.DefaultClockDrift}
	r.record(checker.Line{What: checker.Agreed, Hard: p.StopWhenIsolated, PauseMS: back.LeaseExpiry().Milliseconds() + 1, Why: strings.Join(voters, " ")})
	r.policies = policies{markers: map[string][]string{"": {"p0"}}, numbers: map[string]map[string]uint64{}}
	for _, d := range slices.Clone(r.daemons) {
		if r.o.SkipPolicyPolling {
			break
		}
		for _, part := range append([]string{""}, r.heldParts(d)...) {
			r.background.Go(func() { r.poll(ctx, d, part) })
		}
	}
}

// poll repeatedly requests the markers of a part from a daemon and records which one it serves.
func (r *runner) poll(ctx context.Context, d *daemon, part string) {
	c := newClients(filepath.Join(d.dir, cmp.Or(part, "client")))
	defer c.http.CloseIdleConnections()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	now := 0
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		pid := d.currentPID()
		if pid == 0 {
			continue
		}
		r.policies.mu.Lock()
		markers := slices.Clone(r.policies.markers[part])
		r.policies.mu.Unlock()
		var order []int
		if now < len(markers) {
			order = append(order, now)
		}
		for k := len(markers) - 1; k >= 0; k-- {
			if k != now {
				order = append(order, k)
			}
		}
		begun := transport.MonotonicNanos()
		// If two passes find no marker and the daemon still serves the class get, it applied its own file when the
		// first pass began.
		if part != "" {
			for k := len(markers) - 1; k >= 0; k-- {
				order = append(order, k)
			}
			order = append(order, len(markers))
			markers = append(markers, "get")
		}
		for _, k := range order {
			at := transport.MonotonicNanos()
			if markers[k] == "get" {
				at = begun
			}
			status, body := c.probe(ctx, fmt.Sprintf("%s/look-%s-%s-%d-%d", markers[k], d.name, part, n, k))
			l := checker.Line{T: at, By: checker.FaultTest, What: checker.RequestAdmitted, Of: d.name, PID: pid, Server: markers[k], Part: part}
			switch {
			case status == http.StatusNotFound:
				continue
			case status == http.StatusServiceUnavailable && strings.Contains(body, "polic"):
				l.What, l.Why = checker.PolicyRejected, body
			case status == http.StatusOK || status == http.StatusServiceUnavailable || status == http.StatusBadGateway:
				if now = k; markers[k] == "get" {
					now = 0
				}
			default:
				l.What = ""
			}
			if l.What != "" && d.currentPID() == pid {
				r.policies.mu.Lock()
				r.policies.lines = append(r.policies.lines, l)
				r.policies.mu.Unlock()
			}
			break
		}
	}
}

func (c *clients) probe(ctx context.Context, path string) (status int, body string) {
	ctx, end := context.WithTimeout(ctx, pollTimeout)
	defer end()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://daemon/"+path, nil)
	if err != nil {
		return 0, ""
	}
	req.Header.Set("X-Trace-Id", strings.ReplaceAll(path, "/", "-"))
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1000))
	return resp.StatusCode, string(text)
}

// apply proposes a policy change at a daemon, as its operator would, and follows the change's outcome: at that
// daemon, or at any other once that daemon has ended.
func (r *runner) apply(ctx context.Context, d *daemon, e plan.Event) error {
	if d.pid == 0 || d.paused {
		return nil
	}
	parts := slices.Sorted(slices.Values(e.Parts)) // in the daemon's order, because authors are notified of the first part's number
	if len(parts) == 0 {
		parts = []string{""}
	}
	r.policies.mu.Lock()
	r.policies.changes++
	id, marker := fmt.Sprint("c", r.policies.changes), fmt.Sprint("p", r.policies.changes)
	texts := map[string]string{}
	for _, part := range parts {
		r.policies.markers[part] = append(r.policies.markers[part], marker)
		texts[part] = partText(part, marker)
	}
	r.policies.mu.Unlock()
	var without []string
	for _, n := range e.To {
		without = append(without, plan.Name(n))
	}
	r.record(checker.Line{What: checker.Proposed, Of: d.name, ID: id, Why: strings.Join(without, " "), Parts: checker.PartsText(parts)})
	if e.Kind != "" {
		texts = map[string]string{"": e.Kind}
	}
	data, err := json.Marshal(map[string]any{"id": id, "parts": texts, "reason": "drill", "author": "drill at " + d.name, "without": without})
	if err != nil {
		return err
	}
	r.background.Go(func() {
		err := r.adminWith(ctx, d, http.MethodPost, "/policy/apply", data, nil)
		if err != nil && strings.Contains(err.Error(), "not asked for") {
			r.record(checker.Line{What: checker.AuthorNotified, Of: d.name, ID: id, State: "dropped", Why: err.Error()})
			return
		}
		r.follow(ctx, d, id, time.Now())
	})
	return nil
}

func (r *runner) follow(ctx context.Context, d *daemon, id string, began time.Time) {
	lastReportAt := time.Now()
	for at := d; time.Since(began) < outcomeTimeout; {
		if sleep(ctx, outcomeInterval) != nil {
			return
		}
		if at.currentPID() == 0 {
			if i := slices.IndexFunc(r.daemons, func(o *daemon) bool { return o.currentPID() != 0 }); i >= 0 {
				at = r.daemons[i]
			}
			continue
		}
		var f struct {
			State, By, Why string
			Number         uint64
			Parts          []policy.DocumentRef
		}
		request, end := context.WithTimeout(ctx, 3*time.Second)
		err := r.adminWith(request, at, http.MethodGet, "/policy/fate?id="+url.QueryEscape(id), nil, func(body io.Reader) error { return json.NewDecoder(body).Decode(&f) })
		end()
		switch {
		case err != nil:
		case f.State == "in force", f.State == "dropped":
			r.policies.mu.Lock()
			if f.State == "in force" && !strings.HasPrefix(f.Why, "it was in force") {
				r.policies.numbers[id] = map[string]uint64{"": f.Number}
				for _, x := range f.Parts {
					r.policies.numbers[id][x.Part] = x.Number
				}
			}
			r.policies.mu.Unlock()
			r.record(checker.Line{What: checker.AuthorNotified, Of: at.name, ID: id, State: f.State, Number: f.Number, Why: strings.TrimPrefix(f.By+": "+f.Why, ": ")})
			return
		case f.State == "under way":
			lastReportAt = time.Now()
		case time.Since(lastReportAt) > dropAfter && at != d:
			_ = r.admin(ctx, at, http.MethodPost, "/policy/drop?id="+url.QueryEscape(id)+"&by=drill&reason=given+up", nil)
			lastReportAt = time.Now()
		}
	}
}

// pollResults returns the poll results with their policy numbers, which are known only at the end, when the authors
// have been notified of the numbers of their changes.
func (r *runner) pollResults() []checker.Line {
	r.policies.mu.Lock()
	defer r.policies.mu.Unlock()
	var all []checker.Line
	for _, l := range r.policies.lines {
		if l.What == checker.RequestAdmitted {
			id := "c" + strings.TrimPrefix(l.Server, "p")
			if id == "c0" || l.Server == "get" {
				id = ""
			}
			n, ok := r.policies.numbers[id][l.Part]
			if !ok && id != "" { // no operator was notified that this change came into force
				n = 1 << 32
			}
			l.ID, l.Number = id, n
		}
		l.Server = ""
		all = append(all, l)
	}
	return all
}
