package page

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// grid is a Markdown table.
type grid struct {
	head []any
	rows [][]any
}

func table(head ...any) *grid { return &grid{head: head} }

func (g *grid) row(cells ...any) { g.rows = append(g.rows, cells) }

func (g *grid) String() string {
	var b strings.Builder
	line := func(cells []any) {
		b.WriteString("|")
		for _, c := range cells {
			if text := fmt.Sprint(c); text == "" {
				b.WriteString(" |")
			} else {
				b.WriteString(" " + text + " |")
			}
		}
		b.WriteString("\n")
	}
	line(g.head)
	b.WriteString("|" + strings.Repeat(" --- |", len(g.head)) + "\n")
	for _, r := range g.rows {
		line(r)
	}
	return b.String()
}

// count formats a number for people, such as 12,000 or 0.74.
func count(x float64) string {
	if x != math.Trunc(x) || math.Abs(x) < 1000 {
		return strconv.FormatFloat(round(x), 'f', -1, 64)
	}
	text := strconv.FormatFloat(x, 'f', 0, 64)
	for i := len(text) - 3; i > 0 && text[i-1] != '-'; i -= 3 {
		text = text[:i] + "," + text[i:]
	}
	return text
}

// unit formats a figure with three significant figures, in a unit of the same kind that makes it short.
func unit(x float64, u string) string {
	short := func(x float64) string { return count(round(x)) }
	step := func(x float64, names ...string) string {
		i := 0
		for ; i < len(names)-1 && math.Abs(round(x)) >= 1000; i++ {
			x /= 1000
		}
		return short(x) + " " + names[i]
	}
	k := units[u]
	switch {
	case x == 0 && u != "share" || u == "":
		return strings.TrimSpace(short(x) + " " + u)
	case k.kind == "bytes":
		return step(x*k.of, "B", "KB", "MB", "GB", "TB")
	case k.kind == "rate":
		return step(x*k.of, "B/s", "KB/s", "MB/s", "GB/s")
	case k.kind == "time":
		return step(x*k.of*1e9, "ns", "us", "ms", "s")
	case u == "share":
		return short(100*x) + "%"
	case u == "core":
		return short(100*x) + "% of a core"
	}
	return short(x) + " " + u
}

// round rounds to three significant figures.
func round(x float64) float64 {
	v, _ := strconv.ParseFloat(strconv.FormatFloat(x, 'g', 3, 64), 64)
	return v
}
