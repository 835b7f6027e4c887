package modelcheck

import "slices"

// Replay applies a trace from the initial state; events that are not possible are skipped. It stops
// at the first violation; if there is none and checkRecovery is set, it checks the recovery too.
func Replay(c *Config, trace Trace, checkRecovery bool) *World {
	w := c.InitialWorld()
	for _, event := range trace {
		if w.violation != nil {
			return w
		}
		w, _ = w.Apply(event)
	}
	if w.violation == nil && checkRecovery {
		w.violation = w.CheckRecovery()
	}
	return w
}

// Shrink removes events from a trace as long as it still violates the same property. With
// checkRecovery, the violation may also be found by CheckRecovery at the end of the trace.
func Shrink(c *Config, trace Trace, violation *Violation, checkRecovery bool) (Trace, *Violation) {
	for shortened := true; shortened; {
		shortened = false
		for i := len(trace) - 1; i >= 0; i-- {
			shorter := slices.Delete(slices.Clone(trace), i, i+1)
			w := Replay(c, shorter, checkRecovery)
			if w.violation != nil && w.violation.Property == violation.Property {
				trace, violation, shortened = shorter, w.violation, true
			}
		}
	}
	return trace, violation
}
