package slopes

import (
	"math"
	"strconv"
)

// Fit is the curve that is fitted to an entry's points by least squares: Value(x) = A + B f(x), or A x^B for a power,
// which is fitted to logarithms. Steps and tables have no curve; their values are looked up.
type Fit struct {
	s    *Slope
	A, B float64
	// Residual is the root mean square of the differences between points and curve, as a share of the largest value;
	// NaN: there are only as many points as unknowns, or the form has no curve.
	Residual float64
}

// Fit fits an entry by its declared form.
func (s *Slope) Fit() Fit {
	f := Fit{s: s, Residual: math.NaN()}
	switch s.Form {
	case "constant":
		for _, p := range s.Points {
			f.A += p[1] / float64(len(s.Points))
		}
	case "linear", "log", "nlogn":
		f.A, f.B = line(s.Points, s.basis, func(y float64) float64 { return y })
	case "power":
		f.A, f.B = line(s.Points, math.Log, math.Log)
		f.A = math.Exp(f.A)
	default:
		return f
	}
	if len(s.Points) > s.unknowns() {
		var sum, top float64
		for _, p := range s.Points {
			sum += math.Pow(p[1]-f.curve(p[0]), 2)
			top = max(top, math.Abs(p[1]))
		}
		if f.Residual = math.Sqrt(sum / float64(len(s.Points))); top > 0 {
			f.Residual /= top
		}
	}
	return f
}

// unknowns returns the number of parameters that the form's fit determines.
func (s *Slope) unknowns() int {
	switch s.Form {
	case "linear", "log", "nlogn", "power":
		return 2
	}
	return 1
}

// basis returns the form's f(x), see Fit.
func (s *Slope) basis(x float64) float64 {
	switch s.Form {
	case "log":
		return math.Log(x)
	case "nlogn":
		return x * math.Log(x)
	}
	return x
}

// line returns the straight line, by least squares, through points whose coordinates are transformed by fx and fy.
func line(points [][2]float64, fx, fy func(float64) float64) (a, b float64) {
	n := float64(len(points))
	var mx, my, xx, xy float64
	for _, p := range points {
		mx, my = mx+fx(p[0])/n, my+fy(p[1])/n
	}
	for _, p := range points {
		dx := fx(p[0]) - mx
		xx, xy = xx+dx*dx, xy+dx*(fy(p[1])-my)
	}
	if xx > 0 {
		b = xy / xx
	}
	return my - b*mx, b
}

// Value returns the value of the curve at a size, up to the entry's ceiling. The value of steps and tables holds from
// a measured size to the next.
func (f Fit) Value(x float64) float64 {
	if v := f.curve(x); f.s.Ceiling == 0 || v < f.s.Ceiling {
		return v
	}
	return f.s.Ceiling
}

func (f Fit) curve(x float64) float64 {
	switch f.s.Form {
	case "constant":
		return f.A
	case "power":
		return f.A * math.Pow(x, f.B)
	case "steps", "table":
		v := f.s.Points[0][1]
		for _, p := range f.s.Points {
			if p[0] <= x {
				v = p[1]
			}
		}
		return v
	}
	if x <= 0 && f.s.Form != "linear" {
		return f.A
	}
	return f.A + f.B*f.s.basis(x)
}

// Range returns the smallest and the largest measured size.
func (s *Slope) Range() (low, high float64) { return s.Points[0][0], s.Points[len(s.Points)-1][0] }

func number(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }

func itoa(i int) string { return strconv.Itoa(i) }
