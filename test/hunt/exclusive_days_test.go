package hunt

import (
	"strings"
	"testing"
)

// Days with exclusive acts are in the plan, each of its own, and every entry has a moment and a kind.
func TestDaysWithExclusiveActsArePlanned(t *testing.T) {
	plan := newTestPlan(t)
	plan.HuntDays, plan.FocusDays, plan.ExclusiveDays = 0, 0, 3
	if faults := plan.Faults(); len(faults) != 0 {
		t.Fatalf("the plan has faults: %q", faults)
	}
	if tasks := plan.Tasks(); len(tasks) != 3*len(exclusiveDays.kinds) {
		t.Errorf("%d days are planned", len(tasks))
	}
	seen := map[string]string{}
	for _, kind := range exclusiveDays.kinds {
		for seed := range 10 {
			text := exclusiveDays.text("day", kind, seed)
			if other, known := seen[text]; known {
				t.Errorf("%s and %s-%d are one day", other, kind.name, seed)
			}
			seen[text] = kind.name
			entries := strings.Count(text, "{ at = ")
			if entries < 8 || entries != strings.Count(text, ", kind = ") {
				t.Errorf("%s-%d has %d entries:\n%s", kind.name, seed, entries, text)
			}
		}
	}
}
