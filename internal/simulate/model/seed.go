// Package model simulates the environment of an agent: the servers, the server list, the network
// between zones, the clients and their load, and a script of incidents. It has no I/O, no clock
// and no randomness except that of a seed: its input is events with their times, its output effects.
// Two drivers run it: package virtual in simulated time, and package sockets on loopback.
package model

import (
	"math"
	"math/rand/v2"
	"time"
)

// Seed is a source of random numbers that depend only on names, not on the order in which they
// are drawn. A request therefore costs the same work with every simulated policy.
type Seed uint64

// Derive returns the seed of a part, such as a server, a request or an attempt.
func (c Seed) Derive(names ...uint64) Seed {
	x := uint64(c)
	for _, n := range names {
		x += 0x9e3779b97f4a7c15 + n*0xd1b54a32d192ed03
		x = (x ^ x>>30) * 0xbf58476d1ce4e5b9 // splitmix64
		x = (x ^ x>>27) * 0x94d049bb133111eb
		x ^= x >> 31
	}
	return Seed(x)
}

// HashName turns a word into a name for Derive (FNV-1a).
func HashName(word string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(word) {
		h = (h ^ uint64(word[i])) * 1099511628211
	}
	return h
}

// Rand returns a generator for a sequence of random numbers.
func (c Seed) Rand() *rand.Rand { return rand.New(rand.NewPCG(uint64(c), 1)) }

// Float returns the number in [0, 1) that belongs to this seed.
func (c Seed) Float() float64 { return float64(c.Derive(1)>>11) / (1 << 53) }

// normal returns the standard normal number that belongs to this seed (Box-Muller transform).
func (c Seed) normal() float64 {
	u := 1 - c.Derive(2).Float()
	return math.Sqrt(-2*math.Log(u)) * math.Cos(2*math.Pi*c.Derive(3).Float())
}

// logNormal returns a log-normal factor with mean 1 and the given coefficient of variation.
func (c Seed) logNormal(cv float64) float64 {
	if cv <= 0 {
		return 1
	}
	s := math.Log(1 + cv*cv)
	return math.Exp(c.normal()*math.Sqrt(s) - s/2)
}

// exponential draws a waiting time with the given mean.
func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}
