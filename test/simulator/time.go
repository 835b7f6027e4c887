package simulator

import (
	"fmt"
	"strings"

	"tuliprudder/internal/clock"
)

// randomBetween draws a number from low to high, both included.
func (w *World) randomBetween(low, high clock.Micros) clock.Micros {
	return low + clock.Micros(w.Random.Int63n(int64(high-low+1)))
}

// RunFor lets time pass.
func (w *World) RunFor(duration clock.Micros) { w.Steps += w.Queue.RunFor(duration) }

// RunUntil lets time pass until a condition holds, which it checks every 50 ms; false where
// it does not hold in time.
func (w *World) RunUntil(timeout clock.Micros, condition func() bool) bool {
	end := w.Now + timeout
	for !condition() {
		if w.Now >= end {
			return false
		}
		w.RunFor(50 * clock.Millisecond)
	}
	return true
}

// The trace keeps the newest lines: of maxTraceLines it drops all but keptTraceLines.
const (
	maxTraceLines  = 4000
	keptTraceLines = 2000
)

// Tracef adds a line to the trace.
func (w *World) Tracef(format string, args ...any) {
	w.Trace = append(w.Trace, fmt.Sprintf("%9.3fs ", float64(w.Now-startOfTime)/1e6)+fmt.Sprintf(format, args...))
	if len(w.Trace) > maxTraceLines {
		w.Trace = w.Trace[len(w.Trace)-keptTraceLines:]
	}
}

// Report is a run's violations with the last lines of its trace.
func (w *World) Report(lines int) string {
	trace := w.Trace
	if len(trace) > lines {
		trace = trace[len(trace)-lines:]
	}
	var violations []string
	for _, violation := range w.Workload.Violations {
		violations = append(violations, violation.String())
	}
	return fmt.Sprintf("violations:\n  %s\ntrace:\n  %s", strings.Join(violations, "\n  "), strings.Join(trace, "\n  "))
}
