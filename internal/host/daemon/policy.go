package daemon

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/host/policystore"
	"vetchhaven/internal/peer/policy"
	"vetchhaven/internal/peer/transport"
)

// policyState is the daemon's state for the fleet's policy, without the atomic values in Daemon. Run's goroutine owns
// it.
type policyState struct {
	store      *policystore.Store // nil: the file has no [policy]
	disk       policy.StoredState
	diskUnused bool // disk is as it was read, and no member has started from it
	// handoff is the state for the next member, which replaces an earlier one of this process or of the predecessor.
	// It is nil if there is none.
	handoff *policy.HandoffState
	// handoffSeq is not lower than the number of the last lease request of any earlier member.
	handoffSeq  uint64
	applied     appliedPolicy
	fingerprint string // identifies the policy for which agents are built now: the applied one, or the one that is being applied
}

// ownFile is the daemon's own file as it was read last.
type ownFile struct {
	path string
	text []byte
}

// openPolicy opens the stored policy and applies the configuration under the policy that was active. After an error
// the instances admit no requests until the daemon has received from the fleet which policy to serve by.
func (d *Daemon) openPolicy() {
	if d.cfg.Policy == nil {
		return
	}
	d.policy.store = policystore.New(d.cfg.StateDir, d.cfg.Policy.WitnessDir, d.cfg.Peers.Name, d.log)
	first := &servingState{Serving: policy.Serving{Blocked: reasonPolicyUnknown}}
	d.serving.Store(first)
	disk, err := d.policy.store.Open()
	if err != nil {
		d.log.Error("the stored policy can't be read yet; no request is admitted until it is, and it is tried again", "error", err)
		return
	}
	d.policy.disk = disk
	d.policy.diskUnused = true
	documents, err := policy.StoredDocuments(disk.Member)
	if err != nil {
		d.log.Error("the stored policy can't be decoded; no request is admitted until a voter responds", "error", err)
		d.policy.disk.Member = nil
		return
	}
	held := d.cfg.HeldParts()
	documents = slices.DeleteFunc(documents, func(document policy.Document) bool {
		return document.Part != "" && !slices.Contains(held, document.Part)
	})
	last := policy.Serving{Document: &documents[0], Parts: documents[1:]}
	cfg, err := d.cfg.WithPolicy(documents, nil)
	if err != nil {
		d.log.Error("this daemon can't serve by the last policy that it knows", "policy", last.Fingerprint(), "error", err)
		return
	}
	d.cfg = cfg
	d.policy.applied = appliedPolicy{last.Document.Number, last.Fingerprint()}
	d.policy.fingerprint = last.Fingerprint()
	if h := d.policy.handoff; h != nil && h.ActiveNumber == last.Document.Number {
		d.serveHandedOff(first, last, h)
	}
}

// serveHandedOff lets the instances admit requests at once, under the predecessor's policy and lease.
func (d *Daemon) serveHandedOff(first *servingState, last policy.Serving, h *policy.HandoffState) {
	first.Blocked = ""
	first.Document = last.Document
	first.Parts = last.Parts
	first.Until = policy.Never
	first.base = time.Now()
	first.ServedParts = h.ServedParts(d.cfg.HeldParts(), func(part string) policy.Document {
		document, _ := last.Lookup(part)
		return *document
	})
	if d.cfg.Policy.StopWhenIsolated || d.hasPreparedChange(&last) {
		first.Until = max(0, h.LeaseRemaining)
	}
}

// hasPreparedChange reports whether the stored member has prepared a change that is not active. The fleet may have
// committed that change.
func (d *Daemon) hasPreparedChange(last *policy.Serving) bool {
	active := servedDocuments(last)
	return slices.ContainsFunc(policy.StoredChanges(d.policy.disk.Member), func(id string) bool {
		return !slices.ContainsFunc(active, func(document policy.Document) bool { return document.ID == id })
	})
}

// checkPolicy returns an error if this daemon could not serve by these documents of the parts that it holds. The
// transport's goroutine calls it. A panic is returned as an error, so that the daemon rejects the change and
// continues.
func (d *Daemon) checkPolicy(documents []policy.Document) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	own := d.ownFile.Load()
	return daemonconfig.CheckWithPolicy(own.path, own.text, documents)
}

// reloadPolicy reads the state that the previous member stored on the disk, unless the state in memory has not been
// used yet. A member must not start without this state: as a voter it would forget its vote and the changes that it
// acknowledged.
func (d *Daemon) reloadPolicy() error {
	if d.policy.diskUnused {
		return nil
	}
	disk, err := d.policy.store.Reload()
	if err != nil {
		return fmt.Errorf("read the stored policy: %w", err)
	}
	d.policy.disk = disk
	d.policy.diskUnused = true
	return nil
}

// newPolicyDriver returns the policy driver for a run of the member, or nil if the daemon can't take part in a policy.
func (d *Daemon) newPolicyDriver(runID uint64) *transport.PolicyDriver {
	if d.cfg.Policy == nil {
		return nil
	}
	settings := d.cfg.Policy.Settings
	settings.Name = d.cfg.Peers.Name
	settings.RunID = runID
	settings.Check = d.checkPolicy
	settings.Handoff = d.policy.handoff
	settings.Parts = d.cfg.HeldParts()
	disk := d.policy.disk
	if h := d.policy.handoff; h != nil {
		d.policy.handoffSeq = max(d.policy.handoffSeq, h.Seq)
		disk.ProvenCurrent = true // the earlier member wrote this file, and no other process had it meanwhile
	}
	d.policy.diskUnused = false
	d.policy.handoff = nil
	node, err := policy.New(settings, disk, rand.Uint64())
	if err != nil {
		d.log.Error("the stored policy is not usable here, and is fetched anew from the voters", "error", err)
		disk.Member = nil
		node, err = policy.New(settings, disk, rand.Uint64())
	}
	if err != nil {
		d.log.Error("this daemon takes no part in the policy", "error", err)
		return nil
	}
	var driver *transport.PolicyDriver
	persist := d.policy.store.Writer(func(seq uint64, err error) { driver.Persisted(seq, err) })
	driver = transport.NewPolicyDriver(node, persist, d.servingChanged)
	return driver
}

// handoffSeqStep is more than the number of lease requests of one run of a member. The next run's numbers start that
// much higher, so that the numbers of two runs never overlap and a response to the earlier run is not mistaken for a
// response to the later one.
const handoffSeqStep = 1 << 32

// saveHandoff keeps the state of the policy of a member that has ended, for the member that is started in its place.
// Requests are admitted meanwhile, as long as the last lease allows.
func (d *Daemon) saveHandoff() {
	s := d.serving.Load()
	if s == nil || s.Blocked != "" || s.Document == nil || s.Standalone {
		return
	}
	remaining := time.Duration(0)
	if s.Until < policy.Never {
		remaining = time.Until(s.base.Add(s.Until))
	}
	d.policy.handoffSeq += handoffSeqStep
	handoff := &policy.HandoffState{
		ActiveNumber:   s.Document.Number,
		LeaseRemaining: max(0, remaining),
		Seq:            d.policy.handoffSeq,
		Format:         policy.FormatVersion,
	}
	for _, part := range s.ServedParts {
		document, _ := s.Lookup(part)
		handoff.Parts = append(handoff.Parts, policy.DocumentRef{Part: part, Number: document.Number, ID: document.ID})
	}
	d.policy.handoff = handoff
}
