package main

import "math"

// point is one measured size and what it cost.
type point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// line is a linear fit by least squares.
type line struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Residual is the root of the mean squared distance from the line, as a
	// share of the largest Y.
	Residual float64 `json:"residual"`
}

// fit returns the line that is nearest to the points. With fewer than two
// different sizes the slope is 0.
func fit(points []point) line {
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY, largest float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
		largest = max(largest, math.Abs(p.Y))
	}
	l := line{}
	if spread := n*sumXX - sumX*sumX; spread > 0 {
		l.Slope = (n*sumXY - sumX*sumY) / spread
	}
	if n > 0 {
		l.Intercept = (sumY - l.Slope*sumX) / n
	}
	if largest == 0 {
		return l
	}
	squares := 0.0
	for _, p := range points {
		squares += math.Pow(p.Y-l.Intercept-l.Slope*p.X, 2)
	}
	l.Residual = math.Sqrt(squares/n) / largest
	return l
}
