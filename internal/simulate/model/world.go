package model

import (
	"slices"
	"time"

	"vetchhaven/decide"
)

// Change is one step of the script.
type Change struct {
	At   time.Duration
	What any // ServerErrors, Drain or another of the types declared after Change
}

// The changes that a script can make. Servers are named by their IDs.
type (
	// ServerErrors sets the share of a server's requests that fail fast.
	ServerErrors struct {
		Server string
		Rate   float64
	}
	// ServerSpeed multiplies a server's speed by Factor.
	ServerSpeed struct {
		Server string
		Factor float64
	}
	// Silence disconnects a server's machine from the network without closing its connections, or reconnects it.
	Silence struct {
		Server string
		On     bool
	}
	// Drain makes a server finish its requests and accept no new ones.
	Drain struct{ Server string }
	// Kill ends a server's process; its connections are reset.
	Kill struct{ Server string }
	// Start starts a process, which has to warm up, under a new name or under the name of a process that has ended.
	Start struct{ Server ServerSpec }
	// MovePod moves a running server to another pod.
	MovePod struct {
		Server string
		Pod    int
	}
	// ListLate delays the list's updates further.
	ListLate struct{ By time.Duration }
	// ListDown makes the list service unavailable, or available again.
	ListDown struct{ On bool }
	// Cut disconnects two zones, or connects them again.
	Cut struct {
		A, B int
		On   bool
	}
	// Resets makes a share of attempts end with a broken connection.
	Resets struct{ Share float64 }
	// Lost drops the answers to a share of attempts.
	Lost struct{ Share float64 }
	// ListRefuse makes the list reject a share of calls at once.
	ListRefuse struct{ Share float64 }
	// Burst multiplies the load.
	Burst struct{ Factor float64 }
	// Shift multiplies the load share of a zone's agents by Factor; the total load stays the same.
	Shift struct {
		Zone   int
		Factor float64
	}
	// Heavy multiplies the work of a share of a class's requests by Factor.
	Heavy struct {
		Class         int
		Share, Factor float64
	}
	// Agents stops the agents numbered from From to below To, or starts them again. With Drain they accept no new
	// requests, finish those that they have, and then end, at the latest when they are started again.
	Agents struct {
		From, To int
		Up       bool
		Drain    bool
	}
)

// Proc is a server process at an address.
type Proc struct {
	*Server
	Name   string
	Silent bool
	Dead   bool
}

// World holds the servers, the list and the network of a simulation.
type World struct {
	S     *Scenario
	Net   *Network
	List  *List
	Procs []*Proc // all processes that ever ran, in order of their start

	seed   Seed
	keys   *Keys
	places map[int]*Proc
	names  map[string]*Proc // the latest process of each name
}

// NewWorld returns a world in which the scenario's initial servers run and are warm.
func NewWorld(s *Scenario, seed Seed) *World {
	w := &World{S: s, Net: NewNetwork(s.Network, seed), List: NewList(s.List, s.Servers, s.Agents, seed),
		seed: seed, keys: NewKeys(s.Classes), places: map[int]*Proc{}, names: map[string]*Proc{}}
	for _, spec := range s.Servers {
		w.start(0, spec, false)
	}
	return w
}

// At returns the process that listens at a place, or nil.
func (w *World) At(place int) *Proc {
	if p := w.places[place]; p != nil && !p.Dead {
		return p
	}
	return nil
}

// ServerState is the exact state of a server that runs and can be reached. A real agent can't observe it.
type ServerState struct {
	ID        string
	Zone      int
	Pending   float64 // work of all held requests, as time on a standard core
	Rate      float64 // work done in a unit of time
	SlotRate  float64 // the part of Rate that one request gets
	ErrorRate float64 // share of requests that fail fast
}

// ServerStates returns the states of all servers that accept new requests.
func (w *World) ServerStates(now time.Duration) []ServerState {
	var all []ServerState
	for _, p := range w.Procs {
		if p.Dead || p.Silent || p.draining || w.names[p.Name] != p {
			continue
		}
		pending, rate := p.PendingWork(now)
		all = append(all, ServerState{ID: p.Name, Zone: p.Spec.Zone, Pending: pending, Rate: rate, SlotRate: rate / float64(p.kind.Slots), ErrorRate: p.errors})
	}
	return all
}

// Find returns the latest process of a name, or nil.
func (w *World) Find(name string) *Proc { return w.names[name] }

func (w *World) start(now time.Duration, spec ServerSpec, cold bool) *Proc {
	p := &Proc{Name: spec.Name, Server: NewServer(spec, w.S, w.keys, w.seed, now, cold)}
	w.Procs = append(w.Procs, p)
	w.places[spec.Place], w.names[spec.Name] = p, p
	return p
}

// Result holds the consequences of a change that the driver must carry out.
type Result struct {
	Effects  []ProcEffects // of servers: first those that were due by now, then those that the change caused
	Died     []*Proc       // processes that ended; their connections are reset after Effects
	Messages []ListMessage
}

// ProcEffects are the effects of one process.
type ProcEffects struct {
	Proc    *Proc
	Effects []Effect
}

// Apply makes one change of the script.
func (w *World) Apply(now time.Duration, what any) Result {
	var r Result
	updateList := func(p *Proc, state decide.BackendState, after time.Duration) {
		e := Entry{Server: p.Spec, State: state}
		if p.startedAt > 0 {
			e.Started = p.startedAt
		}
		r.Messages = append(r.Messages, w.List.Step(now, ServerChange{Entry: e, After: after})...)
	}
	do := func(p *Proc, e ServerEvent) {
		r.Effects = append(r.Effects, ProcEffects{p, slices.Clone(p.Step(now, e))})
	}
	step := func(name string, e ServerEvent) {
		if p := w.running(name); p != nil {
			do(p, e)
		}
	}
	terminate := func(p *Proc) {
		do(p, Wake{}) // an answer that is due at this instant is sent first
		p.Dead = true
		r.Died = append(r.Died, p)
		updateList(p, decide.Removed, w.S.List.Drain)
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
				updateList(p, decide.Removed, w.S.List.Silent)
			} else {
				e := Entry{Server: p.Spec, State: decide.Up, Started: p.startedAt}
				r.Messages = append(r.Messages, w.List.Step(now, ServerChange{Entry: e, After: w.S.List.Up, Supersedes: true})...)
			}
		}
	case Drain:
		if p := w.running(op.Server); p != nil {
			step(op.Server, DrainNow{})
			updateList(p, decide.Draining, w.S.List.Drain)
		}
	case Kill:
		if p := w.running(op.Server); p != nil {
			terminate(p)
		}
	case Start:
		if old := w.At(op.Server.Place); old != nil { // at most one process listens at an address
			terminate(old)
		}
		p := w.start(now, op.Server, true)
		updateList(p, decide.Up, w.S.List.Up)
	case MovePod:
		if p := w.running(op.Server); p != nil {
			p.Spec.Pod = op.Pod
			updateList(p, decide.Up, w.S.List.Up)
		}
	case ListLate:
		r.Messages = append(r.Messages, w.List.Step(now, SetLate(op))...)
	case ListDown:
		r.Messages = append(r.Messages, w.List.Step(now, SetDown{op.On})...)
	case Cut:
		w.Net.Cut(op.A, op.B, op.On)
	case Resets:
		w.Net.resets = op.Share
	case Lost:
		w.Net.lost = op.Share
	case ListRefuse:
		r.Messages = append(r.Messages, w.List.Step(now, SetRefuse(op))...)
	}
	return r
}

// EndOverloaded ends the process of a server that was overloaded while cold. Only a Start in the script restarts it.
func (w *World) EndOverloaded(now time.Duration, p *Proc) []ListMessage {
	p.Dead = true
	e := Entry{Server: p.Spec, State: decide.Removed, Started: p.startedAt}
	return w.List.Step(now, ServerChange{Entry: e, After: w.S.List.Drain})
}

func (w *World) running(name string) *Proc {
	if p := w.names[name]; p != nil && !p.Dead {
		return p
	}
	return nil
}
