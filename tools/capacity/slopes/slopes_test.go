package slopes

import (
	"bytes"
	"math"
	"strings"
	"testing"
)

const entry = `
[[slope]]
name = "view.bytes_out.rest"
role = "agent"
load = "rest"
quantity = "bytes_out"
unit = "B/s"
mechanism = "view"
variable = "agents"
form = "linear"
points = [[10, 30], [100, 210], [1000, 2010]]
command = "go run ./tools/capacity view"
date = "2026-12-02"
machine = "8 cores"
`

func TestErrorsNameLineAndField(t *testing.T) {
	for _, c := range []struct{ was, is, want string }{
		{"role =", "rule =", "f.toml:4: slope.rule: there is no such key"},
		{`"agent"`, `"agnet"`, "f.toml:4: slope[0].role: \"agnet\" is not one of agent, voter"},
		{`"rest"`, `"night"`, "f.toml:5: slope[0].load: "},
		{`"linear"`, `"cubic"`, "f.toml:10: slope[0].form: "},
		{`"bytes_out"`, `"Bytes out"`, "f.toml:6: slope[0].quantity: "},
		{"[100, 210], [1000, 2010]", "[1000, 2010], [100, 210]", "f.toml:11: slope[0].points: size 100 comes after 1000: sizes must ascend"},
		{"[100, 210]", "[10, 210]", "f.toml:11: slope[0].points: size 10 comes after 10"},
		{"[[10, 30], [100, 210], [1000, 2010]]", "[]", "f.toml:11: slope[0].points: there are no points"},
		{", [100, 210], [1000, 2010]", "", "f.toml:11: slope[0].points: a fit by linear needs at least 2 points"},
		{"[10, 30]", "[10, \"x\"]", "f.toml:11: "},
		{`"go run ./tools/capacity view"`, `""`, "f.toml:12: slope[0].command: "},
		{`"2026-12-02"`, `"2 December"`, "f.toml:13: slope[0].date: "},
		{"machine = \"8 cores\"\n", "", "f.toml:2: slope[0].machine: "},
		{`"view.bytes_out.rest"`, `"view"`, "f.toml:3: slope[0].name: "},
		{"machine = \"8 cores\"\n", "machine = \"8 cores\"\nceiling = 2009\n", "f.toml:15: slope[0].ceiling: 2009 is below a point of 2010"},
		{"machine = \"8 cores\"\n", "machine = \"8 cores\"\nceiling = -1\n", "f.toml:15: slope[0].ceiling: -1 is below"},
		{"machine = \"8 cores\"\n", "machine = \"8 cores\"\n" + entry, "f.toml:17: slope[1].name: \"view.bytes_out.rest\" is already on line 3"},
	} {
		text := strings.Replace(entry, c.was, c.is, 1)
		if text == entry {
			t.Fatalf("%q is not in the entry", c.was)
		}
		if _, err := Parse("f.toml", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s instead of %s: %v, want %s...", c.is, c.was, err, c.want)
		}
	}
}

func TestWrittenEntriesCanBeRead(t *testing.T) {
	all, err := Parse("f.toml", []byte(entry))
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := Write(&b, all...); err != nil {
		t.Fatal(err)
	}
	again, err := Parse("g.toml", b.Bytes())
	if err != nil || len(again) != 1 || again[0].Points[2] != all[0].Points[2] || again[0].Command != all[0].Command {
		t.Errorf("%+v, %v", again, err)
	}
}

// A fit to points that lie on a curve of each form finds the curve: it has no residual, and gives the curve's value
// at a size that was not measured.
func TestFitsFindTheCurveThatPointsAreOn(t *testing.T) {
	for form, f := range map[string]func(x float64) float64{
		"constant": func(float64) float64 { return 7 },
		"linear":   func(x float64) float64 { return 3 + 2*x },
		"log":      func(x float64) float64 { return 3 + 2*math.Log(x) },
		"nlogn":    func(x float64) float64 { return 3 + 2*x*math.Log(x) },
		"power":    func(x float64) float64 { return 3 * math.Pow(x, 1.5) },
	} {
		s := Slope{Form: form}
		for _, x := range []float64{10, 30, 100, 1000} {
			s.Points = append(s.Points, [2]float64{x, f(x)})
		}
		fit := s.Fit()
		if got, want := fit.Value(12000), f(12000); math.Abs(got/want-1) > 1e-9 || fit.Residual > 1e-9 {
			t.Errorf("%s: %v at 12,000, want %v; residual %v", form, got, want, fit.Residual)
		}
	}
}

func TestResidualMeasuresTheDeviationFromTheFit(t *testing.T) {
	s := Slope{Form: "linear", Points: [][2]float64{{0, 0}, {1, 5}, {2, 0}}} // the fitted line is 5/3; the differences are 5/3, 10/3, 5/3, and the largest value is 5
	if got, want := s.Fit().Residual, math.Sqrt(6.0/9/3); math.Abs(got-want) > 1e-9 {
		t.Errorf("%v, want %v", got, want)
	}
	s.Points = s.Points[:2]
	if got := s.Fit().Residual; !math.IsNaN(got) {
		t.Errorf("residual of a line through two points is %v, want NaN", got)
	}
}

func TestAStepHoldsUntilTheNextSize(t *testing.T) {
	f := (&Slope{Form: "steps", Points: [][2]float64{{10, 1}, {20, 5}}}).Fit()
	for x, want := range map[float64]float64{10: 1, 19: 1, 20: 5, 1000: 5} {
		if got := f.Value(x); got != want {
			t.Errorf("%v at %v, want %v", got, x, want)
		}
	}
}

// A ceiling bounds the curve and does not affect the fit.
func TestACeilingBoundsTheCurve(t *testing.T) {
	s := Slope{Form: "linear", Ceiling: 50, Points: [][2]float64{{1, 10}, {2, 20}, {3, 30}}}
	f := s.Fit()
	for x, want := range map[float64]float64{2: 20, 4.9: 49, 5: 50, 1000: 50} {
		if got := f.Value(x); math.Abs(got-want) > 1e-9 {
			t.Errorf("%v at %v, want %v", got, x, want)
		}
	}
	if math.Abs(f.B-10) > 1e-9 {
		t.Errorf("the ceiling changes the fit: %v", f.B)
	}
}
