// Package handoff shares what operators set between the processes of one agent, which run beside each other while a new one
// replaces an old one: a change that is made at one of them (an endpoint disabled, clients drained) is applied by all. It passes
// on no listener and no client, and signals no readiness.
//
// OperatorState (state.go) is the decision: which changes lead from one state to another. It does no I/O. Dir (dir.go) shares it
// through a directory that all processes of the agent see: a state file, a lock, and for each live process a file that it keeps
// locked and in which it publishes the version of the state that it has applied.
package handoff

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// OperatorState is what operators have set and not taken back. Its keys are those of earlier builds.
type OperatorState struct {
	Version  int64    `json:"version"` // grows by one with each change
	Disabled []string `json:"out"`     // IDs of endpoints taken out of use by hand, sorted
	Draining bool     `json:"drained"` // clients are sent to other agents
}

// Change is one thing that an operator sets: an endpoint is disabled (On) or enabled; where Server is empty, the agent drains
// (On) or takes clients again.
type Change struct {
	Server string
	On     bool
}

// maxDisabled bounds the endpoints that are out of use by hand: far more than anyone disables. A larger bound would let a script
// gone wrong fill the state file, which all processes read at each sync.
const maxDisabled = 10000

var errTooManyDisabled = errors.New("too many servers are out by hand")

// Apply returns the state after a change, with the next version. A change that is in effect already returns the same state with
// the same version. The error is errTooManyDisabled.
func (s OperatorState) Apply(change Change) (OperatorState, error) {
	next := OperatorState{Version: s.Version + 1, Disabled: slices.Clone(s.Disabled), Draining: s.Draining}
	if change.Server == "" {
		if change.On == s.Draining {
			return s, nil
		}
		next.Draining = change.On
		return next, nil
	}
	index, isDisabled := slices.BinarySearch(next.Disabled, change.Server)
	switch {
	case isDisabled == change.On:
		return s, nil
	case change.On && len(s.Disabled) >= maxDisabled:
		return s, errTooManyDisabled
	case change.On:
		next.Disabled = slices.Insert(next.Disabled, index, change.Server)
	default:
		next.Disabled = slices.Delete(next.Disabled, index, index+1)
	}
	return next, nil
}

// ChangesSince lists the changes that lead from an earlier state to s, whatever happened in between.
func (s OperatorState) ChangesSince(before OperatorState) (changes []Change) {
	if s.Draining != before.Draining {
		changes = append(changes, Change{On: s.Draining})
	}
	for _, id := range s.Disabled {
		if _, was := slices.BinarySearch(before.Disabled, id); !was {
			changes = append(changes, Change{Server: id, On: true})
		}
	}
	for _, id := range before.Disabled {
		if _, is := slices.BinarySearch(s.Disabled, id); !is {
			changes = append(changes, Change{Server: id, On: false})
		}
	}
	return changes
}

// parse reads and validates a state that another process has written.
func parse(text []byte) (state OperatorState, err error) {
	if err := json.Unmarshal(text, &state); err != nil {
		return OperatorState{}, err
	}
	distinct := slices.Compact(slices.Clone(state.Disabled))
	valid := state.Version >= 0 &&
		len(state.Disabled) <= maxDisabled &&
		slices.IsSorted(state.Disabled) &&
		!slices.Contains(state.Disabled, "") &&
		len(distinct) == len(state.Disabled)
	if !valid {
		return OperatorState{}, fmt.Errorf("version %d with %d servers makes no sense", state.Version, len(state.Disabled))
	}
	return state, nil
}
