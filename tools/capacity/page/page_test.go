package page

import (
	"math"
	"os"
	"strings"
	"testing"

	"vetchhaven/tools/capacity/slopes"
)

const docs = "../../../docs/"

// The pages contain exactly the tables that the files of the target size and the slopes produce, byte by byte.
func TestThePagesMatchTheirSourceFiles(t *testing.T) {
	brief, full, err := Load(docs+"capacity/size.toml", docs+"capacity/slopes.toml")
	if err != nil {
		t.Fatal(err)
	}
	for name, tables := range map[string]map[string]string{"CAPACITY.md": brief, "capacity/tables.md": full} {
		was, err := os.ReadFile(docs + name)
		if err != nil {
			t.Fatal(err)
		}
		text, err := Insert("docs/"+name, string(was), tables)
		if err != nil {
			t.Fatal(err)
		}
		a, b := strings.Split(string(was), "\n"), strings.Split(text, "\n")
		for i := range min(len(a), len(b)) {
			if a[i] != b[i] {
				t.Fatalf("docs/%s:%d:\n%s\nwant\n%s\n(go run ./tools/capacity page --write)", name, i+1, a[i], b[i])
			}
		}
		if len(a) != len(b) {
			t.Errorf("docs/%s has %d lines, want %d (go run ./tools/capacity page --write)", name, len(a), len(b))
		}
	}
}

const size = `
[[variable]]
name = "agents"
words = "agents"
value = 12000
grows = true
source = "the issue"

[[variable]]
name = "rtt_ms"
words = "ms there and back"
value = 250
source = "the issue"

[[bound]]
name = "bytes"
role = "agent"
quantities = ["bytes_in", "bytes_out"]
unit = "B/s"
most = 11000
sum = true
source = "the issue"

[[bound]]
name = "in time"
role = "agent"
quantities = ["time"]
unit = "s"
most = 11
source = "the issue"

[[asked]]
role = "agent"
mechanisms = ["view"]
loads = ["rest"]
quantities = ["bytes_out", "memory"]
`

func slope(change func(*slopes.Slope)) slopes.Slope {
	s := slopes.Slope{Name: "view.bytes_out.rest", Role: "agent", Load: "rest", Quantity: "bytes_out", Unit: "B/s", Mechanism: "view", Variable: "agents", Form: "linear",
		Points: [][2]float64{{100, 200}, {300, 400}, {1000, 1100}}, Command: "c", Date: "2026-12-02", Machine: "m"}
	change(&s)
	return s
}

func tables(t *testing.T, all ...slopes.Slope) map[string]string {
	t.Helper()
	s, err := ParseSize("size.toml", []byte(size))
	if err != nil {
		t.Fatal(err)
	}
	return Tables(s, all)
}

// has fails the test unless a table has a row with all of these cells, in their order.
func has(t *testing.T, table string, cells ...string) {
	t.Helper()
	for _, line := range strings.Split(table, "\n") {
		rest, ok := line, true
		for _, c := range cells {
			_, after, found := strings.Cut(rest, c)
			if rest = after; !found {
				ok = false
				break
			}
			rest = "|" + rest
		}
		if ok {
			return
		}
	}
	t.Errorf("no row has %q:\n%s", cells, table)
}

// The curve 100 + 1 x agents gives 12.1 KB/s at 12,000 agents, which is twelve times the largest measured size, and
// crosses the bound at 10,900 agents.
func TestAnEntryIsExtrapolatedAndHeldToItsBound(t *testing.T) {
	got := tables(t, slope(func(*slopes.Slope) {}))
	has(t, got["agent"], "at rest", "`view.bytes_out.rest`", "| view |", "| 100 B/s + 1 B/s x agents |", "| 12.1 KB/s |", "| 0.0% |", "| 100 to 1,000 agents |", "| **12.0** |", "| 11 KB/s for all |", "| **no** |", "[1]")
	has(t, got["agent"], "at rest", "**all together: bytes**", "| 12.1 KB/s |", "**no**")
	has(t, got["agent"], "at rest", "| view: memory | | not measured |")
	has(t, got["breaks"], "| 1 | bytes |", "10,900 agents (0.91 of the size)", "**no**")
	has(t, got["runs"], "[1]", "`c`", "2026-12-02", "| m |")
	if strings.Contains(got["breaks"], "in time") {
		t.Errorf("a bound without measurements is in the table:\n%s", got["breaks"])
	}
}

func TestAShortExtrapolationIsNotMarked(t *testing.T) {
	got := tables(t, slope(func(s *slopes.Slope) { s.Points = [][2]float64{{300, 400}, {1000, 1100}, {3000, 3100}} }))
	has(t, got["agent"], "| 4.0 |")
}

// A value measured at the target size is used instead of the curve.
func TestAMeasurementAtTheTargetSizeIsUsed(t *testing.T) {
	got := tables(t, slope(func(s *slopes.Slope) { s.Points = append(s.Points, [2]float64{12000, 5000}) }))
	has(t, got["agent"], "| 5 KB/s, measured |", "| within |", "| yes |")
	has(t, got["agent"], "all together", "| 5 KB/s |", "| yes |")
	has(t, got["breaks"], "| 1 | bytes |", "| 5 KB/s |", "| yes |")
}

// In a sum, a figure that was not measured at a load has its value at rest, and of two entries of one quantity only the
// greater is included.
func TestABoundOnASumTakesTheGreatestOfEachMechanism(t *testing.T) {
	flat := func(name, load, quantity, mechanism string, value float64) slopes.Slope {
		return slope(func(s *slopes.Slope) {
			s.Name, s.Load, s.Quantity, s.Mechanism, s.Form, s.Points = name, load, quantity, mechanism, "constant", [][2]float64{{100, value}}
		})
	}
	got := tables(t, flat("a.a", "rest", "bytes_out", "view", 3000), flat("a.b", "rest", "bytes_in", "view", 2000), flat("a.c", "rest", "bytes_out", "policy", 100),
		flat("a.d", "worst", "bytes_out", "view", 7000), flat("a.e", "worst", "bytes_out", "view", 6000))
	has(t, got["agent"], "at rest", "all together", "| 5.1 KB/s |", "| yes |")
	has(t, got["agent"], "worst minute", "all together", "| 9.1 KB/s |", "| yes |")
	has(t, got["breaks"], "worst minute", "not up to 1,200,000 agents", "9.1 KB/s", "yes")
}

// Times in other units are compared with the same bound, and the bound that is crossed at the smaller share of its
// size comes first.
func TestCrossingsAreSortedBySize(t *testing.T) {
	got := tables(t,
		slope(func(s *slopes.Slope) {}),
		slope(func(s *slopes.Slope) {
			s.Name, s.Quantity, s.Unit, s.Points = "policy.time.day", "time", "ms", [][2]float64{{100, 1000}, {1000, 10000}}
		}),
		slope(func(s *slopes.Slope) {
			s.Name, s.Quantity, s.Unit, s.Variable, s.Points = "policy.time.far", "time", "s", "rtt_ms", [][2]float64{{10, 1}, {100, 10}}
		}))
	has(t, got["agent"], "`policy.time.day`", "10 ms x agents |", "| 120 s |", "| 11 s |", "**no**")
	lines := strings.Split(got["breaks"], "\n")
	for i, want := range []string{"1,100 agents (0.092 of the size)", "110 ms there and back (0.44 of the size)", "10,900 agents"} {
		if !strings.Contains(lines[2+i], want) {
			t.Errorf("row %d, want %s:\n%s", i+1, want, got["breaks"])
		}
	}
}

// A bound that is crossed below the smallest measured size is reported so, without an extrapolated size.
func TestACrossingBelowWhatWasMeasuredSaysSo(t *testing.T) {
	got := tables(t, slope(func(s *slopes.Slope) {
		s.Name, s.Quantity, s.Unit, s.Points = "policy.time.day", "time", "s", [][2]float64{{100, 100}, {300, 300}, {1000, 1000}}
	}))
	has(t, got["breaks"], "| 1 | in time |", "below 100 agents, the smallest size measured", "**no**")
}

// A sum that is crossed below the smallest measured size is reported in the same way. The reported size is the largest
// of the smallest measured sizes of the growing mechanisms.
func TestASumCrossedBelowWhatWasMeasuredSaysSo(t *testing.T) {
	got := tables(t, slope(func(s *slopes.Slope) { s.Points = [][2]float64{{300, 30000}, {1000, 100000}} }),
		slope(func(s *slopes.Slope) {
			s.Name, s.Mechanism, s.Points = "other.bytes_out.rest", "other", [][2]float64{{500, 1}, {1000, 2}}
		}))
	has(t, got["breaks"], "| 1 | bytes |", "below 300 agents, the smallest size measured", "**no**")
}

// A figure that grows with the distance is included in the sum with its value at the target distance, and has a row of
// its own if it alone crosses the bound.
func TestAFigureThatGrowsWithDistanceHasItsOwnCrossing(t *testing.T) {
	got := tables(t, slope(func(s *slopes.Slope) {
		s.Variable, s.Form, s.Points = "rtt_ms", "steps", [][2]float64{{0, 700}, {120, 5000}, {200, 23000}}
	}))
	has(t, got["breaks"], "| 1 | bytes |", "at any size, with 250 ms there and back", "23 KB/s", "**no**")
	has(t, got["breaks"], "| 2 | bytes |", "200 ms there and back (0.8 of the size)", "23 KB/s", "**no**")
}

// Of two entries of one quantity, CAPACITY.md contains the greater one, and tables.md both.
func TestThePageHasTheGreatestOfEachQuantity(t *testing.T) {
	all := []slopes.Slope{slope(func(*slopes.Slope) {}), slope(func(s *slopes.Slope) {
		s.Name, s.Points = "view.bytes_out.less", [][2]float64{{100, 20}, {300, 40}, {1000, 110}}
	}),
		slope(func(s *slopes.Slope) { s.Name, s.Quantity = "view.unasked.rest", "unasked" })}
	s, err := ParseSize("size.toml", []byte(size))
	if err != nil {
		t.Fatal(err)
	}
	brief, full := Brief(s, all), Tables(s, all)
	for _, c := range []struct {
		text, name string
		want       bool
	}{{brief["agent"], "view.bytes_out.rest", true}, {brief["agent"], "view.bytes_out.less", false}, {brief["agent"], "view.unasked.rest", false},
		{full["agent"], "view.bytes_out.rest", true}, {full["agent"], "view.bytes_out.less", true}, {full["agent"], "view.unasked.rest", true}} {
		if strings.Contains(c.text, c.name) != c.want {
			t.Errorf("%s is there: %v, want %v:\n%s", c.name, !c.want, c.want, c.text)
		}
	}
}

// An entry that another mechanism replaces is kept in tables.md with the name of its replacement, without a bound;
// CAPACITY.md has only the replacement.
func TestAReplacedEntryHasNoBound(t *testing.T) {
	old, now := slope(func(s *slopes.Slope) { s.Instead = "view.bytes_out.now" }), slope(func(s *slopes.Slope) {
		s.Name, s.Points = "view.bytes_out.now", [][2]float64{{100, 20}, {300, 40}, {1000, 110}}
	})
	s, err := ParseSize("size.toml", []byte(size))
	if err != nil {
		t.Fatal(err)
	}
	brief, full := Brief(s, []slopes.Slope{old, now}), Tables(s, []slopes.Slope{old, now})
	has(t, full["agent"], "`view.bytes_out.rest`; since carried by `view.bytes_out.now`", "| 12.1 KB/s |", "| none |")
	has(t, full["agent"], "**all together: bytes**", "| 1.21 KB/s |", "yes")
	has(t, full["breaks"], "| 1 | bytes |", "`view.bytes_out.now`", "yes")
	if strings.Contains(brief["agent"], "view.bytes_out.rest") || !strings.Contains(brief["agent"], "view.bytes_out.now") {
		t.Errorf("the page has the replaced entry, or not its replacement:\n%s", brief["agent"])
	}
	for _, instead := range []string{"view.bytes_out.none", "view.bytes_out.rest"} {
		old.Instead = instead
		if err := s.Fits("f.toml", []byte("[[slope]]\ninstead = \"x\"\n"), []slopes.Slope{old, now}); err == nil || !strings.HasPrefix(err.Error(), "f.toml:2: slope[0].instead: ") {
			t.Errorf("instead %s: %v", instead, err)
		}
	}
}

func TestATableIsNotExtrapolated(t *testing.T) {
	got := tables(t, slope(func(s *slopes.Slope) { s.Form = "table" }))
	has(t, got["agent"], "100: 200 B/s; 300: 400 B/s; 1,000: 1.1 KB/s", "not extrapolated; 1.1 KB/s at 1,000", "read off")
}

func TestCrossingIsWhereTheCurveMeetsItsBound(t *testing.T) {
	if got := cross(func(x float64) float64 { return 8 * x * x }, 2); math.Abs(got-0.5) > 1e-6 {
		t.Errorf("%v, want 0.5", got)
	}
	if got := cross(func(float64) float64 { return 3 }, 2); got != 0 {
		t.Errorf("%v, want 0: the curve is above its bound at any size", got)
	}
}

func TestErrorsOfSizeNameLineAndField(t *testing.T) {
	for _, c := range []struct{ was, is, want string }{
		{"grows = true", "growing = true", "s.toml:6: variable.growing: there is no such key"},
		{"value = 12000", "rest = 5", "s.toml:"},
		{"name = \"rtt_ms\"", "name = \"agents\"", "s.toml:10: variable[1].name: "},
		{"source = \"the issue\"\n\n[[bound]]", "\n[[bound]]", "s.toml:9: variable[1].source: "},
		{"role = \"agent\"", "role = \"agnet\"", "s.toml:17: bound[0].role: "},
		{"most = 11000", "most = 0", "s.toml:20: bound[0].most: "},
		{"loads = [\"rest\"]", "loads = [\"night\"]", "s.toml:35: asked[0].loads: "},
		{"quantities = [\"bytes_out\", \"memory\"]", "quantities = []", "s.toml:36: asked[0].quantities: "},
	} {
		text := strings.Replace(size, c.was, c.is, 1)
		if text == size {
			t.Fatalf("%q is not in the file", c.was)
		}
		if _, err := ParseSize("s.toml", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s instead of %s: %v, want %s...", c.is, c.was, err, c.want)
		}
	}
}

func TestTheVariableOfAnEntryMustHaveATargetSize(t *testing.T) {
	s, err := ParseSize("size.toml", []byte(size))
	if err != nil {
		t.Fatal(err)
	}
	text := "[[slope]]\nvariable = \"stars\"\n"
	if err := s.Fits("f.toml", []byte(text), []slopes.Slope{slope(func(s *slopes.Slope) { s.Variable = "stars" })}); err == nil || !strings.HasPrefix(err.Error(), "f.toml:2: slope[0].variable: \"stars\"") {
		t.Error(err)
	}
	text = "[[slope]]\nunit = \"B\"\n"
	if err := s.Fits("f.toml", []byte(text), []slopes.Slope{slope(func(s *slopes.Slope) { s.Unit = "B" })}); err == nil || !strings.HasPrefix(err.Error(), "f.toml:2: slope[0].unit: \"B\"") {
		t.Error(err)
	}
}

func TestTablesGoBetweenTheirMarkers(t *testing.T) {
	all := map[string]string{"agent": "| x |\n", "voter": "| y |\n"}
	const text = "a\n<!-- tables: begin agent -->\nold\n<!-- end -->\nb\n<!-- tables: begin voter -->\n<!-- end -->\n"
	got, err := Insert("p.md", text, all)
	if want := "a\n<!-- tables: begin agent -->\n| x |\n<!-- end -->\nb\n<!-- tables: begin voter -->\n| y |\n<!-- end -->\n"; err != nil || got != want {
		t.Errorf("%q, %v", got, err)
	}
	if again, err := Insert("p.md", got, all); err != nil || again != got {
		t.Errorf("%q, %v: a second insertion changes the text", again, err)
	}
	for _, c := range []struct{ was, is, want string }{
		{"begin agent", "begin agnet", "p.md:2: there is no table \"agnet\""},
		{"begin voter", "begin agent", "p.md:6: there is no table \"agent\", or it is here twice"},
		{"old\n<!-- end -->\n", "old\n", "p.md:5: the table agent that begins on line 2 has no end"},
		{"a\n", "<!-- end -->\n", "p.md:1: this end marker has no begin marker"},
		{"<!-- tables: begin voter -->\n<!-- end -->\n", "", "p.md: no place for the tables voter"},
	} {
		if _, err := Insert("p.md", strings.Replace(text, c.was, c.is, 1), all); err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s instead of %s: %v, want %s", c.is, c.was, err, c.want)
		}
	}
}
