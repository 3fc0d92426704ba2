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
	"vetchhaven/internal/peer/policy"
	"vetchhaven/internal/peer/transport"
	"vetchhaven/internal/tomlfile"
)

// agreed is what the daemon knows of the policy that its fleet agrees on. The carrier's loop tells it (served), Run's
// goroutine goes by it (turn).
type agreed struct {
	store  *policyStore
	disk   policy.StoredState
	opened bool // disk is as it was read, and nobody has used it yet
	handed *policy.HandoffState
	// handedSeq is the highest number of a question that a part before may have asked.
	handedSeq uint64
	applied   applied
	serves    string // the sum of the texts by which instances are built now: those applied, or about to be
}

// applied is by which policy the instances serve.
type applied struct {
	number uint64 // of the part for all
	sum    string // of all texts, and of the changes that are allowed for besides
}

// serving is the last word on what to serve by.
type serving struct {
	policy.Serving
	base time.Time // of Until
	// Why the daemon can't follow it; empty: it can.
	unfit string
}

// holds reports whether requests of a source's instances may be taken, as far as its part goes.
func (s *serving) holds(source string) bool {
	_, held := s.Lookup(source)
	return held || len(source) > policy.MaxPartNameBytes
}

const (
	notKnown  = "the policy in force is not known yet"
	switched  = "another policy is in force: come again at once"
	lateFor   = 100 * time.Millisecond // connections of copies that are being replaced may bring requests for so long
	lateAfter = time.Second            // and of a process that is replaced
	tryAgain  = time.Second
)

// openPolicy opens what was agreed on before, and lays the policy that was in force over the file.
func (d *Daemon) openPolicy() {
	p := d.cfg.Policy
	if p == nil {
		return
	}
	d.policy.store = newPolicyStore(d.cfg.StateDir, p.Witness, d.cfg.Peers.Name, d.log)
	first := &serving{Serving: policy.Serving{Blocked: notKnown}}
	d.serving.Store(first)
	disk, err := d.policy.store.open()
	if err != nil {
		d.log.Error("what the fleet agreed on can't be read yet; no request is taken until it is, and is tried again", "error", err)
		return
	}
	d.policy.disk, d.policy.opened = disk, true
	texts, err := policy.StoredDocuments(disk.Member)
	if err != nil {
		d.log.Error("what the fleet agreed on can't be read; no request is taken until others tell it", "error", err)
		d.policy.disk.Member = nil
		return
	}
	texts = slices.DeleteFunc(texts, func(t policy.Document) bool { return t.Part != "" && !slices.Contains(heldBy(d.cfg), t.Part) })
	kept := policy.Serving{Document: &texts[0], Parts: texts[1:]}
	cfg, err := d.under(d.cfg, texts, nil)
	if err != nil {
		d.log.Error("this daemon can't serve by the last policy that it knows", "policy", kept.Fingerprint(), "error", err)
		return
	}
	d.cfg = cfg
	d.policy.applied, d.policy.serves = applied{kept.Document.Number, kept.Fingerprint()}, kept.Fingerprint()
	if h := d.policy.handed; h != nil && h.Number == kept.Document.Number { // requests are taken on at once
		first.Blocked, first.Document, first.Parts, first.Until, first.base = "", kept.Document, kept.Parts, policy.Never, time.Now()
		first.ServedParts = h.ServedParts(heldBy(d.cfg), func(part string) policy.Document { t, _ := kept.Lookup(part); return *t })
		inForce := func(id string) bool {
			return slices.ContainsFunc(texts, func(t policy.Document) bool { return t.ID == id })
		}
		if p.StopWhenIsolated || slices.ContainsFunc(policy.StoredChanges(disk.Member), func(id string) bool { return !inForce(id) }) { // or in doubt
			first.Until = max(0, h.LeaseRemaining)
		}
	}
}

// under is the daemon's configuration under the parts' texts, or what these and the changes that may be in force in their
// place all allow.
func (d *Daemon) under(cfg *Config, texts []policy.Document, both []*policy.Document) (*Config, error) {
	over, err := overlayOf(texts)
	if err == nil && len(both) > 0 {
		var other *overlay
		if other, err = overlayOf(lay(texts, both)); err == nil {
			var own file
			if err = parseOwn(cfg, &own); err == nil {
				over, err = meet(over.complete(&own), other.complete(&own))
			}
		}
	}
	if err != nil {
		return nil, err
	}
	return build(cfg.Path, cfg.data, over)
}

// checkPolicy reports whether this daemon could serve by these texts of the parts that it holds. The carrier's loop calls it.
func (d *Daemon) checkPolicy(texts []policy.Document) (err error) {
	defer func() { // whatever is wrong with it is a reason not to agree, and no more
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	over, err := overlayOf(texts)
	if err != nil {
		return err
	}
	host := d.host.Load()
	_, err = build(host.Path, host.data, over)
	return err
}

// readPolicy reads what the last life of the member left on the disk. Without that no member begins: a voter would forget
// its vote and what it acknowledged.
func (d *Daemon) readPolicy() error {
	if d.policy.opened {
		return nil
	}
	disk, err := d.policy.store.reload()
	if err != nil {
		return fmt.Errorf("what the fleet agreed on can't be read: %w", err)
	}
	d.policy.disk, d.policy.opened = disk, true
	return nil
}

// newAgreement is the daemon's part in the policy, for a member's life.
func (d *Daemon) newAgreement(life uint64) *transport.PolicyDriver {
	p := d.cfg.Policy
	if p == nil {
		return nil
	}
	store := d.policy.store
	disk := d.policy.disk
	d.policy.opened = false
	s := p.Settings
	s.Name, s.RunID, s.Check, s.Handoff, s.Parts = d.cfg.Peers.Name, life, d.checkPolicy, d.policy.handed, heldBy(d.cfg)
	if s.Handoff != nil {
		d.policy.handedSeq = max(d.policy.handedSeq, s.Handoff.Seq)
	}
	if s.Handoff != nil { // by this very file: nobody else had it meanwhile
		disk.ProvenCurrent = true
	}
	d.policy.handed = nil
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
	put := store.writer(func(seq uint64, err error) { a.Persisted(seq, err) })
	a = transport.NewPolicyDriver(n, put, d.served)
	return a
}

// handOnStep is more questions than a part asks in its life: the numbers of the one that takes its place begin behind them,
// so that no answer to the one before is taken for its own.
const handOnStep = 1 << 32

// handOn keeps what a part that has failed knew of the policy, for the one that is started in its place: requests are
// taken on meanwhile, as long as the last word allows.
func (d *Daemon) handOn() {
	s := d.serving.Load()
	if s == nil || s.Blocked != "" || s.Document == nil || s.Standalone {
		return
	}
	left := time.Duration(0)
	if s.Until < policy.Never {
		left = time.Until(s.base.Add(s.Until))
	}
	d.policy.handedSeq += handOnStep
	d.policy.handed = &policy.HandoffState{Number: s.Document.Number, LeaseRemaining: max(0, left), Seq: d.policy.handedSeq, Format: policy.FormatVersion}
	for _, part := range s.ServedParts {
		t, _ := s.Lookup(part)
		d.policy.handed.Parts = append(d.policy.handed.Parts, policy.DocumentRef{Part: part, Number: t.Number, ID: t.ID})
	}
}

// served takes the word on what to serve by. The carrier's loop calls it; it does not wait. A lease that is longer, or
// over, holds at once; another policy as soon as Run's goroutine comes to it.
func (d *Daemon) served(s policy.Serving, base time.Time) {
	next := &serving{Serving: s, base: base}
	if last := d.serving.Load(); last != nil && last.unfit != "" && last.Document != nil && s.Document != nil && last.Fingerprint() == s.Fingerprint() {
		next.unfit = last.unfit
	}
	d.serving.Store(next)
	d.agents.Range(func(_, a any) bool {
		d.gate(a.(hosted))
		return true
	})
	select {
	case d.policied <- struct{}{}:
	default:
	}
}

// knowsPolicy reports whether requests are taken, as far as the policy goes.
func (d *Daemon) knowsPolicy() bool {
	s := d.serving.Load()
	return s == nil || s.Blocked == "" && s.unfit == ""
}

// gate tells an instance until when it may take requests. One that serves by another policy than the last word's takes
// them no longer than both words allow: a lease that is new is not its own, however short the time until it is replaced.
func (d *Daemon) gate(h hosted) {
	s, a := d.serving.Load(), h.agent
	if _, closing := d.closing.Load(a); closing || s == nil { // what it was told as it was replaced stands
		return
	}
	switch {
	case s.unfit != "":
		a.AdmitUntil(time.Time{}, s.unfit)
	case s.Blocked != "":
		a.AdmitUntil(time.Time{}, s.Blocked)
	case !s.holds(h.source):
		a.AdmitUntil(time.Time{}, "the policy of "+h.source+" is not known yet")
	case s.Until >= policy.Never && h.serves == s.Fingerprint():
		a.AdmitAlways()
	case s.Until >= policy.Never:
	case h.serves == s.Fingerprint():
		a.AdmitUntil(s.base.Add(s.Until), d.leaseOver())
	default:
		a.ShortenAdmission(s.base.Add(s.Until), d.leaseOver())
	}
}

// leaseOver is why no request is taken past a lease.
func (d *Daemon) leaseOver() string {
	return "no voter of the fleet's policy has answered for " + d.lease.String()
}

// hostCopy makes an instance's copy known by the policy that it is built by, and has it take requests as the last word allows.
func (d *Daemon) hostCopy(p *part) {
	h := hosted{p.agent, p.spec.Source, d.policy.serves}
	d.agents.Store(p.number, h)
	d.gate(h)
}

// turn has all instances serve by what the last word says. All that can be wrong leaves them taking no request, which
// they say.
func (d *Daemon) turn() {
	s := d.serving.Load()
	if s == nil || s.Document == nil || d.cfg.Policy == nil || d.handing {
		return
	}
	want := applied{s.Document.Number, s.Fingerprint()}
	if want == d.policy.applied || s.unfit != "" {
		return
	}
	cfg, err := d.under(d.cfg, textsOf(&s.Serving), s.Preparing)
	if err == nil {
		d.policy.serves = want.sum
		err = d.turnTo(cfg)
	}
	if err != nil {
		d.policy.serves = d.policy.applied.sum
		what := "this daemon can't serve by policy " + s.Fingerprint()
		if len(s.Preparing) > 0 {
			what = "this daemon does not know whether policy or changes are in force, and can't serve by all: " + s.Fingerprint()
		}
		d.log.Error(what, "error", err)
		unfit := *s
		unfit.unfit = what + ": " + err.Error()
		if d.serving.CompareAndSwap(s, &unfit) {
			d.agents.Range(func(_, a any) bool { d.gate(a.(hosted)); return true })
		} else {
			time.AfterFunc(tryAgain, d.wakeTurn)
		}
		return
	}
	d.policy.applied = want
	for _, p := range d.parts { // those that the change left as they were serve by it as well
		if p.agent != nil {
			d.hostCopy(p)
		}
	}
	d.log.Info("instances serve by policy", "number", want.number, "texts", want.sum)
}

// hold tells the fleet which parts this daemon holds from now on.
func (d *Daemon) hold() {
	if d.cfg.Policy == nil {
		return
	}
	all := heldBy(d.cfg)
	d.holds.Store(&all)
	d.others.Go(func() {
		for told := false; !told && d.stop.Err() == nil; time.Sleep(50 * time.Millisecond) { // the part that is told may be one that is replaced
			err := d.onPolicy(func(n *policy.Node, _ time.Duration) []policy.Event {
				want := *d.holds.Load()
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

func (d *Daemon) wakeTurn() {
	select {
	case d.policied <- struct{}{}:
	default:
	}
}

// turnTo changes instances over to another configuration in one go. What they have taken is finished by the old one, and
// repeated by the shorter window of the two.
func (d *Daemon) turnTo(cfg *Config) error {
	old := map[*core.Agent]Instance{}
	for _, p := range d.parts {
		if p.agent != nil {
			old[p.agent] = p.spec
		}
	}
	if _, err := d.apply(cfg); err != nil {
		return err
	}
	until := time.Now().Add(lateFor)
	for _, p := range d.parts {
		delete(old, p.agent)
	}
	for a, spec := range old {
		d.closing.Store(a, true)
		a.ShortenAdmission(until, switched)
		i := slices.IndexFunc(cfg.Instances, func(n Instance) bool { return n.Name == spec.Name })
		if i >= 0 {
			a.NarrowDedupWindows(windows(&spec.Agent, &cfg.Instances[i].Agent))
		}
	}
	return nil
}

// windows are what repeats of requests under way are held to besides, by class; 0: nothing more.
func windows(was, now *core.Config) []time.Duration {
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

// ban has an instance's servers out that the file or the policy has out, and no others. It reports whether it heard.
func (d *Daemon) ban(p *part) bool {
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
		if !slices.Contains(p.banned, s) {
			if !p.agent.TryForceServerDisabled(s, true) {
				return false
			}
			p.banned = append(p.banned, s)
		}
	}
	for _, s := range slices.Clone(p.banned) {
		if !slices.Contains(want, s) {
			if !p.agent.TryForceServerDisabled(s, false) {
				return false
			}
			p.banned = slices.DeleteFunc(p.banned, func(b string) bool { return b == s })
		}
	}
	return true
}

// PolicyChange is a change that is asked for at a daemon.
type PolicyChange struct {
	ID      string   `json:"id"` // empty: a new one is given
	Body    string   `json:"body"`
	Reason  string   `json:"reason"`
	Author  string   `json:"author"`
	Without []string `json:"without"`
	Base    *uint64  `json:"base"` // the number in force that its author saw; nil: the daemon's
	// Parts are the texts of several parts, by name, "" for what holds for all, with the numbers that their author saw, in place of
	// Body and Base. A number that is missing is the daemon's, which holds that part.
	Parts map[string]string `json:"parts,omitempty"`
	Bases map[string]uint64 `json:"bases,omitempty"`
}

// ShownPolicy is how a daemon stands towards the fleet's policy.
type ShownPolicy struct {
	policy.Status
	Body    string            `json:"body"`
	Bodies  map[string]string `json:"bodies,omitempty"` // of services' parts that it holds
	Applied uint64            `json:"instances_serve_by"`
	// Members that the view knows alive and that the roster does not have: they go by their own files, or take nothing. Known at voters.
	Outside []string `json:"not_in_the_roster,omitempty"`
	Unfit   string   `json:"unfit,omitempty"`
}

// Policy is how the daemon stands towards the fleet's policy.
func (d *Daemon) Policy() (s ShownPolicy, err error) {
	err = d.onPolicy(func(n *policy.Node, now time.Duration) []policy.Event {
		s.Status, s.Body, s.Bodies = n.Status(), string(n.ActivePolicy().Body), map[string]string{}
		for _, t := range s.Parts {
			s.Bodies[t.Part] = string(n.ActiveDocument(t.Part).Body)
		}
		return nil
	})
	d.do(func() { s.Applied = d.policy.applied.number })
	if v, ok := d.View(); ok && len(s.Roster) > 0 {
		for _, m := range v.Members {
			if m.State == "alive" && !slices.Contains(s.Roster, m.Name) {
				s.Outside = append(s.Outside, m.Name)
			}
		}
	}
	if w := d.serving.Load(); w != nil {
		s.Unfit = w.unfit
	}
	return s, err
}

func (d *Daemon) onPolicy(f func(n *policy.Node, now time.Duration) []policy.Event) error {
	p := d.sharing.Load()
	if p == nil {
		return transport.ErrNoPolicy
	}
	return p.carrier.Policy(f)
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
	p.Excluded = c.Without
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
		} else if _, err := readPart(nameOf(&x), x.Part, x.Body); err != nil {
			return err
		}
	}
	texts := []policy.Document{n.ActivePolicy()}
	for _, t := range s.Parts {
		texts = append(texts, n.ActiveDocument(t.Part))
	}
	for i := range held {
		held[i].AdditionalParts = nil
		texts = lay(texts, []*policy.Document{&held[i]})
	}
	return d.checkPolicy(texts)
}

// PolicyFate is what became of a change, as far as this daemon has heard; it goes on asking.
func (d *Daemon) PolicyFate(id string) (f policy.ChangeStatus, err error) {
	err = d.onPolicy(func(n *policy.Node, _ time.Duration) []policy.Event {
		f = n.ChangeStatus(id)
		return []policy.Event{policy.WatchChange{ID: id}}
	})
	return f, err
}

// DropPolicy asks the fleet to drop a change, also one of which nobody has heard yet.
func (d *Daemon) DropPolicy(id, by, reason string) error {
	if id == "" {
		return errors.New("no change is named")
	}
	return d.onPolicy(func(*policy.Node, time.Duration) []policy.Event {
		return []policy.Event{policy.Propose{Proposal: policy.Proposal{AbortID: id, Document: policy.Document{Author: by, Reason: reason}}}}
	})
}

// PolicyPast are the last changes, and the text of a part with a number; 0: of a service's part the one in force.
func (d *Daemon) PolicyPast(part string, number uint64, wait time.Duration) (past *policy.History, err error) {
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

// PolicyWord passes on an operator's word: to go on alone, or to trust the disk.
func (d *Daemon) PolicyWord(e policy.Event) error {
	return d.onPolicy(func(*policy.Node, time.Duration) []policy.Event { return []policy.Event{e} })
}

// CheckPolicy reports whether the daemon of a file could serve by texts of parts, by name, without a daemon. Names are what
// errors call them.
func CheckPolicy(config string, texts, names map[string]string) error {
	cfg, err := Load(config)
	if err != nil {
		return err
	}
	over := &overlay{from: map[string]bool{}}
	if text, ok := texts[""]; ok {
		if over, err = readPolicy(names[""], []byte(text)); err != nil {
			return err
		}
	}
	for _, part := range slices.Sorted(maps.Keys(texts)) {
		if part == "" {
			continue
		}
		p, err := readPart(names[part], part, []byte(texts[part]))
		if err != nil {
			return err
		}
		if slices.Contains(heldBy(cfg), part) {
			over.services = append(over.services, p)
		}
	}
	_, err = build(cfg.Path, cfg.data, over)
	return err
}

// hostText is the daemon's own file as it was last read.
type hostText struct {
	Path string
	data []byte
}

func parseOwn(cfg *Config, into *file) error {
	_, err := tomlfile.Parse(cfg.Path, cfg.data, into)
	return err
}
