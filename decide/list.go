package decide

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// askMost is the longest wait before discovery is asked again. What it has to tell counts as told 6 s after
// it could be reached. A call that hangs from before that takes up to 4.5 s of it, and the next its own time.
const askMost = 800 * time.Millisecond

func (b *Balancer) onList(e ListUpdate) {
	switch {
	case !b.s.Subscribe:
	case e.Kind == ListCached || e.Kind == ListFailed:
		// Exponential and fully jittered: all agents may start, or find discovery back, at once.
		most := min(b.s.SubscribeWithin/64<<min(b.askFails, 4), askMost)
		b.askToken = b.alarm(time.Duration(b.rng.Float64() * float64(most)))
		b.askFails++
	default:
		b.askFails = 1
	}
	if e.Kind == ListFailed {
		return
	}
	b.lists++
	b.partitioned = false
	listed := map[string]bool{}
	for _, n := range e.Backends {
		listed[n.ID] = true
		t := b.byID[n.ID]
		if t == nil {
			t = &backend{Backend: n, listed: n.State, slow: 1, key: keyOf(n.ID),
				rank: keyOf(fmt.Sprint(n.ID, b.s.Self)), zoned: b.lists, celled: b.lists, started: b.lists}
			b.byID[n.ID], b.byKey[t.key] = t, t
			b.backends = append(b.backends, t)
			if since := max(n.Started, b.byHand[n.ID]); since > 0 {
				b.start(t, since)
			}
			b.recall(t)
			b.settle(t)
			continue
		}
		if n.Started > t.Started {
			b.restart(t, max(n.Started, t.warmFrom))
		}
		if n.Zone != t.Zone {
			t.zoned = b.lists
		}
		if n.Cell != t.Cell {
			t.celled = b.lists
		}
		t.Backend, t.listed = n, n.State
		b.settle(t)
	}
	slices.SortStableFunc(b.backends, func(x, y *backend) int { return cmp.Compare(x.rank, y.rank) })
	b.backends = slices.DeleteFunc(b.backends, func(t *backend) bool {
		if e.Kind != ListDelta && !listed[t.ID] {
			t.State, t.listed = Removed, Removed
		}
		if t.State != Removed || len(t.out) > 0 { // the next list finds it, once all its attempts are in
			return false
		}
		if delete(b.byID, t.ID); b.byKey[t.key] == t {
			delete(b.byKey, t.key)
		}
		return true
	})
}

// outByHand is in byHand for a backend that an operator has taken out.
const outByHand = -1

// settle gives a backend the state that holds for it: what an operator has taken out by hand gets
// nothing, as if it drained, whatever the list says.
func (b *Balancer) settle(t *backend) {
	if t.State = t.listed; b.byHand[t.ID] == outByHand {
		t.State = max(t.listed, Draining)
	}
}

// restart has a new process in a backend's place: what its last one did is forgotten.
func (b *Balancer) restart(t *backend, at time.Duration) {
	b.start(t, at)
	t.strikes, t.ejected, t.judged, t.leaves, t.down, t.silent, t.started = 0, 0, 0, 0, false, 0, b.lists
}

// onBan takes a backend out by hand, or back in. Out by hand it was most likely restarted, and the list
// tells of that late or never: it comes back as a cold one.
func (b *Balancer) onBan(e BackendDisabled) {
	warm := func(_ string, at time.Duration) bool { return at != outByHand && b.now-at >= b.s.SlowStartTime }
	maps.DeleteFunc(b.byHand, warm)
	t, was := b.byID[e.Backend], b.byHand[e.Backend] == outByHand
	b.partitioned = false
	switch {
	case e.Disabled:
		b.byHand[e.Backend] = outByHand
	case was:
		b.byHand[e.Backend] = b.now
	}
	if t == nil || was == e.Disabled {
		return
	}
	if b.settle(t); !e.Disabled {
		b.lists++ // outcomes of what was sent before it was out tell of another process
		b.restart(t, b.now)
	}
}
