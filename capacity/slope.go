// Package capacity extrapolates the cost of the system at the design size from
// benchmark results.
package capacity

import "math"

// Point is one measurement: a value at a size.
type Point struct {
	Size  float64
	Value float64
}

// Slope is a straight line fitted to measurements.
type Slope struct {
	Name      string // benchmark and unit
	Points    []Point
	Intercept float64
	PerUnit   float64
	Residual  float64 // largest distance of a point from the line, relative to the largest value
}

// Fit returns the least-squares line through points. With a single point, the
// line is horizontal.
func Fit(name string, points []Point) Slope {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n++
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
	}
	s := Slope{Name: name, Points: points}
	if spread := n*sxx - sx*sx; spread > 0 {
		s.PerUnit = (n*sxy - sx*sy) / spread
	}
	s.Intercept = (sy - s.PerUnit*sx) / n
	s.Residual = s.residual()
	return s
}

// At returns the value of the line at a size, but no less than 0. Beyond the
// largest measured size it is also no less than the value measured there: a
// cost that falls or levels off is not assumed to keep falling.
func (s Slope) At(size float64) float64 {
	value := max(s.Intercept+s.PerUnit*size, 0)
	if last := s.last(); size > last.Size {
		return max(value, last.Value)
	}
	return value
}

// last returns the point with the largest size.
func (s Slope) last() Point {
	var last Point
	for _, p := range s.Points {
		if p.Size > last.Size {
			last = p
		}
	}
	return last
}

func (s Slope) residual() float64 {
	var worst, greatest float64
	for _, p := range s.Points {
		worst = max(worst, math.Abs(p.Value-s.Intercept-s.PerUnit*p.Size))
		greatest = max(greatest, math.Abs(p.Value))
	}
	if greatest == 0 {
		return 0
	}
	return worst / greatest
}
