package capacitymodel

import (
	"strings"

	"github.com/pkg/errors"
)

// pageTables are the tables of the page by name.
var pageTables = map[string]func(*Tables) string{
	"full":             fullSizeTable,
	"by daemons":       axisTable(axes[0]),
	"by servers":       axisTable(axes[1]),
	"by changes":       axisTable(axes[2]),
	"freshness":        freshnessTable,
	"kinds by daemons": kindsTable("daemons", "daemons", "edge", "store", "primary"),
	"kinds by servers": kindsTable("servers", "servers", "edge", "store"),
	"kinds by changes": kindsTable("presses", "daemons", "edge", "store", "primary"),
	"items":            itemsTable,
	"busy":             busyTable,
	"full runs":        fullRunsTable,
}

// RenderPage writes the tables of a page anew: each is between a line "<!-- table NAME -->"
// and a line "<!-- end -->". A page has to have all of them.
func RenderPage(page string, t *Tables) (string, error) {
	var out []string
	inside := false
	seen := map[string]bool{}
	for _, line := range strings.Split(page, "\n") {
		if inside && line != "<!-- end -->" {
			continue
		}
		inside = false
		out = append(out, line)
		name, ok := strings.CutPrefix(line, "<!-- table ")
		if !ok {
			continue
		}
		name = strings.TrimSuffix(name, " -->")
		write := pageTables[name]
		if write == nil {
			return "", errors.Errorf("no table %q", name)
		}
		seen[name], inside = true, true
		out = append(out, "", write(t), "")
	}
	for name := range pageTables {
		if !seen[name] {
			return "", errors.Errorf("the page has no place for the table %q", name)
		}
	}
	return strings.Join(out, "\n"), nil
}
