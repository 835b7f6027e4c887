package capacitymodel

import "math"

// Shape is the kind of curve that was fitted.
type Shape string

// The shapes, as the page prints them.
const (
	Linear   Shape = "line"
	Parabola Shape = "parabola"
	PowerLaw Shape = "power law"
)

// Fit is a curve through measured points. Points are weighed by their size, so
// that the small ones count as much as the large.
type Fit struct {
	Shape         Shape
	A, B, C       float64       // a + b·x + c·x²; of a power law the same between the logarithms
	Power         float64       // exponent of a power law through the same points
	Residual      float64       // root mean square of the relative residuals
	WorstResidual float64       // the largest of them
	IsLinear      bool          // a line is off by linearTolerance at most
	inverse       [3][3]float64 // of the normal matrix
	dimension     int           // parameters of the curve
}

// linearTolerance is the relative residual up to which a line counts as straight.
const linearTolerance = 0.1

// FitCurve fits a line, and where the line is off by more than a tenth the nearest of a line,
// a parabola that opens upwards, and a power law. A parabola that opens downwards would predict
// falling figures for larger sizes, which no run has shown.
func FitCurve(x, y []float64) Fit {
	best := leastSquares(x, y, 2)
	best.Shape = Linear
	best.Power = fitExponent(x, y)
	best.IsLinear = best.Residual <= linearTolerance
	if best.IsLinear || len(x) < 4 {
		return best
	}
	law, ok := powerLaw(x, y)
	if curve := leastSquares(x, y, 3); curve.C > 0 && curve.Residual < best.Residual {
		curve.Shape, curve.Power = Parabola, best.Power
		best = curve
	}
	if ok && law.Residual < best.Residual {
		best = law
	}
	return best
}

func powerLaw(x, y []float64) (Fit, bool) {
	var lx, ly []float64
	for i := range x {
		if x[i] <= 0 || y[i] <= 0 {
			return Fit{}, false
		}
		lx, ly = append(lx, math.Log(x[i])), append(ly, math.Log(y[i]))
	}
	normal, right := [3][3]float64{}, [3]float64{}
	for i := range lx {
		p := powers(lx[i])
		for a := range 2 {
			for b := range 2 {
				normal[a][b] += p[a] * p[b]
			}
			right[a] += p[a] * ly[i]
		}
	}
	f := Fit{Shape: PowerLaw, dimension: 2, inverse: invert(normal, 2)}
	f.A = f.inverse[0][0]*right[0] + f.inverse[0][1]*right[1]
	f.B = f.inverse[1][0]*right[0] + f.inverse[1][1]*right[1]
	f.Power = f.B
	sum := 0.0
	for i := range x {
		relative := f.At(x[i])/y[i] - 1
		sum += relative * relative
		f.WorstResidual = max(f.WorstResidual, math.Abs(relative))
	}
	f.Residual = math.Sqrt(sum / float64(max(1, len(x)-2)))
	return f, true
}

func powers(x float64) [3]float64 { return [3]float64{1, x, x * x} }

func leastSquares(x, y []float64, dimension int) Fit {
	var normal [3][3]float64
	var right [3]float64
	weight := make([]float64, len(x))
	for i := range x {
		weight[i] = 1
		if y[i] != 0 {
			weight[i] = 1 / (y[i] * y[i])
		}
		p := powers(x[i])
		for a := range dimension {
			for b := range dimension {
				normal[a][b] += weight[i] * p[a] * p[b]
			}
			right[a] += weight[i] * p[a] * y[i]
		}
	}
	f := Fit{dimension: dimension, inverse: invert(normal, dimension)}
	var solved [3]float64
	for a := range dimension {
		for b := range dimension {
			solved[a] += f.inverse[a][b] * right[b]
		}
	}
	f.A, f.B, f.C = solved[0], solved[1], solved[2]
	sum := 0.0
	for i := range x {
		relative := (f.At(x[i]) - y[i]) * math.Sqrt(weight[i])
		sum += relative * relative
		f.WorstResidual = max(f.WorstResidual, math.Abs(relative))
	}
	f.Residual = math.Sqrt(sum / float64(max(1, len(x)-dimension)))
	return f
}

func invert(m [3][3]float64, dimension int) [3][3]float64 {
	var out [3][3]float64
	for i := range dimension {
		out[i][i] = 1
	}
	for i := range dimension {
		pivot := i
		for j := i + 1; j < dimension; j++ {
			if math.Abs(m[j][i]) > math.Abs(m[pivot][i]) {
				pivot = j
			}
		}
		m[i], m[pivot], out[i], out[pivot] = m[pivot], m[i], out[pivot], out[i]
		by := m[i][i]
		if by == 0 {
			return [3][3]float64{} // all points have the same x
		}
		for k := range dimension {
			m[i][k] /= by
			out[i][k] /= by
		}
		for j := range dimension {
			if j == i {
				continue
			}
			times := m[j][i]
			for k := range dimension {
				m[j][k] -= times * m[i][k]
				out[j][k] -= times * out[i][k]
			}
		}
	}
	return out
}

// At is the curve's value.
func (f Fit) At(x float64) float64 {
	if f.Shape == PowerLaw {
		return math.Exp(f.A + f.B*math.Log(x))
	}
	return f.A + f.B*x + f.C*x*x
}

// PredictionMargin is half the width of the interval in which about nineteen in twenty new
// measurements at x would lie, if the curve holds there.
func (f Fit) PredictionMargin(x float64) float64 {
	if f.Shape == PowerLaw {
		return f.At(x) * (math.Exp(2*f.Residual*math.Sqrt(f.leverage(math.Log(x))+1)) - 1)
	}
	return 2 * f.Residual * math.Sqrt(max(0, f.leverage(x))+f.At(x)*f.At(x))
}

func (f Fit) leverage(x float64) float64 {
	p := powers(x)
	lever := 0.0
	for a := range f.dimension {
		for b := range f.dimension {
			lever += p[a] * f.inverse[a][b] * p[b]
		}
	}
	return lever
}

func fitExponent(x, y []float64) float64 {
	var n, sx, sy, sxx, sxy float64
	for i := range x {
		if x[i] <= 0 || y[i] <= 0 {
			continue
		}
		lx, ly := math.Log(x[i]), math.Log(y[i])
		n, sx, sy, sxx, sxy = n+1, sx+lx, sy+ly, sxx+lx*lx, sxy+lx*ly
	}
	if by := n*sxx - sx*sx; by > 0 {
		return (n*sxy - sx*sy) / by
	}
	return 0
}
