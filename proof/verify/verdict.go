package verify

import (
	"fmt"
	"sort"
	"strings"

	"tuliprudder/proof/modelcontent"
)

// Promise is one promise's verdict.
type Promise struct {
	Name     string   `json:"promise"`
	Checked  int      `json:"checked"`
	Breaches []string `json:"breaches"`
	Timed    bool     `json:"timed"` // a bound on time: a slow machine may break it
}

// Verdict is all of them, with what was counted.
type Verdict struct {
	Promises []Promise      `json:"promises"`
	Counts   map[string]int `json:"counts"`
}

// Broken tells whether any promise was broken.
func (v Verdict) Broken() bool {
	for _, p := range v.Promises {
		if len(p.Breaches) > 0 {
			return true
		}
	}
	return false
}

// BrokenUntimed tells whether a promise was broken that is not a bound on time.
func (v Verdict) BrokenUntimed() bool {
	for _, p := range v.Promises {
		if len(p.Breaches) > 0 && !p.Timed {
			return true
		}
	}
	return false
}

// String is the verdict promise by promise.
func (v Verdict) String() string {
	var out strings.Builder
	for _, p := range v.Promises {
		word := "kept"
		if len(p.Breaches) > 0 {
			word = "BROKEN"
		} else if p.Checked == 0 {
			word = "not seen"
		}
		fmt.Fprintf(&out, "%-9s %-74s %6d checked, %d breaches\n", word, p.Name, p.Checked, len(p.Breaches))
		for i, breach := range p.Breaches {
			if i == 12 {
				fmt.Fprintf(&out, "          ... and %d more\n", len(p.Breaches)-12)
				break
			}
			fmt.Fprintf(&out, "          %s\n", breach)
		}
	}
	names := make([]string, 0, len(v.Counts))
	for name := range v.Counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(&out, "          %s: %d\n", name, v.Counts[name])
	}
	return out.String()
}

// LeavingSpan is a server marked as leaving at a time.
type LeavingSpan struct {
	Server   string
	From, To int64
}

const (
	grace      = 3_300_000  // "about 3 seconds"
	backWithin = 12_500_000 // "about 12 seconds"
	readWithin = 1_200_000  // "about a second"
)

// Verdict checks every promise against what the servers logged.
func (t *Workload) Verdict(starts []modelcontent.Start, leaves []LeavingSpan) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := newJudgement(t, starts)
	j.judgeOrders()
	j.judgeFeed()
	for _, b := range t.bundles {
		j.judgeBundle(b)
	}
	j.judgeTimes()
	j.judgeLeaving(leaves)
	return j.verdict()
}
