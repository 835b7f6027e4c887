package modelcheck

import "slices"

// Replay applies a run from the start; events that can't happen are passed over. It
// ends at the first violation; with checkRecovery it then checks the recovery.
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

// Shrink takes events out of a run for as long as the same property stays broken; with
// checkRecovery, also where it breaks only after all faults ended.
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
