// Package handoff joins the processes of one agent that run beside each other while one replaces the
// other: what operators said to one holds in all, and each takes its part of what the agent may use.
// said.go is the decision, free of I/O; dir.go is its carrier, a directory that all of them see.
package handoff

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Said is what operators have said and not taken back.
type Said struct {
	Version int64    `json:"version"` // of each change one more
	Out     []string `json:"out"`     // servers out of use by hand, sorted
	Drained bool     `json:"drained"` // clients are sent away
}

// Change is one thing that an operator says: a server goes out of use or back, or, where none is named,
// clients are sent away or taken again.
type Change struct {
	Server string
	On     bool
}

// most bounds what is kept: far more servers than anyone takes out by hand.
const most = 10000

var errMost = errors.New("too many servers are out by hand")

// With is what holds after a change. It is the same, with its version, where the change says nothing new.
func (s Said) With(c Change) (Said, error) {
	next := Said{Version: s.Version + 1, Out: slices.Clone(s.Out), Drained: s.Drained}
	if c.Server == "" {
		next.Drained = c.On
		if c.On == s.Drained {
			return s, nil
		}
		return next, nil
	}
	i, out := slices.BinarySearch(next.Out, c.Server)
	switch {
	case out == c.On:
		return s, nil
	case c.On && len(s.Out) >= most:
		return s, errMost
	case c.On:
		next.Out = slices.Insert(next.Out, i, c.Server)
	default:
		next.Out = slices.Delete(next.Out, i, i+1)
	}
	return next, nil
}

// Since are the changes from what was known before to s.
func (s Said) Since(before Said) (changes []Change) {
	if s.Drained != before.Drained {
		changes = append(changes, Change{On: s.Drained})
	}
	for _, id := range s.Out {
		if _, was := slices.BinarySearch(before.Out, id); !was {
			changes = append(changes, Change{id, true})
		}
	}
	for _, id := range before.Out {
		if _, is := slices.BinarySearch(s.Out, id); !is {
			changes = append(changes, Change{id, false})
		}
	}
	return changes
}

// parse reads what another process has written.
func parse(text []byte) (s Said, err error) {
	if err := json.Unmarshal(text, &s); err != nil {
		return Said{}, err
	}
	if s.Version < 0 || len(s.Out) > most || !slices.IsSorted(s.Out) || slices.Contains(s.Out, "") ||
		len(slices.Compact(slices.Clone(s.Out))) != len(s.Out) {
		return Said{}, fmt.Errorf("version %d with %d servers makes no sense", s.Version, len(s.Out))
	}
	return s, nil
}
