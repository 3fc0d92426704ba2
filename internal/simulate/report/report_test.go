package report

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"io"
	"regexp"
	"strings"
	"testing"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/simulate/baseline"
	"vetchhaven/internal/simulate/model/virtual"
	"vetchhaven/internal/simulate/scenario"
)

func report(t *testing.T) *Report {
	t.Helper()
	s, err := scenario.Load("../../../scenarios/cold-start.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.Title = `<b>"a & b"</b>`
	r := &Report{Scenario: s, Seed: 4, Driver: "virtual time"}
	for name, make := range map[string]func(decide.Settings, uint64) (virtual.Policy, error){"vetchhaven": virtual.Decide} {
		p, err := virtual.Play(virtual.Options{Scenario: s, Seed: 4, New: make})
		if err != nil {
			t.Fatal(err)
		}
		r.Results = append(r.Results, Result{name, p.Day, p.Judge, false})
	}
	p, err := virtual.Play(virtual.Options{Scenario: s, Seed: 4, New: func(s decide.Settings, seed uint64) (virtual.Policy, error) {
		return baseline.New("random", s, seed)
	}, Stop: func() bool { return false }})
	if err != nil {
		t.Fatal(err)
	}
	r.Results = append(r.Results, Result{"random", p.Day, p.Judge, true})
	return r
}

func TestTextSaysAll(t *testing.T) {
	r := report(t)
	var text bytes.Buffer
	if err := r.Text(&text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"CUT SHORT", "join 4 x old-2core", "vetchhaven kept all four", "random BROKE rule 4", "fresh-1", "form-submit", "0:55.0"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %q in\n%s", want, text.String())
		}
	}
	if r.Broken() != 0 {
		t.Error("rules that other policies broke are counted")
	}
}

func TestJSON(t *testing.T) {
	r := report(t)
	var a, b bytes.Buffer
	if r.JSON(&a) != nil || r.JSON(&b) != nil || a.String() != b.String() {
		t.Error("one report gives two different texts")
	}
	var back jsonReport
	if err := json.Unmarshal(a.Bytes(), &back); err != nil || len(back.Results) != 2 || back.Results[1].Broken["4"] == 0 || !back.Results[1].CutShort {
		t.Errorf("%v", err)
	}
	sum := 0
	for _, w := range back.Results[0].Windows {
		sum += w.Offered
	}
	if sum != back.Results[0].Total.Offered || sum == 0 {
		t.Errorf("windows have %d, all %d", sum, back.Results[0].Total.Offered)
	}
}

// The page loads no external resources, escapes markup in texts, and its plots are drawn.
func TestHTML(t *testing.T) {
	r := report(t)
	var page bytes.Buffer
	if err := r.HTML(&page); err != nil {
		t.Fatal(err)
	}
	text := page.String()
	if strings.Contains(text, `<b>"a`) || regexp.MustCompile(`(src|href)=|https?:|@import|url\(`).MatchString(text) {
		t.Error("the page contains a title as markup, or loads something from elsewhere")
	}
	if n := strings.Count(text, "<path d=\"M"); n < 10 {
		t.Errorf("%d lines are drawn", n)
	}
	if strings.Contains(text, "NaN") || strings.Contains(text, "Inf") {
		t.Error("a plot contains values that are no numbers")
	}
	d := xml.NewDecoder(strings.NewReader(text[strings.Index(text, "<svg"):strings.Index(text, "</svg>")] + "</svg>"))
	for {
		if _, err := d.Token(); err == io.EOF {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
}

func TestNice(t *testing.T) {
	for v, want := range map[float64]float64{0: 1, 0.7: 0.8, 1: 1, 3: 4, 9: 10, 101: 200, 4500: 5000} {
		if got := nice(v); got != want {
			t.Errorf("nice(%v) is %v, want %v", v, got, want)
		}
	}
	if got := clock(75*time.Second + 200*time.Millisecond); got != "1:15.2" {
		t.Error(got)
	}
}
