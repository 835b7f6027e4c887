package capacitymodel

import (
	"math"
	"strconv"
	"strings"
)

// formatAmount writes a figure in the unit that suits it.
func formatAmount(v float64, unit string) string {
	if unit == "%" {
		return formatNumber(100*v) + " %"
	}
	if unit == "" {
		return formatNumber(v)
	}
	for _, step := range []struct {
		from float64
		name string
	}{{1e9, "G"}, {1e6, "M"}, {1e3, "k"}} {
		if math.Abs(v) >= step.from {
			return formatNumber(v/step.from) + " " + step.name + unit
		}
	}
	return formatNumber(v) + " " + unit
}

// formatNumber writes a figure with two significant digits, or without decimals.
func formatNumber(v float64) string {
	switch size := math.Abs(v); {
	case size >= 100 || v == math.Trunc(v):
		return strconv.FormatFloat(v, 'f', 0, 64)
	case size >= 10:
		return strconv.FormatFloat(v, 'f', 1, 64)
	default:
		return strconv.FormatFloat(v, 'g', 2, 64)
	}
}

// markdownTable is a table of the page; its first row is the header.
type markdownTable struct{ lines []string }

func (t *markdownTable) addCells(cells ...string) {
	t.lines = append(t.lines, "| "+strings.Join(cells, " | ")+" |")
	if len(t.lines) == 1 {
		t.lines = append(t.lines, "|"+strings.Repeat("---|", len(cells)))
	}
}

func (t *markdownTable) text() string { return strings.Join(t.lines, "\n") }
