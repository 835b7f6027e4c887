package verify

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"tuliprudder/test/modelcontent"
)

// Guarantee is one guarantee with what was checked of it. Its JSON keys are those of the
// reports that are kept.
type Guarantee struct {
	Name        string   `json:"promise"`
	Checked     int      `json:"checked"`
	Violations  []string `json:"breaches"`
	IsTimeBound bool     `json:"timed"` // a bound on time: a slow machine may violate it
}

// Verdict is all guarantees, with what was counted.
type Verdict struct {
	Guarantees []Guarantee    `json:"promises"`
	Counts     map[string]int `json:"counts"`
}

// IsBroken says whether any guarantee was violated.
func (v Verdict) IsBroken() bool {
	for _, p := range v.Guarantees {
		if len(p.Violations) > 0 {
			return true
		}
	}
	return false
}

// IsBrokenUntimed says whether a guarantee was violated that is not a bound on time.
func (v Verdict) IsBrokenUntimed() bool {
	for _, p := range v.Guarantees {
		if len(p.Violations) > 0 && !p.IsTimeBound {
			return true
		}
	}
	return false
}

// maxShownViolations is how many violations of a guarantee a report shows.
const maxShownViolations = 12

// String is the verdict guarantee by guarantee.
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

// state is the guarantee's verdict in a word or two.
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

// DrainingSpan is when a server was listed as draining, in microseconds since 1970.
type DrainingSpan struct {
	Server   string
	From, To int64 // To 0: it drains still
}

// Bounds of the guarantees, in microseconds.
const (
	stopGraceUS      = 3_300_000  // "about 3 seconds"
	recoveryBoundUS  = 12_500_000 // "about 12 seconds"
	readDelayBoundUS = 1_200_000  // "about a second"
)

// Verdict checks every guarantee by the records of the callers and the logs of the servers.
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
