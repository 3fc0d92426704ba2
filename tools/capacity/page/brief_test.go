package page

import (
	"os"
	"strings"
	"testing"

	"vetchhaven/tools/capacity/slopes"
)

func briefOf(t *testing.T, all ...slopes.Slope) map[string]string {
	t.Helper()
	s, err := ParseSize("size.toml", []byte(size))
	if err != nil {
		t.Fatal(err)
	}
	return Brief(s, all)
}

// hasNot fails the test if a table contains any of the texts.
func hasNot(t *testing.T, table string, texts ...string) {
	t.Helper()
	for _, text := range texts {
		if strings.Contains(table, text) {
			t.Errorf("the table has %q:\n%s", text, table)
		}
	}
}

// CAPACITY.md must be short enough to be read completely. Tables that do not fit belong in tables.md.
func TestThePageIsShort(t *testing.T) {
	text, err := os.ReadFile(docs + "CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	if len(lines) > 190 {
		t.Errorf("%d lines, 190 at most", len(lines))
	}
	for i, line := range lines {
		if n := len([]rune(line)); n > 165 {
			t.Errorf("docs/CAPACITY.md:%d: %d characters, 165 at most", i+1, n)
		}
	}
}

func TestABriefRowShowsSlopeRangeDistanceBoundAndRun(t *testing.T) {
	got := briefOf(t, slope(func(*slopes.Slope) {}))
	has(t, got["agent"], "| rest | `view.bytes_out.rest` |", "| 100 B/s + 1 B/s n |", "| 12.1 KB/s |", "| 100 to 1,000 agents |", "| **12.0** |", "| 11 KB/s |", "| **no** |", "| [1] |")
	has(t, got["agent"], "| rest | **all together**, of 1 |", "| 12.1 KB/s |", "| 11 KB/s |", "| **no** |")
	if !strings.Contains(got["agent"], "\nNot measured: at rest view: memory.\n") {
		t.Errorf("missing figures are not named:\n%s", got["agent"])
	}
	has(t, got["breaks"], "| 1 | bytes | rest |", "10,900 agents (0.91 of the size)", "`view.bytes_out.rest`", "| 12.1 KB/s | 11 KB/s | **no** |")
}

// Of two directions only the greater has a row, with its own messages; a sum counts both.
func TestTheGreaterDirectionIsShownWithItsMessages(t *testing.T) {
	of := func(quantity string, unit string, value float64) slopes.Slope {
		return slope(func(s *slopes.Slope) {
			s.Name, s.Quantity, s.Unit, s.Form, s.Points = "view."+quantity+".rest", quantity, unit, "constant", [][2]float64{{12000, value}}
		})
	}
	got := briefOf(t, of("bytes_out", "B/s", 4000), of("bytes_in", "B/s", 5000), of("messages_out", "1/s", 7), of("messages_in", "1/s", 9))
	has(t, got["agent"], "| `view.bytes_in.rest` |", "| 5 KB/s, 9 msg/s |", "| measured |")
	has(t, got["agent"], "**all together**, of 1 |", "| 9 KB/s |")
	hasNot(t, got["agent"], "bytes_out", "`view.messages")
}

// An entry that is a small share of a bound on a sum has no row, but is counted in the sum. An entry without a bound
// always has a row.
func TestASmallShareOfASharedBoundHasNoRow(t *testing.T) {
	flat := func(mechanism, quantity string, value float64) slopes.Slope {
		return slope(func(s *slopes.Slope) {
			s.Name, s.Mechanism, s.Quantity, s.Form, s.Points = mechanism+"."+quantity+".rest", mechanism, quantity, "constant", [][2]float64{{100, value}}
		})
	}
	got := briefOf(t, flat("view", "bytes_out", 600), flat("policy", "bytes_out", 300), flat("policy", "bytes_in", 700), flat("list", "bytes_out", 600), flat("list", "bytes_in", 600), flat("view", "memory", 1))
	hasNot(t, got["agent"], "`view.bytes_out.rest`", "`policy.bytes")
	has(t, got["agent"], "`list.bytes_in.rest`")
	has(t, got["agent"], "`view.memory.rest`")
	has(t, got["agent"], "**all together**, of 3 |", "| 2.8 KB/s |")
}

// Of the entries that meet a bound on single entries, only the closest to the bound has a row; each entry that exceeds
// the bound has a row.
func TestTheEntryClosestToItsBoundIsShown(t *testing.T) {
	time := func(name, mechanism string, value float64) slopes.Slope {
		return slope(func(s *slopes.Slope) {
			s.Name, s.Mechanism, s.Quantity, s.Unit, s.Form, s.Points = name, mechanism, "time", "s", "constant", [][2]float64{{100, value}}
		})
	}
	got := briefOf(t, time("a.time.rest", "a", 3), time("b.time.rest", "b", 4))
	has(t, got["agent"], "`b.time.rest`", "| 4 s |", "yes")
	hasNot(t, got["agent"], "a.time.rest")
	got = briefOf(t, time("a.time.rest", "a", 12), time("b.time.rest", "b", 13))
	has(t, got["agent"], "`a.time.rest`", "**no**")
	has(t, got["agent"], "`b.time.rest`", "**no**")
}

// Points that are calculated from others are not shown as measured.
func TestCalculatedPointsAreMarked(t *testing.T) {
	got := briefOf(t, slope(func(s *slopes.Slope) {
		s.Points, s.Note = append(s.Points, [2]float64{12000, 5000}), "worked out: so many times so much"
	}))
	has(t, got["agent"], "| 5 KB/s |", "| worked out |")
	hasNot(t, got["agent"], "| measured |")
}

func TestABriefTableOfPointsIsNotExtrapolated(t *testing.T) {
	got := briefOf(t, slope(func(s *slopes.Slope) { s.Form = "table" }))
	has(t, got["agent"], "| 100: 200 B/s; 1,000: 1.1 KB/s |", "| not extrapolated |", "| **12.0** |")
}

// Each bound that is not met has a row, followed by the two bounds that are met and would be crossed first. All other
// bounds share one row, which shows the range of their numbers.
func TestBriefBreaksAreThoseThatAreNotMetAndTheNextTwo(t *testing.T) {
	var all []slopes.Slope
	for _, c := range []struct {
		name string
		b    float64
	}{{"a", 1.0 / 500}, {"b", 1.0 / 2000}, {"c", 1.0 / 3000}, {"d", 1.0 / 4000}, {"e", 1.0 / 5000}} {
		all = append(all, slope(func(s *slopes.Slope) {
			s.Name, s.Mechanism, s.Quantity, s.Unit, s.Points = c.name+".time.rest", c.name, "time", "s", [][2]float64{{100, 100 * c.b}, {1000, 1000 * c.b}}
		}))
	}
	got := briefOf(t, all...)["breaks"]
	has(t, got, "| 1 | in time |", "`a.time.rest`", "**no**")
	has(t, got, "| 3 | in time |", "`c.time.rest`", "yes")
	has(t, got, "| 4 to 5 |", "later", "yes")
	hasNot(t, got, "`d.time.rest`")
}

// Each incident has a row, with a column for each quantity and the values by size; a missing point is shown as "-".
func TestTiersHaveOneRowPerIncident(t *testing.T) {
	of := func(name, quantity, unit string, points ...[2]float64) slopes.Slope {
		return slope(func(s *slopes.Slope) {
			s.Name, s.Role, s.Load, s.Quantity, s.Unit, s.Form, s.Mechanism, s.Points = "chain."+name, "chain", "worst", quantity, unit, "table", "chain", points
		})
	}
	got := briefOf(t, of("errors.attempts", "attempts", "1/call", [2]float64{1, 1.5}, [2]float64{16, 4}), of("errors.attempts_threes", "attempts", "1/call", [2]float64{1, 9}),
		of("errors.share", "share", "share", [2]float64{16, 0}), of("start.settled", "time", "s", [2]float64{1, 2}, [2]float64{16, 3}), of("slow.settled", "time", "s", [2]float64{1, 0.5}, [2]float64{16, 3}))["chain"]
	has(t, got, "| errors | 1.5 / 4 | - / 0% | |")
	has(t, got, "| start | | | 2 / 3 s |")
	has(t, got, "| slow | | | 500 ms / 3 s |")
	has(t, got, "| by agents: 1 / 16 | attempts | share | time | run |")
}

// The view's worst minutes have the same form: bytes out, the most bytes in a second, and the time until all views
// agree.
func TestTheViewsWorstMinutesAreListedBySize(t *testing.T) {
	of := func(name, quantity, unit string, points ...[2]float64) slopes.Slope {
		return slope(func(s *slopes.Slope) {
			s.Name, s.Load, s.Quantity, s.Unit, s.Form, s.Points = "view."+quantity+"."+name, "worst", quantity, unit, "table", points
		})
	}
	got := briefOf(t, of("zone_80ms", "bytes_out", "B/s", [2]float64{30, 1500}, [2]float64{100, 2500}), of("zone_80ms", "bytes_in", "B/s", [2]float64{30, 7}),
		of("all", "time_agreed", "s", [2]float64{300, 4}))["minutes"]
	has(t, got, "| by agents: 30 / 100 / 300 | bytes out | bytes out most | time agreed | run |")
	has(t, got, "| zone | 1.5 / 2.5 / - KB/s | | |")
	has(t, got, "| all | | | - / - / 4 s |")
	hasNot(t, got, "7 B/s")
}

func TestACeilingIsShownNextToTheSlope(t *testing.T) {
	e := slope(func(s *slopes.Slope) { s.Ceiling = 9000 })
	has(t, briefOf(t, e)["agent"], "| 100 B/s + 1 B/s n, at most 9 KB/s | 9 KB/s |", "| **12.0** |", "yes")
	has(t, tables(t, e)["agent"], "| 100 B/s + 1 B/s x agents, at most 9 KB/s | 9 KB/s |")
}
