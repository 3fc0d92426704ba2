// Package handoff shares what operators set between the processes of one agent, which run at the same time while a new
// process replaces an old one: a change that is made at one of them (an endpoint disabled, clients drained) is applied
// by all. The package does not pass on listeners or clients, and does not signal readiness.
//
// OperatorState (state.go) determines which changes lead from one state to another. It does no I/O. Dir (dir.go)
// shares the state through a directory that all processes of the agent use: a state file, a lock file, and for each
// live process a file that this process keeps locked and in which it publishes the version of the state that it has
// applied.
package handoff

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// OperatorState holds the settings of operators that are in effect. Its JSON keys are those of earlier builds.
type OperatorState struct {
	Version  int64    `json:"version"` // grows by one with each change
	Disabled []string `json:"out"`     // IDs of endpoints disabled by operators, sorted
	Draining bool     `json:"drained"` // clients are sent to other agents
}

// Change is one change by an operator: the endpoint Server is disabled (On) or enabled. If Server is empty, the agent
// drains (On) or accepts clients again.
type Change struct {
	Server string
	On     bool
}

// maxDisabled bounds the endpoints disabled by operators; it is far more than operators need. A larger bound would let
// a faulty script fill the state file, which all processes read at each sync.
const maxDisabled = 10000

var errTooManyDisabled = errors.New("too many servers are disabled by operators")

// Apply returns the state after a change, with the next version. For a change that is already in effect it returns the
// same state with the same version. The only error is errTooManyDisabled.
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

// ChangesSince lists the changes that lead from an earlier state to s. Intermediate states don't matter.
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
		return OperatorState{}, fmt.Errorf("invalid state: version %d, %d servers", state.Version, len(state.Disabled))
	}
	return state, nil
}
