package daemon

import (
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/host/policystore"
	"vetchhaven/internal/peer/policy"
	"vetchhaven/internal/peer/transport"
)

// policyState is what the daemon knows of the policy that its fleet agrees on. The carrier's loop tells it (served), Run's
// goroutine goes by it (turn).
type policyState struct {
	store      *policystore.Store
	disk       policy.StoredState
	diskUnused bool // disk is as it was read, and nobody has used it yet
	handoff    *policy.HandoffState
	// handoffSeq is the highest number of a question that a part before may have asked.
	handoffSeq  uint64
	applied     applied
	fingerprint string // the sum of the texts by which instances are built now: those applied, or about to be
}

// applied is by which policy the instances serve.
type applied struct {
	number      uint64 // of the part for all
	fingerprint string // of all texts, and of the changes that are allowed for besides
}

// servingState is the last word on what to serve by.
type servingState struct {
	policy.Serving
	base time.Time // of Until
	// Why the daemon can't follow it; empty: it can.
	unservable string
}

// servesSource reports whether requests of a source's instances may be taken, as far as its part goes.
func (s *servingState) servesSource(source string) bool {
	_, held := s.Lookup(source)
	return held || len(source) > policy.MaxPartNameBytes
}

const (
	reasonPolicyUnknown  = "the policy in force is not known yet"
	reasonPolicySwitched = "another policy is in force: come again at once"
	replacedGrace        = 100 * time.Millisecond // connections of copies that are being replaced may bring requests for so long
	handoverGrace        = time.Second            // and of a process that is replaced
	switchRetryInterval  = time.Second
)

// openPolicy opens what was agreed on before, and lays the policy that was in force over the file.
func (d *Daemon) openPolicy() {
	p := d.cfg.Policy
	if p == nil {
		return
	}
	d.policy.store = policystore.New(d.cfg.StateDir, p.WitnessDir, d.cfg.Peers.Name, d.log)
	first := &servingState{Serving: policy.Serving{Blocked: reasonPolicyUnknown}}
	d.serving.Store(first)
	disk, err := d.policy.store.Open()
	if err != nil {
		d.log.Error("what the fleet agreed on can't be read yet; no request is taken until it is, and is tried again", "error", err)
		return
	}
	d.policy.disk, d.policy.diskUnused = disk, true
	texts, err := policy.StoredDocuments(disk.Member)
	if err != nil {
		d.log.Error("what the fleet agreed on can't be read; no request is taken until others tell it", "error", err)
		d.policy.disk.Member = nil
		return
	}
	texts = slices.DeleteFunc(texts, func(t policy.Document) bool { return t.Part != "" && !slices.Contains(d.cfg.HeldParts(), t.Part) })
	kept := policy.Serving{Document: &texts[0], Parts: texts[1:]}
	cfg, err := d.cfg.Under(texts, nil)
	if err != nil {
		d.log.Error("this daemon can't serve by the last policy that it knows", "policy", kept.Fingerprint(), "error", err)
		return
	}
	d.cfg = cfg
	d.policy.applied, d.policy.fingerprint = applied{kept.Document.Number, kept.Fingerprint()}, kept.Fingerprint()
	if h := d.policy.handoff; h != nil && h.Number == kept.Document.Number { // requests are taken on at once
		first.Blocked, first.Document, first.Parts, first.Until, first.base = "", kept.Document, kept.Parts, policy.Never, time.Now()
		first.ServedParts = h.ServedParts(d.cfg.HeldParts(), func(part string) policy.Document { t, _ := kept.Lookup(part); return *t })
		inForce := func(id string) bool {
			return slices.ContainsFunc(texts, func(t policy.Document) bool { return t.ID == id })
		}
		if p.StopWhenIsolated || slices.ContainsFunc(policy.StoredChanges(disk.Member), func(id string) bool { return !inForce(id) }) { // or in doubt
			first.Until = max(0, h.LeaseRemaining)
		}
	}
}

// checkPolicy reports whether this daemon could serve by these texts of the parts that it holds. The carrier's loop calls it.
func (d *Daemon) checkPolicy(texts []policy.Document) (err error) {
	defer func() { // whatever is wrong with it is a reason not to agree, and no more
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	own := d.ownFile.Load()
	return daemonconfig.CheckUnder(own.path, own.text, texts)
}

// reloadPolicy reads what the last life of the member left on the disk. Without that no member begins: a voter would forget
// its vote and what it acknowledged.
func (d *Daemon) reloadPolicy() error {
	if d.policy.diskUnused {
		return nil
	}
	disk, err := d.policy.store.Reload()
	if err != nil {
		return fmt.Errorf("what the fleet agreed on can't be read: %w", err)
	}
	d.policy.disk, d.policy.diskUnused = disk, true
	return nil
}

// newPolicyDriver is the daemon's part in the policy, for a member's life.
func (d *Daemon) newPolicyDriver(life uint64) *transport.PolicyDriver {
	p := d.cfg.Policy
	if p == nil {
		return nil
	}
	store := d.policy.store
	disk := d.policy.disk
	d.policy.diskUnused = false
	s := p.Settings
	s.Name, s.RunID, s.Check, s.Handoff, s.Parts = d.cfg.Peers.Name, life, d.checkPolicy, d.policy.handoff, d.cfg.HeldParts()
	if s.Handoff != nil {
		d.policy.handoffSeq = max(d.policy.handoffSeq, s.Handoff.Seq)
	}
	if s.Handoff != nil { // by this very file: nobody else had it meanwhile
		disk.ProvenCurrent = true
	}
	d.policy.handoff = nil
	n, err := policy.New(s, disk, rand.Uint64())
	if err != nil {
		d.log.Error("what the fleet agreed on makes no sense here, and is learnt anew", "error", err)
		disk.Member = nil
		if n, err = policy.New(s, disk, rand.Uint64()); err != nil {
			d.log.Error("no policy is agreed on", "error", err)
			return nil
		}
	}
	var a *transport.PolicyDriver
	put := store.Writer(func(seq uint64, err error) { a.Persisted(seq, err) })
	a = transport.NewPolicyDriver(n, put, d.servingChanged)
	return a
}

// handoffSeqStep is more questions than a part asks in its life: the numbers of the one that takes its place begin behind them,
// so that no answer to the one before is taken for its own.
const handoffSeqStep = 1 << 32

// saveHandoff keeps what a part that has failed knew of the policy, for the one that is started in its place: requests are
// taken on meanwhile, as long as the last word allows.
func (d *Daemon) saveHandoff() {
	s := d.serving.Load()
	if s == nil || s.Blocked != "" || s.Document == nil || s.Standalone {
		return
	}
	left := time.Duration(0)
	if s.Until < policy.Never {
		left = time.Until(s.base.Add(s.Until))
	}
	d.policy.handoffSeq += handoffSeqStep
	d.policy.handoff = &policy.HandoffState{Number: s.Document.Number, LeaseRemaining: max(0, left), Seq: d.policy.handoffSeq, Format: policy.FormatVersion}
	for _, part := range s.ServedParts {
		t, _ := s.Lookup(part)
		d.policy.handoff.Parts = append(d.policy.handoff.Parts, policy.DocumentRef{Part: part, Number: t.Number, ID: t.ID})
	}
}

// servingChanged takes the word on what to serve by. The carrier's loop calls it; it does not wait. A lease that is longer, or
// over, holds at once; another policy as soon as Run's goroutine comes to it.
func (d *Daemon) servingChanged(s policy.Serving, base time.Time) {
	next := &servingState{Serving: s, base: base}
	if last := d.serving.Load(); last != nil && last.unservable != "" && last.Document != nil && s.Document != nil && last.Fingerprint() == s.Fingerprint() {
		next.unservable = last.unservable
	}
	d.serving.Store(next)
	d.agents.Range(func(_, a any) bool {
		d.applyAdmission(a.(agentHandle))
		return true
	})
	select {
	case d.servingUpdated <- struct{}{}:
	default:
	}
}

// policyAdmits reports whether requests are taken, as far as the policy goes.
func (d *Daemon) policyAdmits() bool {
	s := d.serving.Load()
	return s == nil || s.Blocked == "" && s.unservable == ""
}

// applyAdmission tells an instance until when it may take requests. One that serves by another policy than the last word's takes
// them no longer than both words allow: a lease that is new is not its own, however short the time until it is replaced.
func (d *Daemon) applyAdmission(h agentHandle) {
	s, a := d.serving.Load(), h.agent
	if _, closing := d.replaced.Load(a); closing || s == nil { // what it was told as it was replaced stands
		return
	}
	switch {
	case s.unservable != "":
		a.AdmitUntil(time.Time{}, s.unservable)
	case s.Blocked != "":
		a.AdmitUntil(time.Time{}, s.Blocked)
	case !s.servesSource(h.source):
		a.AdmitUntil(time.Time{}, "the policy of "+h.source+" is not known yet")
	case s.Until >= policy.Never && h.fingerprint == s.Fingerprint():
		a.AdmitAlways()
	case s.Until >= policy.Never:
	case h.fingerprint == s.Fingerprint():
		a.AdmitUntil(s.base.Add(s.Until), d.leaseExpiredReason())
	default:
		a.ShortenAdmission(s.base.Add(s.Until), d.leaseExpiredReason())
	}
}

// leaseExpiredReason is why no request is taken past a lease.
func (d *Daemon) leaseExpiredReason() string {
	return "no voter of the fleet's policy has answered for " + d.policyLease.String()
}

// hostInstance makes an instance's copy known by the policy that it is built by, and has it take requests as the last word allows.
func (d *Daemon) hostInstance(p *hostedInstance) {
	h := agentHandle{p.agent, p.spec.Source, d.policy.fingerprint}
	d.agents.Store(p.number, h)
	d.applyAdmission(h)
}

// switchPolicy has all instances serve by what the last word says. All that can be wrong leaves them taking no request, which
// they say.
func (d *Daemon) switchPolicy() {
	s := d.serving.Load()
	if s == nil || s.Document == nil || d.cfg.Policy == nil || d.handingOver {
		return
	}
	want := applied{s.Document.Number, s.Fingerprint()}
	if want == d.policy.applied || s.unservable != "" {
		return
	}
	cfg, err := d.cfg.Under(servedDocuments(&s.Serving), s.Preparing)
	if err == nil {
		d.policy.fingerprint = want.fingerprint
		err = d.switchTo(cfg)
	}
	if err != nil {
		d.policy.fingerprint = d.policy.applied.fingerprint
		what := "this daemon can't serve by policy " + s.Fingerprint()
		if len(s.Preparing) > 0 {
			what = "this daemon does not know whether policy or changes are in force, and can't serve by all: " + s.Fingerprint()
		}
		d.log.Error(what, "error", err)
		unfit := *s
		unfit.unservable = what + ": " + err.Error()
		if d.serving.CompareAndSwap(s, &unfit) {
			d.agents.Range(func(_, a any) bool { d.applyAdmission(a.(agentHandle)); return true })
		} else {
			time.AfterFunc(switchRetryInterval, d.scheduleSwitch)
		}
		return
	}
	d.policy.applied = want
	for _, p := range d.instances { // those that the change left as they were serve by it as well
		if p.agent != nil {
			d.hostInstance(p)
		}
	}
	d.log.Info("instances serve by policy", "number", want.number, "texts", want.fingerprint)
}

// announceParts tells the fleet which parts this daemon holds from now on.
func (d *Daemon) announceParts() {
	if d.cfg.Policy == nil {
		return
	}
	all := d.cfg.HeldParts()
	d.heldParts.Store(&all)
	d.background.Go(func() {
		for told := false; !told && d.ctx.Err() == nil; time.Sleep(50 * time.Millisecond) { // the part that is told may be one that is replaced
			err := d.onPolicy(func(n *policy.Node, _ time.Duration) []policy.Event {
				want := *d.heldParts.Load()
				if told = slices.Equal(n.Status().ConfiguredParts, want); told {
					return nil
				}
				return []policy.Event{policy.SetParts{Parts: want}}
			})
			if err != nil { // the next one begins with what the daemon holds then
				return
			}
		}
	})
}

func (d *Daemon) scheduleSwitch() {
	select {
	case d.servingUpdated <- struct{}{}:
	default:
	}
}

// switchTo changes instances over to another configuration in one go. What they have taken is finished by the old one, and
// repeated by the shorter window of the two.
func (d *Daemon) switchTo(cfg *daemonconfig.Config) error {
	old := map[*core.Agent]daemonconfig.Instance{}
	for _, p := range d.instances {
		if p.agent != nil {
			old[p.agent] = p.spec
		}
	}
	if _, err := d.apply(cfg); err != nil {
		return err
	}
	until := time.Now().Add(replacedGrace)
	for _, p := range d.instances {
		delete(old, p.agent)
	}
	for a, spec := range old {
		d.replaced.Store(a, true)
		a.ShortenAdmission(until, reasonPolicySwitched)
		i := slices.IndexFunc(cfg.Instances, func(n daemonconfig.Instance) bool { return n.Name == spec.Name })
		if i >= 0 {
			a.NarrowDedupWindows(shortenedWindows(&spec.Agent, &cfg.Instances[i].Agent))
		}
	}
	return nil
}

// shortenedWindows are what repeats of requests under way are held to besides, by class; 0: nothing more.
func shortenedWindows(was, now *core.Config) []time.Duration {
	all := make([]time.Duration, len(was.Settings.Classes))
	for i, c := range was.Settings.Classes {
		if c.Effect != decide.Keyed {
			continue
		}
		n := slices.Index(now.Site.Classes, was.Site.Classes[i])
		switch {
		case n < 0 || now.Settings.Classes[n].Effect == decide.NonIdempotent:
			all[i] = 1 // not at all
		case now.Settings.Classes[n].Effect == decide.Keyed && now.Settings.Classes[n].DedupWindow < c.DedupWindow:
			all[i] = now.Settings.Classes[n].DedupWindow
		}
	}
	return all
}

// applyBans has an instance's servers out that the file or the policy has out, and no others. It reports whether it heard.
func (d *Daemon) applyBans(p *hostedInstance) bool {
	if p.agent == nil {
		return true
	}
	var want []string
	for _, b := range d.cfg.Bans {
		if (b.Source == "" || b.Source == p.spec.Source) && !slices.Contains(want, b.Server) {
			want = append(want, b.Server)
		}
	}
	for _, s := range want {
		if !slices.Contains(p.barredServers, s) {
			if !p.agent.TryForceServerDisabled(s, true) {
				return false
			}
			p.barredServers = append(p.barredServers, s)
		}
	}
	for _, s := range slices.Clone(p.barredServers) {
		if !slices.Contains(want, s) {
			if !p.agent.TryForceServerDisabled(s, false) {
				return false
			}
			p.barredServers = slices.DeleteFunc(p.barredServers, func(b string) bool { return b == s })
		}
	}
	return true
}

// PolicyChange is a change that is asked for at a daemon.
type PolicyChange struct {
	ID       string   `json:"id"` // empty: a new one is given
	Body     string   `json:"body"`
	Reason   string   `json:"reason"`
	Author   string   `json:"author"`
	Excluded []string `json:"without"`
	Base     *uint64  `json:"base"` // the number in force that its author saw; nil: the daemon's
	// Parts are the texts of several parts, by name, "" for what holds for all, with the numbers that their author saw, in place of
	// Body and Base. A number that is missing is the daemon's, which holds that part.
	Parts map[string]string `json:"parts,omitempty"`
	Bases map[string]uint64 `json:"bases,omitempty"`
}

// PolicyStatus is how a daemon stands towards the fleet's policy.
type PolicyStatus struct {
	policy.Status
	Body    string            `json:"body"`
	Bodies  map[string]string `json:"bodies,omitempty"` // of services' parts that it holds
	Applied uint64            `json:"instances_serve_by"`
	// Members that the view knows alive and that the roster does not have: they go by their own files, or take nothing. Known at voters.
	OutsideRoster []string `json:"not_in_the_roster,omitempty"`
	Unservable    string   `json:"unfit,omitempty"`
}

// Policy is how the daemon stands towards the fleet's policy.
func (d *Daemon) Policy() (s PolicyStatus, err error) {
	err = d.onPolicy(func(n *policy.Node, now time.Duration) []policy.Event {
		s.Status, s.Body, s.Bodies = n.Status(), string(n.ActivePolicy().Body), map[string]string{}
		for _, t := range s.Parts {
			s.Bodies[t.Part] = string(n.ActiveDocument(t.Part).Body)
		}
		return nil
	})
	d.call(func() { s.Applied = d.policy.applied.number })
	if v, ok := d.MembershipStatus(); ok && len(s.Roster) > 0 {
		for _, m := range v.Members {
			if m.State == "alive" && !slices.Contains(s.Roster, m.Name) {
				s.OutsideRoster = append(s.OutsideRoster, m.Name)
			}
		}
	}
	if w := d.serving.Load(); w != nil {
		s.Unservable = w.unservable
	}
	return s, err
}

func (d *Daemon) onPolicy(f func(n *policy.Node, now time.Duration) []policy.Event) error {
	p := d.activePeering.Load()
	if p == nil {
		return transport.ErrNoPolicy
	}
	return p.transport.Policy(f)
}

// ProposePolicy asks the fleet for a change, and says by which ID it is known. What becomes of it, PolicyFate says.
func (d *Daemon) ProposePolicy(c PolicyChange) (id string, err error) {
	if c.Parts == nil {
		c.Parts = map[string]string{"": c.Body}
		if c.Base != nil {
			c.Bases = map[string]uint64{"": *c.Base}
		}
	}
	if c.ID == "" {
		u := uuid.New()
		c.ID = hex.EncodeToString(u[:8])
	}
	var wrong error
	err = d.onPolicy(func(n *policy.Node, _ time.Duration) []policy.Event {
		var p policy.Proposal
		if p, wrong = c.proposal(n); wrong == nil {
			if wrong = d.checkChange(n, &p.Document); wrong != nil {
				wrong = fmt.Errorf("not asked for: %w", wrong)
			}
		}
		if wrong != nil {
			return nil
		}
		return []policy.Event{policy.Propose{Proposal: p}}
	})
	return c.ID, errors.Join(err, wrong)
}

// proposal is the change as the fleet is asked for it.
func (c *PolicyChange) proposal(n *policy.Node) (p policy.Proposal, err error) {
	holds := n.Status().ConfiguredParts
	p.Excluded = c.Excluded
	for i, part := range slices.Sorted(maps.Keys(c.Parts)) {
		body := []byte(c.Parts[part])
		base, ok := c.Bases[part]
		if !ok {
			if part != "" && !slices.Contains(holds, part) {
				return p, fmt.Errorf("not asked for: this daemon has no instance of %s: say of which number the change is made, or ask at one that has", part)
			}
			base = n.ActiveDocument(part).Number
		}
		if d := (policy.Document{Part: part, Body: body, Digest: policy.DigestOf(body)}); i == 0 {
			d.ID, d.Author, d.Reason, d.CreatedMS = c.ID, c.Author, c.Reason, time.Now().UnixMilli()
			p.Document, p.Base = d, base
		} else {
			p.Document.AdditionalParts, p.Bases = append(p.Document.AdditionalParts, d), append(p.Bases, base)
		}
	}
	return p, p.Check()
}

// checkChange reports whether a change makes sense: here by all that is in force, as far as this daemon holds its parts.
func (d *Daemon) checkChange(n *policy.Node, c *policy.Document) error {
	s := n.Status()
	var held []policy.Document
	for _, x := range c.Documents() {
		if x.Part == "" || slices.Contains(s.ConfiguredParts, x.Part) {
			held = append(held, x)
		} else if err := daemonconfig.CheckServiceDocument(&x); err != nil {
			return err
		}
	}
	texts := []policy.Document{n.ActivePolicy()}
	for _, t := range s.Parts {
		texts = append(texts, n.ActiveDocument(t.Part))
	}
	for i := range held {
		held[i].AdditionalParts = nil
		texts = daemonconfig.ReplaceDocuments(texts, []*policy.Document{&held[i]})
	}
	return d.checkPolicy(texts)
}

// ChangeStatus is what became of a change, as far as this daemon has heard; it goes on asking.
func (d *Daemon) ChangeStatus(id string) (f policy.ChangeStatus, err error) {
	err = d.onPolicy(func(n *policy.Node, _ time.Duration) []policy.Event {
		f = n.ChangeStatus(id)
		return []policy.Event{policy.WatchChange{ID: id}}
	})
	return f, err
}

// AbortPolicy asks the fleet to drop a change, also one of which nobody has heard yet.
func (d *Daemon) AbortPolicy(id, by, reason string) error {
	if id == "" {
		return errors.New("no change is named")
	}
	return d.onPolicy(func(*policy.Node, time.Duration) []policy.Event {
		return []policy.Event{policy.Propose{Proposal: policy.Proposal{AbortID: id, Document: policy.Document{Author: by, Reason: reason}}}}
	})
}

// PolicyHistory are the last changes, and the text of a part with a number; 0: of a service's part the one in force.
func (d *Daemon) PolicyHistory(part string, number uint64, wait time.Duration) (past *policy.History, err error) {
	ask := func(*policy.Node, time.Duration) []policy.Event {
		return []policy.Event{policy.History{Part: part, Number: number}}
	}
	if err := d.onPolicy(ask); err != nil {
		return nil, err
	}
	for end, n := time.Now().Add(wait), 1; time.Now().Before(end); n++ {
		time.Sleep(20 * time.Millisecond)
		if err := d.onPolicy(func(n *policy.Node, _ time.Duration) []policy.Event { past = n.History(); return nil }); err != nil {
			return nil, err
		}
		if past != nil && past.Number == number && past.Part == part {
			return past, nil
		}
		if n%20 == 0 {
			_ = d.onPolicy(ask)
		}
	}
	return nil, errors.New("no voter answers")
}

// PolicyVoters asks for another voter in the place of one.
func (d *Daemon) PolicyVoters(r policy.ReplaceVoter) error {
	return d.onPolicy(func(*policy.Node, time.Duration) []policy.Event { return []policy.Event{r} })
}

// PolicyCommand passes on an operator's word: to go on alone, or to trust the disk.
func (d *Daemon) PolicyCommand(e policy.Event) error {
	return d.onPolicy(func(*policy.Node, time.Duration) []policy.Event { return []policy.Event{e} })
}

// ownFile is the daemon's own file as it was last read.
type ownFile struct {
	path string
	text []byte
}

// servedDocuments returns the documents by which a member serves, the global one first.
func servedDocuments(s *policy.Serving) []policy.Document {
	return append([]policy.Document{*s.Document}, s.Parts...)
}
