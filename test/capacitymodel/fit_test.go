package capacitymodel

import (
	"math"
	"testing"
)

func TestFitsFindTheCurveTheyAreGiven(t *testing.T) {
	xs := []float64{15, 15, 30, 60, 120, 240, 240}
	draw := func(f func(float64) float64) []float64 {
		var out []float64
		for i, x := range xs {
			out = append(out, f(x)*(1+0.01*float64(i%3-1)))
		}
		return out
	}
	line := FitCurve(xs, draw(func(x float64) float64 { return 100 + 3*x }))
	if line.Shape != Linear || math.Abs(line.At(350)-1150) > 40 || line.PredictionMargin(350) > 100 || line.PredictionMargin(350) < 10 {
		t.Fatalf("line: %+v, %v ± %v at 350", line, line.At(350), line.PredictionMargin(350))
	}
	curve := FitCurve(xs, draw(func(x float64) float64 { return 10 + x + 0.1*x*x }))
	if curve.Shape != Parabola || math.Abs(curve.At(350)-12610) > 600 {
		t.Fatalf("curve: %+v, %v at 350", curve, curve.At(350))
	}
	if flat := FitCurve(xs, draw(func(x float64) float64 { return 140 - 1300/x })); flat.At(350) < 100 || flat.At(350) > 250 {
		t.Fatalf("a figure that levels off at 140 is %v at 350 (%s)", flat.At(350), flat.Shape)
	}
	if law := FitCurve(xs, draw(func(x float64) float64 { return 5 * x * x })); math.Abs(law.Power-2) > 0.05 {
		t.Fatalf("power %v, not 2", law.Power)
	}
}
