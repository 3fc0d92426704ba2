package model

import (
	"math/rand/v2"
	"time"
)

// Network simulates the network between agents and servers.
type Network struct {
	spec   NetworkSpec
	rng    *rand.Rand
	cut    map[[2]int]bool
	resets float64
	lost   float64
}

// NewNetwork returns a network without faults.
func NewNetwork(spec NetworkSpec, seed Seed) *Network {
	return &Network{spec: spec, rng: seed.Derive(HashName("network")).Rand(), cut: map[[2]int]bool{}}
}

func pair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

// Cut disconnects two zones, or connects them again.
func (n *Network) Cut(a, b int, on bool) { n.cut[pair(a, b)] = on }

// Connected reports whether messages between two zones arrive.
func (n *Network) Connected(a, b int) bool { return !n.cut[pair(a, b)] }

// Delay draws the network delay of the next message between two zones.
func (n *Network) Delay(a, b int) time.Duration {
	d := n.spec.Across
	if a == b {
		d = n.spec.Within
	}
	return d + time.Duration(n.rng.Float64()*n.spec.Jitter*float64(d))
}

// LosesAnswer reports whether the answer to the next attempt is lost: the connection stays open and silent.
func (n *Network) LosesAnswer() bool { return n.lost > 0 && n.rng.Float64() < n.lost }

// Breaks reports whether the connection of the next attempt breaks, and whether it breaks before
// the request has arrived.
func (n *Network) Breaks() (breaks, before bool) {
	if n.resets <= 0 {
		return false, false
	}
	draw := n.rng.Float64()
	return draw < n.resets, draw < n.resets/2
}
