// Package slopes reads, writes and fits measurements: points of a quantity over the size on which it depends, and the
// run that produced them.
package slopes

import (
	"io"

	"github.com/pelletier/go-toml/v2"
)

// Slope is one entry of docs/capacity/slopes.toml. It holds raw points only; the fitted curve is computed and never
// written.
type Slope struct {
	Name      string       `toml:"name"`      // unique, such as "view.bytes_out.rest"
	Role      string       `toml:"role"`      // agent, voter, keeper, source (hands out lists and changes), operator, path, chain
	Load      string       `toml:"load"`      // rest, day, worst
	Quantity  string       `toml:"quantity"`  // bytes_out, bytes_in, messages_out, messages_in, cpu, memory, state, time, ...
	Unit      string       `toml:"unit"`      // "B/s", "1/s", "core", "B", "s", "us", ...
	Mechanism string       `toml:"mechanism"` // view, verdicts, limits, policy, list, path, chain, or a later one
	Variable  string       `toml:"variable"`  // the size on which the quantity depends: agents, services, regions, changes_per_s, rtt_ms, tiers, ...
	Form      string       `toml:"form"`      // curve to fit: constant, linear, log, nlogn, power, steps, table
	Points    [][2]float64 `toml:"points"`    // [size, value], sizes ascending
	Command   string       `toml:"command"`   // the command that prints these points
	Date      string       `toml:"date"`      // YYYY-MM-DD of the run
	Machine   string       `toml:"machine"`   // cores, memory, what else ran
	Note      string       `toml:"note,omitempty"`
	Ceiling   float64      `toml:"ceiling,omitempty"` // an upper bound by construction, explained in the note, that the curve does not reflect; 0: none
	Instead   string       `toml:"instead,omitempty"` // the entry of the mechanism that replaces this one; this entry is kept without a bound; "": none
}

// Write writes entries in the format of docs/capacity/slopes.toml.
func Write(w io.Writer, all ...Slope) error {
	e := toml.NewEncoder(w)
	e.SetArraysMultiline(false)
	return e.Encode(struct {
		Slope []Slope `toml:"slope"`
	}{all})
}
