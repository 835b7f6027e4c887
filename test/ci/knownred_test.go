// Package ci checks the scripts that the test command consists of, and the order of the layers.
package ci

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

func TestKnownRed(t *testing.T) {
	for name, c := range map[string]struct {
		text, want string
		fails      bool
	}{
		"empty":              {"", "", false},
		"blank lines":        {"\n  \n", "", false},
		"one":                {"TestOne, a store loses a result, issue 16\n", "^(TestOne)$", false},
		"no line end":        {"TestOne, cause, 16", "^(TestOne)$", false},
		"three":              {"TestA1, x, 1\nTestB2, y, with a comma, 2\n\nTestC, z, 3\n", "^(TestA1|TestB2|TestC)$", false},
		"four":               {"TestA, x, 1\nTestB, y, 2\nTestC, z, 3\nTestD, z, 3\n", "", true},
		"no cause":           {"TestOne\n", "", true},
		"no issue":           {"TestOne, cause\n", "", true},
		"empty cause":        {"TestOne, , 16\n", "", true},
		"a pattern":          {"Test.*, cause, 16\n", "", true},
		"a package":          {"./..., cause, 16\n", "", true},
		"every test at once": {"Test, cause, 16\n", "", true},
		"a test twice":       {"TestOne, x, 1\nTestOne, y, 1\n", "", true},
		"crowds beside three": {"TestA, x, 1\nTestCrowdOfStalledBodies, x, 53\nTestB, x, 1\nTestCrowdOfWholeBodies, x, 53\nTestC, x, 1\n",
			"^(TestA|TestCrowdOfStalledBodies|TestB|TestCrowdOfWholeBodies|TestC)$", false},
		"crowds beside four":          {"TestA, x, 1\nTestCrowdOfStalledBodies, x, 53\nTestB, x, 1\nTestC, x, 1\nTestD, x, 1\n", "", true},
		"no test of a crowd":          {"TestCrowdOfNothing, x, 53\n", "", true},
		"a part of a name":            {"TestCrowdOfStalled, x, 53\n", "", true},
		"two crowds in one line":      {"TestCrowdOfStalledBodies, as TestCrowdOfWholeBodies, 53\n", "", true},
		"the same crowd in two lines": {"TestCrowdOfStalledBodies, x, 53\nTestCrowdOfStalledBodies, y, 53\n", "", true},
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
			if err := os.WriteFile(file, []byte(c.text), 0o644); err != nil {
				t.Fatal(err)
			}
			checkKnownRed(t, file, c.text, c.want, c.fails)
		})
	}
	checkKnownRed(t, filepath.Join(t.TempDir(), "missing"), "", "", false)
}

func checkKnownRed(t *testing.T, file, text, want string, fails bool) {
	t.Helper()
	var out, log bytes.Buffer
	command := exec.Command("bash", "../../known-red.sh", file)
	command.Stdout, command.Stderr = &out, &log
	err := command.Run()
	if (err != nil) != fails {
		t.Fatalf("ended with %v: %s", err, log.String())
	}
	if fails {
		return
	}
	if got := strings.TrimSpace(out.String()); got != want {
		t.Errorf("the pattern is %q, not %q", got, want)
	}
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		if !strings.Contains(log.String(), strings.TrimSpace(line)) {
			t.Errorf("%q is not printed: %s", line, log.String())
		}
	}
}
