package model

import (
	"math/rand/v2"
	"time"
)

// Network is the model of the way between agents and servers.
type Network struct {
	spec   NetworkSpec
	rng    *rand.Rand
	cut    map[[2]int]bool
	resets float64
	lost   float64
}

// NewNetwork begins whole.
func NewNetwork(spec NetworkSpec, chance Chance) *Network {
	return &Network{spec: spec, rng: chance.Sub(Name("network")).Rand(), cut: map[[2]int]bool{}}
}

func pair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

// Cut parts two zones, or joins them again.
func (n *Network) Cut(a, b int, on bool) { n.cut[pair(a, b)] = on }

// Open reports whether messages between two zones arrive.
func (n *Network) Open(a, b int) bool { return !n.cut[pair(a, b)] }

// Way is how long the next message between two zones takes.
func (n *Network) Way(a, b int) time.Duration {
	d := n.spec.Across
	if a == b {
		d = n.spec.Within
	}
	return d + time.Duration(n.rng.Float64()*n.spec.Jitter*float64(d))
}

// Loses reports whether the answer to the next attempt never comes: the connection stays open and silent.
func (n *Network) Loses() bool { return n.lost > 0 && n.rng.Float64() < n.lost }

// Breaks reports whether the connection of the next attempt breaks, and whether that is before
// the request has arrived.
func (n *Network) Breaks() (breaks, before bool) {
	if n.resets <= 0 {
		return false, false
	}
	luck := n.rng.Float64()
	return luck < n.resets, luck < n.resets/2
}
