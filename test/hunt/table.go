package hunt

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// summaryKey is what a summary is of.
type summaryKey struct{ Site, Command string }

// summary is all days of one command on one site: one line of the table.
type summary struct {
	summaryKey
	Completed       int
	Abandoned       int
	Replayed        int // days that were run again after being abandoned
	UnexpectedExits int // processes that ended by themselves
	LowestValue     float64
	BrokenRules     []string // the days that broke a rule, with the rules
	GateFailures    []string // other days short of the gate, with the reason
}

// Table collects results by site and command, in the order in which they were added.
type Table struct {
	summaries []*summary
	index     map[summaryKey]*summary
}

// Add counts a result in.
func (t *Table) Add(r Result) {
	s := t.summaryOf(summaryKey{r.Site, r.Label})
	for _, day := range r.Days {
		s.add(day, r.Replayed)
	}
}

func (t *Table) summaryOf(key summaryKey) *summary {
	if s := t.index[key]; s != nil {
		return s
	}
	if t.index == nil {
		t.index = map[summaryKey]*summary{}
	}
	s := &summary{summaryKey: key, LowestValue: math.Inf(1)}
	t.index[key] = s
	t.summaries = append(t.summaries, s)
	return s
}

func (s *summary) add(day Day, replayed bool) {
	if replayed {
		s.Replayed++
	}
	if day.Abandoned {
		s.Abandoned++
		return
	}
	s.Completed++
	s.UnexpectedExits += day.UnexpectedExits
	s.LowestValue = min(s.LowestValue, day.Value)
	switch {
	case day.BrokenRules != "":
		s.BrokenRules = append(s.BrokenRules, day.Name+": "+day.BrokenRules)
	case len(day.GateFailures) > 0:
		s.GateFailures = append(s.GateFailures, day.Name+": "+strings.Join(day.GateFailures, ", "))
	}
}

// Failed says whether any day broke a rule, was short of the gate, or was abandoned and not
// run again.
func (t *Table) Failed() bool {
	for _, s := range t.summaries {
		if len(s.BrokenRules) > 0 || len(s.GateFailures) > 0 || s.Abandoned > s.Replayed {
			return true
		}
	}
	return false
}

// Write prints the table as Markdown, with the days that failed below it.
func (t *Table) Write(out io.Writer) {
	fmt.Fprintln(out, "| site | command | days | rules broken | else short of the gate | lowest worth | ended by themselves | given up (played again) |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|")
	total := summary{LowestValue: math.Inf(1)}
	for _, s := range t.summaries {
		fmt.Fprintln(out, s.markdown())
		total.merge(s)
	}
	total.Site = "all"
	fmt.Fprintln(out, total.markdown())
	for _, s := range t.summaries {
		for _, failure := range append(append([]string(nil), s.BrokenRules...), s.GateFailures...) {
			fmt.Fprintf(out, "- %s, %s, %s\n", s.Site, s.Command, failure)
		}
	}
}

func (s *summary) merge(other *summary) {
	s.Completed += other.Completed
	s.Abandoned += other.Abandoned
	s.Replayed += other.Replayed
	s.UnexpectedExits += other.UnexpectedExits
	s.LowestValue = min(s.LowestValue, other.LowestValue)
	s.BrokenRules = append(s.BrokenRules, other.BrokenRules...)
	s.GateFailures = append(s.GateFailures, other.GateFailures...)
}

func (s *summary) markdown() string {
	lowest := "-"
	if s.Completed > 0 {
		lowest = fmt.Sprintf("%.3f", s.LowestValue)
	}
	return fmt.Sprintf("| %s | %s | %d | %d | %d | %s | %d | %d (%d) |", s.Site, s.Command, s.Completed, len(s.BrokenRules), len(s.GateFailures), lowest, s.UnexpectedExits, s.Abandoned, s.Replayed)
}
