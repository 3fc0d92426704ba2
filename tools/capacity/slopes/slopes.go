// Package slopes holds what was measured: points of a quantity over the size that it grows with, and where they come from.
package slopes

import (
	"io"

	"github.com/pelletier/go-toml/v2"
)

// Slope is one entry of docs/capacity/slopes.toml: raw points alone. What is fitted to them is computed, never written.
type Slope struct {
	Name      string       `toml:"name"`      // unique, such as "view.bytes_out.rest"
	Role      string       `toml:"role"`      // agent, voter, keeper, source (hands out lists and changes), operator, path, chain
	Load      string       `toml:"load"`      // rest, day, worst
	Quantity  string       `toml:"quantity"`  // bytes_out, bytes_in, messages_out, messages_in, cpu, memory, state, time, ...
	Unit      string       `toml:"unit"`      // "B/s", "1/s", "core", "B", "s", "us", ...
	Mechanism string       `toml:"mechanism"` // view, verdicts, limits, policy, list, path, chain, or one that is to come
	Variable  string       `toml:"variable"`  // what it grows with: agents, services, regions, changes_per_s, rtt_ms, tiers, ...
	Form      string       `toml:"form"`      // constant, linear, log, nlogn, power, steps, table: what the points are fitted as
	Points    [][2]float64 `toml:"points"`    // [size, value], sizes ascending
	Command   string       `toml:"command"`   // prints these points
	Date      string       `toml:"date"`      // YYYY-MM-DD of the run
	Machine   string       `toml:"machine"`   // cores, memory, what else ran
	Note      string       `toml:"note,omitempty"`
	Ceiling   float64      `toml:"ceiling,omitempty"` // a bound by construction that the curve does not know, as the note says; 0: none
	Instead   string       `toml:"instead,omitempty"` // the entry of what carries it since: this one is kept, and held to no bound; "": none
}

// Write writes entries as they stand in docs/capacity/slopes.toml.
func Write(w io.Writer, all ...Slope) error {
	e := toml.NewEncoder(w)
	e.SetArraysMultiline(false)
	return e.Encode(struct {
		Slope []Slope `toml:"slope"`
	}{all})
}
