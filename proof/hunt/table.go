package hunt

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// Row is a line of the table: all days of one command on one site.
type Row struct {
	Site, Command string
	Played        int // days that were played to their end
	GivenUp       int
	Replayed      int // days that were played again after being given up
	Exits         int // processes that ended by themselves
	Lowest        float64
	Broken        []string // the days that broke a rule, with the rules
	Gate          []string // other days short of the gate, with the reason
}

// Table gathers results by site and command, in the order of their coming.
type Table struct {
	rows  []*Row
	index map[[2]string]*Row
}

// Add counts a result in.
func (t *Table) Add(r Result) {
	row := t.row(r.Site, r.Label)
	for _, day := range r.Days {
		row.add(day, r.Replayed)
	}
}

func (t *Table) row(site, command string) *Row {
	key := [2]string{site, command}
	if row := t.index[key]; row != nil {
		return row
	}
	if t.index == nil {
		t.index = map[[2]string]*Row{}
	}
	row := &Row{Site: site, Command: command, Lowest: math.Inf(1)}
	t.index[key] = row
	t.rows = append(t.rows, row)
	return row
}

func (r *Row) add(day Day, replayed bool) {
	if replayed {
		r.Replayed++
	}
	if day.GivenUp {
		r.GivenUp++
		return
	}
	r.Played++
	r.Exits += day.Exits
	r.Lowest = min(r.Lowest, day.Worth)
	switch {
	case day.Broken != "":
		r.Broken = append(r.Broken, day.Name+": "+day.Broken)
	case len(day.Gate) > 0:
		r.Gate = append(r.Gate, day.Name+": "+strings.Join(day.Gate, ", "))
	}
}

// Failed tells whether any day broke a rule, was short of the gate, or was given up
// and not played again.
func (t *Table) Failed() bool {
	for _, row := range t.rows {
		if len(row.Broken) > 0 || len(row.Gate) > 0 || row.GivenUp > row.Replayed {
			return true
		}
	}
	return false
}

// Write prints the table as Markdown, with the days that failed below it.
func (t *Table) Write(out io.Writer) {
	fmt.Fprintln(out, "| site | command | days | rules broken | else short of the gate | lowest worth | ended by themselves | given up (played again) |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|")
	total := Row{Lowest: math.Inf(1)}
	for _, row := range t.rows {
		fmt.Fprintln(out, row.line())
		total.include(row)
	}
	total.Site = "all"
	fmt.Fprintln(out, total.line())
	for _, row := range t.rows {
		for _, failure := range append(append([]string(nil), row.Broken...), row.Gate...) {
			fmt.Fprintf(out, "- %s, %s, %s\n", row.Site, row.Command, failure)
		}
	}
}

func (r *Row) include(other *Row) {
	r.Played += other.Played
	r.GivenUp += other.GivenUp
	r.Replayed += other.Replayed
	r.Exits += other.Exits
	r.Lowest = min(r.Lowest, other.Lowest)
	r.Broken = append(r.Broken, other.Broken...)
	r.Gate = append(r.Gate, other.Gate...)
}

func (r *Row) line() string {
	lowest := "-"
	if r.Played > 0 {
		lowest = fmt.Sprintf("%.3f", r.Lowest)
	}
	return fmt.Sprintf("| %s | %s | %d | %d | %d | %s | %d | %d (%d) |", r.Site, r.Command, r.Played, len(r.Broken), len(r.Gate), lowest, r.Exits, r.GivenUp, r.Replayed)
}
