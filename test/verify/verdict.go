package verify

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"tuliprudder/test/modelcontent"
)

// Guarantee is a guarantee with the results of its checks. The JSON keys are those of stored
// reports.
type Guarantee struct {
	Name        string   `json:"promise"`
	Checked     int      `json:"checked"`
	Violations  []string `json:"breaches"`
	IsTimeBound bool     `json:"timed"` // bounds a duration, so that a slow machine may violate it
}

// Verdict is the result of a run: all guarantees, and counts by name.
type Verdict struct {
	Guarantees []Guarantee    `json:"promises"`
	Counts     map[string]int `json:"counts"`
}

// IsBroken reports whether any guarantee was violated.
func (v Verdict) IsBroken() bool {
	for _, p := range v.Guarantees {
		if len(p.Violations) > 0 {
			return true
		}
	}
	return false
}

// IsBrokenUntimed reports whether any guarantee other than the time-bound ones was violated.
func (v Verdict) IsBrokenUntimed() bool {
	for _, p := range v.Guarantees {
		if len(p.Violations) > 0 && !p.IsTimeBound {
			return true
		}
	}
	return false
}

// maxShownViolations is the maximum number of violations printed for each guarantee.
const maxShownViolations = 12

// String formats the verdict, one guarantee after the other, followed by the counts.
func (v Verdict) String() string {
	var out strings.Builder
	for _, p := range v.Guarantees {
		fmt.Fprintf(&out, "%-11s %-74s %6d checked, %d violations\n", p.state(), p.Name, p.Checked, len(p.Violations))
		for i, violation := range p.Violations {
			if i == maxShownViolations {
				fmt.Fprintf(&out, "          ... and %d more\n", len(p.Violations)-maxShownViolations)
				break
			}
			fmt.Fprintf(&out, "          %s\n", violation)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(v.Counts)) {
		fmt.Fprintf(&out, "          %s: %d\n", name, v.Counts[name])
	}
	return out.String()
}

// state returns the status of the guarantee for the report.
func (p *Guarantee) state() string {
	switch {
	case len(p.Violations) > 0:
		return "VIOLATED"
	case p.Checked == 0:
		return "not checked"
	}
	return "kept"
}

func (p *Guarantee) addViolation(format string, args ...any) {
	p.Violations = append(p.Violations, fmt.Sprintf(format, args...))
}

func (p *Guarantee) check(ok bool, format string, args ...any) {
	p.Checked++
	if !ok {
		p.addViolation(format, args...)
	}
}

// DrainingSpan is a period in which a server was listed as draining, in microseconds since the
// Unix epoch.
type DrainingSpan struct {
	Server   string
	From, To int64 // To is 0 while the server is still draining
}

// Bounds of the guarantees, in microseconds. Each is somewhat larger than the documented time.
const (
	stopGraceUS      = 3_300_000  // documented as "about 3 seconds"
	recoveryBoundUS  = 12_500_000 // documented as "about 12 seconds"
	readDelayBoundUS = 1_200_000  // documented as "about a second"
)

// Verdict checks all guarantees against the records of the callers and the logs of the servers.
func (t *Workload) Verdict(starts []modelcontent.Start, spans []DrainingSpan) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := newChecker(t, starts)
	c.checkLiveRequests()
	c.checkFeed()
	for _, b := range t.batches {
		c.checkBatch(b)
	}
	c.checkTimes()
	c.checkDraining(spans)
	return c.verdict()
}
