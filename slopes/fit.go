package main

import "math"

// point is the cost Y that was measured at size X.
type point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// linearFit is a linear fit by least squares.
type linearFit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Residual is the root mean square of the vertical distances from the line,
	// as a fraction of the largest absolute Y.
	Residual float64 `json:"residual"`
}

// fit returns the least-squares fit to the points. Its slope is 0 if there are
// fewer than two different sizes.
func fit(points []point) linearFit {
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY, largest float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
		largest = max(largest, math.Abs(p.Y))
	}
	l := linearFit{}
	if denominator := n*sumXX - sumX*sumX; denominator > 0 {
		l.Slope = (n*sumXY - sumX*sumY) / denominator
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
