package main

import (
	"math"
	"testing"
)

func TestFit(t *testing.T) {
	tests := []struct {
		name   string
		points []point
		want   linearFit
	}{
		{"points on a line", []point{{1, 5}, {2, 7}, {4, 11}}, linearFit{Slope: 2, Intercept: 3}},
		{"points off the line", []point{{0, 0}, {1, 4}, {2, 2}}, linearFit{Slope: 1, Intercept: 1, Residual: math.Sqrt(2) / 4}},
		{"equal sizes", []point{{3, 4}, {3, 6}}, linearFit{Intercept: 5, Residual: 1.0 / 6}},
		{"zero costs", []point{{1, 0}, {2, 0}}, linearFit{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := fit(test.points)
			for _, pair := range [][2]float64{
				{got.Slope, test.want.Slope}, {got.Intercept, test.want.Intercept}, {got.Residual, test.want.Residual},
			} {
				if math.Abs(pair[0]-pair[1]) > 1e-9 {
					t.Fatalf("got %+v, want %+v", got, test.want)
				}
			}
		})
	}
}
