package capacity

import "gonum.org/v1/gonum/stat"

// Series is one quantity measured at several sizes.
type Series struct {
	// Name is the measured quantity, and Size the quantity that it depends on.
	Name string
	Size string
	Unit string
	// Points has at least four sizes.
	Points []Point
	Fit    Fit
}

// Point is one measurement.
type Point struct {
	Size  float64
	Value float64
}

// Fit is the linear regression through the points.
type Fit struct {
	Base  float64
	Slope float64
	// R2 is the coefficient of determination: the fraction of the variance that the line explains.
	R2 float64
}

// At returns the value of the line at a size.
func (f Fit) At(size float64) float64 { return f.Base + f.Slope*size }

func newSeries(name, size, unit string, points []Point) Series {
	xs := make([]float64, 0, len(points))
	ys := make([]float64, 0, len(points))
	for _, p := range points {
		xs = append(xs, p.Size)
		ys = append(ys, p.Value)
	}
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	return Series{
		Name:   name,
		Size:   size,
		Unit:   unit,
		Points: points,
		Fit: Fit{
			Base:  base,
			Slope: slope,
			R2:    stat.RSquared(xs, ys, nil, base, slope),
		},
	}
}
