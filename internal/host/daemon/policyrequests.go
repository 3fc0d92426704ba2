package daemon

import (
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"

	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/peer/policy"
	"vetchhaven/internal/peer/transport"
)

const (
	// changeIDBytes is the number of random bytes in a generated change ID.
	changeIDBytes = 8
	// historyPollInterval is how often PolicyHistory checks whether a voter has responded.
	historyPollInterval = 20 * time.Millisecond
	// historyRequestPolls is the number of these checks after which the history is requested again.
	historyRequestPolls = 20
)

// PolicyChange is a change that is proposed at a daemon.
type PolicyChange struct {
	ID       string   `json:"id"` // empty: an ID is generated
	Body     string   `json:"body"`
	Reason   string   `json:"reason"`
	Author   string   `json:"author"`
	Excluded []string `json:"without"`
	Base     *uint64  `json:"base"` // the active number that the author saw; nil: the daemon's active number
	// Parts are the texts of several parts by name ("" for the global one), and Bases the numbers that the author
	// saw. They replace Body and Base. If a number is missing, the daemon's active number is used, and the daemon has
	// to hold that part.
	Parts map[string]string `json:"parts,omitempty"`
	Bases map[string]uint64 `json:"bases,omitempty"`
}

// PolicyStatus is the state of the fleet's policy at a daemon.
type PolicyStatus struct {
	policy.Status
	Body    string            `json:"body"`
	Bodies  map[string]string `json:"bodies,omitempty"` // the texts of the services' parts that the daemon holds
	Applied uint64            `json:"instances_serve_by"`
	// OutsideRoster are members that failure detection considers alive, but that are not in the roster. They serve by
	// the settings of their own files, or admit no requests. Only voters have a roster, so only they report such
	// members.
	OutsideRoster []string `json:"not_in_the_roster,omitempty"`
	Unservable    string   `json:"unfit,omitempty"` // why the daemon can't serve by the policy
}

// PolicyStatus returns the state of the fleet's policy at this daemon.
func (d *Daemon) PolicyStatus() (s PolicyStatus, err error) {
	err = d.onPolicy(func(n *policy.Node, _ time.Duration) []policy.Event {
		s.Status = n.Status()
		s.Body = string(n.ActivePolicy().Body)
		s.Bodies = map[string]string{}
		for _, part := range s.Parts {
			s.Bodies[part.Part] = string(n.ActiveDocument(part.Part).Body)
		}
		return nil
	})
	d.call(func() { s.Applied = d.policy.applied.number })
	if fleet, ok := d.MembershipStatus(); ok && len(s.Roster) > 0 {
		for _, member := range fleet.Members {
			if member.State == "alive" && !slices.Contains(s.Roster, member.Name) {
				s.OutsideRoster = append(s.OutsideRoster, member.Name)
			}
		}
	}
	if serving := d.serving.Load(); serving != nil {
		s.Unservable = serving.unservable
	}
	return s, err
}

// onPolicy runs f on the transport's goroutine, which passes the events that f returns to the node. It returns
// transport.ErrNoPolicy if the daemon has no policy node, or the transport does not run.
func (d *Daemon) onPolicy(f func(n *policy.Node, now time.Duration) []policy.Event) error {
	p := d.activePeering.Load()
	if p == nil {
		return transport.ErrNoPolicy
	}
	return p.transport.Policy(f)
}

// sendPolicyEvent passes an event to the node.
func (d *Daemon) sendPolicyEvent(e policy.Event) error {
	return d.onPolicy(func(*policy.Node, time.Duration) []policy.Event { return []policy.Event{e} })
}

// ProposePolicy proposes a change to the fleet, if this daemon could serve by it, and returns the change's ID.
// ChangeStatus returns its outcome.
func (d *Daemon) ProposePolicy(c PolicyChange) (id string, err error) {
	if c.Parts == nil {
		c.Parts = map[string]string{"": c.Body}
		if c.Base != nil {
			c.Bases = map[string]uint64{"": *c.Base}
		}
	}
	if c.ID == "" {
		random := uuid.New()
		c.ID = hex.EncodeToString(random[:changeIDBytes])
	}
	var rejected error
	err = d.onPolicy(func(n *policy.Node, _ time.Duration) []policy.Event {
		var proposal policy.Proposal
		proposal, rejected = d.checkedProposal(n, &c)
		if rejected != nil {
			return nil
		}
		return []policy.Event{policy.Propose{Proposal: proposal}}
	})
	return c.ID, errors.Join(err, rejected)
}

// checkedProposal returns the proposal of a change, or an error if this daemon could not serve by it.
func (d *Daemon) checkedProposal(n *policy.Node, c *PolicyChange) (policy.Proposal, error) {
	proposal, err := c.proposal(n)
	if err != nil {
		return proposal, err
	}
	if err := d.checkChange(n, &proposal.Document); err != nil {
		return proposal, fmt.Errorf("not asked for: %w", err)
	}
	return proposal, nil
}

// proposal returns the change as a proposal to the fleet.
func (c *PolicyChange) proposal(n *policy.Node) (policy.Proposal, error) {
	held := n.Status().ConfiguredParts
	proposal := policy.Proposal{Excluded: c.Excluded}
	for i, part := range slices.Sorted(maps.Keys(c.Parts)) {
		base, isGiven := c.Bases[part]
		if !isGiven {
			if part != "" && !slices.Contains(held, part) {
				return proposal, fmt.Errorf("not asked for: this daemon has no instance of %s: say of which number the change is made, or ask at one that has", part)
			}
			base = n.ActiveDocument(part).Number
		}
		body := []byte(c.Parts[part])
		document := policy.Document{Part: part, Body: body, Digest: policy.DigestOf(body)}
		if i > 0 {
			proposal.Document.AdditionalParts = append(proposal.Document.AdditionalParts, document)
			proposal.Bases = append(proposal.Bases, base)
			continue
		}
		document.ID = c.ID
		document.Author = c.Author
		document.Reason = c.Reason
		document.CreatedMS = time.Now().UnixMilli()
		proposal.Document = document
		proposal.Base = base
	}
	return proposal, proposal.Check()
}

// checkChange returns an error if this daemon could not serve by a change. Documents of parts that the daemon holds
// are checked together with the active documents. Documents of other parts are checked separately.
func (d *Daemon) checkChange(n *policy.Node, change *policy.Document) error {
	status := n.Status()
	var held []policy.Document
	for _, document := range change.Documents() {
		if document.Part == "" || slices.Contains(status.ConfiguredParts, document.Part) {
			held = append(held, document)
			continue
		}
		if err := daemonconfig.CheckServiceDocument(&document); err != nil {
			return err
		}
	}
	documents := []policy.Document{n.ActivePolicy()}
	for _, part := range status.Parts {
		documents = append(documents, n.ActiveDocument(part.Part))
	}
	for i := range held {
		documents = daemonconfig.ReplaceDocuments(documents, []*policy.Document{&held[i]})
	}
	return d.checkPolicy(documents)
}

// ChangeStatus returns the status of a change, as far as this daemon has received it. The daemon requests the status
// from the fleet from now on.
func (d *Daemon) ChangeStatus(id string) (status policy.ChangeStatus, err error) {
	err = d.onPolicy(func(n *policy.Node, _ time.Duration) []policy.Event {
		status = n.ChangeStatus(id)
		return []policy.Event{policy.WatchChange{ID: id}}
	})
	return status, err
}

// AbortPolicy requests that the fleet abort a change, even one that no voter has received yet.
func (d *Daemon) AbortPolicy(id, author, reason string) error {
	if id == "" {
		return errors.New("no change is named")
	}
	abort := policy.Proposal{AbortID: id, Document: policy.Document{Author: author, Reason: reason}}
	return d.sendPolicyEvent(policy.Propose{Proposal: abort})
}

// PolicyHistory returns the last changes, and the document of a part with the given number. For a service's part, 0
// selects the active document. PolicyHistory blocks until a voter responds, up to the timeout.
func (d *Daemon) PolicyHistory(part string, number uint64, timeout time.Duration) (history *policy.History, err error) {
	request := policy.History{Part: part, Number: number}
	if err := d.sendPolicyEvent(request); err != nil {
		return nil, err
	}
	deadline := time.Now().Add(timeout)
	for polls := 1; time.Now().Before(deadline); polls++ {
		time.Sleep(historyPollInterval)
		err := d.onPolicy(func(n *policy.Node, _ time.Duration) []policy.Event {
			history = n.History()
			return nil
		})
		if err != nil {
			return nil, err
		}
		if history != nil && history.Number == number && history.Part == part {
			return history, nil
		}
		if polls%historyRequestPolls == 0 {
			_ = d.sendPolicyEvent(request)
		}
	}
	return nil, errors.New("no voter answers")
}

// ReplaceVoter requests that the fleet add, remove or replace a voter.
func (d *Daemon) ReplaceVoter(request policy.ReplaceVoter) error { return d.sendPolicyEvent(request) }

// PolicyCommand passes on an operator's decision: policy.Rescue or policy.TrustDisk.
func (d *Daemon) PolicyCommand(command policy.Event) error { return d.sendPolicyEvent(command) }
