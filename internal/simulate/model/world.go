package model

import (
	"slices"
	"time"

	"vetchhaven/decide"
)

// Change is one thing that the script does at a time.
type Change struct {
	At   time.Duration
	What any // one of the types below
}

// What a script does. Servers are named by their ids.
type (
	// ServerErrors sets the share of a server's requests that fail fast.
	ServerErrors struct {
		Server string
		Rate   float64
	}
	// ServerSpeed makes a server so many times as fast.
	ServerSpeed struct {
		Server string
		Factor float64
	}
	// Silence takes a server's machine off the network without a word, or puts it back.
	Silence struct {
		Server string
		On     bool
	}
	// Drain makes a server finish what it has.
	Drain struct{ Server string }
	// Kill ends a server's process: its connections are reset.
	Kill struct{ Server string }
	// Start starts a cold process, under a new name or again under one that has ended.
	Start struct{ Server ServerSpec }
	// MovePod moves a running server to another pod.
	MovePod struct {
		Server string
		Pod    int
	}
	// ListLate puts the list further behind.
	ListLate struct{ By time.Duration }
	// ListDown takes the list down or up.
	ListDown struct{ On bool }
	// Cut parts two zones, or joins them.
	Cut struct {
		A, B int
		On   bool
	}
	// Resets makes that share of attempts end with a broken connection.
	Resets struct{ Share float64 }
	// Lost makes the answers of that share of attempts never come.
	Lost struct{ Share float64 }
	// ListRefuse makes the list turn that share of calls away at once.
	ListRefuse struct{ Share float64 }
	// Burst multiplies the load.
	Burst struct{ Factor float64 }
	// Shift gives the agents of a zone so many times their part of the load; the whole stays as it is.
	Shift struct {
		Zone   int
		Factor float64
	}
	// Heavy makes a share of a class's requests cost so many times more.
	Heavy struct {
		Class         int
		Share, Factor float64
	}
	// Agents stops the agents numbered from From to below To, or starts them anew. With Drain they take nothing
	// new, finish what they have, and end then, or when they are started anew.
	Agents struct {
		From, To int
		Up       bool
		Drain    bool
	}
)

// Proc is a process at a place.
type Proc struct {
	*Server
	Name   string
	Silent bool
	Dead   bool
}

// World holds the servers, the list and the network of a rehearsal.
type World struct {
	S     *Scenario
	Net   *Network
	List  *List
	Procs []*Proc // that ever ran, in order of their start

	chance Chance
	keys   *Keys
	places map[int]*Proc
	names  map[string]*Proc // the latest of each name
}

// NewWorld starts with the scenario's servers, warm.
func NewWorld(s *Scenario, chance Chance) *World {
	w := &World{S: s, Net: NewNetwork(s.Network, chance), List: NewList(s.List, s.Servers, s.Agents, chance),
		chance: chance, keys: NewKeys(s.Classes), places: map[int]*Proc{}, names: map[string]*Proc{}}
	for _, spec := range s.Servers {
		w.start(0, spec, false)
	}
	return w
}

// At is the process that listens at a place, or nil.
func (w *World) At(place int) *Proc {
	if p := w.places[place]; p != nil && !p.Dead {
		return p
	}
	return nil
}

// Sight is how a server is that runs and can be reached: what no agent can see.
type Sight struct {
	ID     string
	Zone   int
	Ahead  float64 // work that it holds, on a standard core
	Rate   float64 // work that it does in a unit of time
	Core   float64 // the part of it that one request gets
	Errors float64 // share of requests that fail fast
}

// Sights is how all servers are that take new work.
func (w *World) Sights(now time.Duration) []Sight {
	var all []Sight
	for _, p := range w.Procs {
		if p.Dead || p.Silent || p.draining || w.names[p.Name] != p {
			continue
		}
		ahead, rate := p.Ahead(now)
		all = append(all, Sight{ID: p.Name, Zone: p.Spec.Zone, Ahead: ahead, Rate: rate, Core: rate / float64(p.kind.Slots), Errors: p.errors})
	}
	return all
}

// Find is the latest process of a name, or nil.
func (w *World) Find(name string) *Proc { return w.names[name] }

func (w *World) start(now time.Duration, spec ServerSpec, cold bool) *Proc {
	p := &Proc{Name: spec.Name, Server: NewServer(spec, w.S, w.keys, w.chance, now, cold)}
	w.Procs = append(w.Procs, p)
	w.places[spec.Place], w.names[spec.Name] = p, p
	return p
}

// Result is what follows from a change besides what World itself keeps.
type Result struct {
	Did   []Did   // what servers did: first what was due by then, then what the change made them do
	Died  []*Proc // their connections are reset after that
	Tells []Tell
}

// Did is what one process did.
type Did struct {
	Proc    *Proc
	Effects []Effect
}

// Apply does one change of the script.
func (w *World) Apply(now time.Duration, what any) Result {
	var r Result
	truth := func(p *Proc, state decide.BackendState, after time.Duration) {
		e := Entry{Server: p.Spec, State: state}
		if p.born > 0 {
			e.Started = p.born
		}
		r.Tells = append(r.Tells, w.List.Step(now, Truth{Entry: e, After: after})...)
	}
	do := func(p *Proc, e ServerEvent) {
		r.Did = append(r.Did, Did{p, slices.Clone(p.Step(now, e))})
	}
	step := func(name string, e ServerEvent) {
		if p := w.running(name); p != nil {
			do(p, e)
		}
	}
	die := func(p *Proc) {
		do(p, Wake{}) // an answer that is due at this very instant goes out first
		p.Dead = true
		r.Died = append(r.Died, p)
		truth(p, decide.Removed, w.S.List.Drain)
	}
	switch op := what.(type) {
	case ServerErrors:
		step(op.Server, SetErrors{op.Rate})
	case ServerSpeed:
		step(op.Server, SetSpeed{op.Factor})
	case Silence:
		if p := w.running(op.Server); p != nil {
			do(p, Wake{})
			p.Silent = op.On
			if op.On {
				truth(p, decide.Removed, w.S.List.Silent)
			} else {
				e := Entry{Server: p.Spec, State: decide.Up, Started: p.born}
				r.Tells = append(r.Tells, w.List.Step(now, Truth{Entry: e, After: w.S.List.Up, Instead: true})...)
			}
		}
	case Drain:
		if p := w.running(op.Server); p != nil {
			step(op.Server, DrainNow{})
			truth(p, decide.Draining, w.S.List.Drain)
		}
	case Kill:
		if p := w.running(op.Server); p != nil {
			die(p)
		}
	case Start:
		if old := w.At(op.Server.Place); old != nil { // one address, one process
			die(old)
		}
		p := w.start(now, op.Server, true)
		truth(p, decide.Up, w.S.List.Up)
	case MovePod:
		if p := w.running(op.Server); p != nil {
			p.Spec.Pod = op.Pod
			truth(p, decide.Up, w.S.List.Up)
		}
	case ListLate:
		r.Tells = append(r.Tells, w.List.Step(now, SetLate(op))...)
	case ListDown:
		r.Tells = append(r.Tells, w.List.Step(now, SetDown{op.On})...)
	case Cut:
		w.Net.Cut(op.A, op.B, op.On)
	case Resets:
		w.Net.resets = op.Share
	case Lost:
		w.Net.lost = op.Share
	case ListRefuse:
		r.Tells = append(r.Tells, w.List.Step(now, SetRefuse(op))...)
	}
	return r
}

// Fallen is what follows from a server that was pushed over: its process ends for good.
func (w *World) Fallen(now time.Duration, p *Proc) []Tell {
	p.Dead = true
	e := Entry{Server: p.Spec, State: decide.Removed, Started: p.born}
	return w.List.Step(now, Truth{Entry: e, After: w.S.List.Drain})
}

func (w *World) running(name string) *Proc {
	if p := w.names[name]; p != nil && !p.Dead {
		return p
	}
	return nil
}
