package hunt

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A day at the quota is written for the bench, and follows from its kind and seed.
func TestDaysAtTheQuotaArePlayed(t *testing.T) {
	plan := newTestPlan(t)
	plan.HuntDays, plan.FocusDays, plan.QuotaDays = 0, 0, 2
	plan.Bench = writeFile(t, t.TempDir(), "bench", 0o755, `#!/bin/sh
[ "$1" = run ] && grep -q '^\[\[day\]\]$' "$3" && grep -q 'kind = "burst"' "$3" &&
  echo "$(basename "$3" .toml)   3/1   0.8  0.80  1.0   0.0  0.0  fine"
`)
	if faults := plan.Faults(); len(faults) != 0 {
		t.Fatalf("the plan has faults: %q", faults)
	}
	_, text := runPlan(plan)
	for _, kind := range quotaDays.kinds {
		if want := "| site | quota " + kind.name + " | 2 | 0 | 0 | 0.800 | 0 | 0 (0) |"; !strings.Contains(text, want) {
			t.Errorf("the table lacks %q:\n%s", want, text)
		}
	}
	written, err := os.ReadFile(filepath.Join(plan.OutputFolder, "site-quota", "mixed-6.toml"))
	if err != nil || string(written) != quotaDays.text("mixed-6", quotaDays.kinds[len(quotaDays.kinds)-1], 6) {
		t.Errorf("another day was written: %s %v", written, err)
	}
}

// Days of other seeds and kinds differ, and each entry has a moment and a kind.
func TestDaysAtTheQuotaDiffer(t *testing.T) {
	seen := map[string]string{}
	for _, kind := range quotaDays.kinds {
		for seed := range 10 {
			text := quotaDays.text("day", kind, seed)
			if other, known := seen[text]; known {
				t.Errorf("%s and %s-%d are one day", other, kind.name, seed)
			}
			seen[text] = kind.name
			entries := strings.Count(text, "{ at = ")
			if entries < 8 || strings.Count(text, "{ at = ") != strings.Count(text, ", kind = ") {
				t.Errorf("%s-%d has %d entries:\n%s", kind.name, seed, entries, text)
			}
		}
	}
}
