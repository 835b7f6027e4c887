package modelcheck

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Replaying a trace from the initial state reaches the same state as the original run; otherwise
// traces would not reproduce violations.
func TestReplayReachesSameState(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		c := &Config{Voters: 3, MaxLosses: -1, Spares: 1, Limits: DefaultLimits(), FineGrained: seed%2 == 0}
		randomRun(c, seed, 25, func(at *node) {
			if got, want := Replay(c, at.trace(), false).Fingerprint(), at.world.Fingerprint(); got != want {
				t.Fatalf("seed %d: the replay reached another state\n%s", seed, at.trace())
			}
		})
	}
}

// Regression test: traces that violated a property in the past find no violation.
func TestRecordedTracesFindNoViolation(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatalf("no trace files in testdata, error %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			trace, err := ParseTrace(string(text))
			if err != nil {
				t.Fatal(err)
			}
			c, err := ParseConfig(string(text))
			if err != nil {
				t.Fatal(err)
			}
			if w := Replay(c, trace, true); w.Violation() != nil {
				t.Errorf("%v\n%s", w.Violation(), strings.Join(w.StatusLines(), "\n"))
			}
		})
	}
}
