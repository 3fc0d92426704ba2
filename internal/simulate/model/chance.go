// Package model is a model of all that surrounds an agent: form servers, the server list, the
// network between zones, clients and their load, and a script of incidents. It has no I/O, no
// clock and no chance but that of a seed: things that happen go in with their time, what follows
// comes out. Two drivers play it: package virtual in simulated time, package sockets on loopback.
package model

import (
	"math"
	"math/rand/v2"
	"time"
)

// Chance is a source of random numbers that depend on names alone, not on the order in which they
// are drawn: the same request is as heavy whichever policy is played.
type Chance uint64

// Sub is the chance of something within: a server, a request, an attempt.
func (c Chance) Sub(names ...uint64) Chance {
	x := uint64(c)
	for _, n := range names {
		x += 0x9e3779b97f4a7c15 + n*0xd1b54a32d192ed03
		x = (x ^ x>>30) * 0xbf58476d1ce4e5b9 // splitmix64
		x = (x ^ x>>27) * 0x94d049bb133111eb
		x ^= x >> 31
	}
	return Chance(x)
}

// Name turns a word into a name for Sub (FNV-1a).
func Name(word string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(word) {
		h = (h ^ uint64(word[i])) * 1099511628211
	}
	return h
}

// Rand is a generator of many numbers.
func (c Chance) Rand() *rand.Rand { return rand.New(rand.NewPCG(uint64(c), 1)) }

// Float is the number in [0, 1) that belongs to this name.
func (c Chance) Float() float64 { return float64(c.Sub(1)>>11) / (1 << 53) }

// normal is the standard normal number that belongs to this name (Box and Muller).
func (c Chance) normal() float64 {
	u := 1 - c.Sub(2).Float()
	return math.Sqrt(-2*math.Log(u)) * math.Cos(2*math.Pi*c.Sub(3).Float())
}

// around is a log-normal factor with mean 1 and the given coefficient of variation.
func (c Chance) around(cv float64) float64 {
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
