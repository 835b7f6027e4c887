package capacitymodel

import (
	"math"
	"strings"
)

// The users' full size.
const (
	// FullDaemons is how many daemons they have.
	FullDaemons = 350
	// FullServers is how many model servers they have.
	FullServers = 5500
	// FullChanges is how many changes an hour they make.
	FullChanges = 1042
	// FullItems is how many items a second they hand in.
	FullItems = 9606
)

// What a daemon may spend on control.
const (
	// LimitCPU is in processors.
	LimitCPU = 0.04
	// LimitHeap is in bytes.
	LimitHeap = 128e6
	// LimitBytes is in bytes a second.
	LimitBytes = 2000
)

// axis is a group of runs with the column that varies in it.
type axis struct{ group, column string }

var axes = []axis{{"daemons", "daemons"}, {"servers", "servers"}, {"changes", "changes_h"}}

// points are the values of a column over an axis, without the runs that had no daemon of its
// role.
func (t *Tables) points(a axis, column string) (x, y []float64) {
	role, _, _ := strings.Cut(column, "_")
	for _, run := range t.Runs[a.group] {
		if count, known := run[role+"_daemons"]; known && count == 0 {
			continue
		}
		x = append(x, run[a.column])
		y = append(y, run[column])
	}
	return x, y
}

func (t *Tables) fit(a axis, column string) Fit {
	x, y := t.points(a, column)
	if len(x) == 0 {
		return Fit{}
	}
	return FitCurve(x, y)
}

// meanAt is the mean of the points at one x.
func meanAt(x, y []float64, at float64) float64 {
	sum, n := 0.0, 0.0
	for i := range x {
		if x[i] == at {
			sum += y[i]
			n++
		}
	}
	return sum / n
}

// changeShare is what changes add to a column at the full size: their share in
// the runs with many changes, by the number of daemons.
func (t *Tables) changeShare(column string) (value, spread float64) {
	base := t.fit(axes[0], column)
	var x, y []float64
	for _, run := range t.Runs["presses"] {
		if extra := run[column] - base.At(run["daemons"]); extra > 0 {
			x = append(x, run["daemons"])
			y = append(y, extra*FullChanges/run["changes_h"])
		}
	}
	if len(x) < 3 {
		return 0, 0
	}
	f := FitCurve(x, y)
	return f.At(FullDaemons), f.PredictionMargin(FullDaemons)
}

// Predict is a column at the full size: what the daemons need with few servers,
// what the servers add, and what the changes add. A heap's changes are counted by
// the day, and not here.
func (t *Tables) Predict(column string) (value, spread float64) {
	d, s := t.fit(axes[0], column), t.fit(axes[1], column)
	const servers = 60 // of the runs that vary the daemons
	value = d.At(FullDaemons) + s.At(FullServers) - s.At(servers)
	spread = math.Hypot(d.PredictionMargin(FullDaemons), s.PredictionMargin(FullServers))
	if !strings.HasSuffix(column, "heap_bytes") {
		changes, changesSpread := t.changeShare(column)
		value += changes
		spread = math.Hypot(spread, changesSpread)
	}
	return value, spread
}
