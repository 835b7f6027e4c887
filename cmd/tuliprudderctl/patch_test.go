package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A patch's differences are printed before it is sent, and it is sent with the printed version as
// its base. A patch that is invalid, or that makes the configuration invalid, is not sent.
func TestPatchPrintsDifferencesBeforePut(t *testing.T) {
	for name, c := range map[string]struct {
		patch    string
		args     []string
		exitCode int
		printed  string
		calls    []string
	}{
		"shown":             {examplePatch, nil, exitDone, "~ customers buyers", []string{"GET /v1/operator/plan"}},
		"put":               {examplePatch, []string{"-put"}, exitDone, "version 8", []string{"GET /v1/operator/plan", "PATCH /v1/operator/plan?base=7"}},
		"an unknown entry":  {`{"remove":{"routes":["none"]}}`, []string{"-put"}, exitFailed, `names "none", which is not there`, []string{"GET /v1/operator/plan"}},
		"an unknown list":   {`{"upsert":{"servers":[]}}`, []string{"-put"}, exitFailed, "unknown list", nil},
		"an invalid result": {`{"remove":{"classes":["platinum"]}}`, []string{"-put"}, exitFailed, "platinum", []string{"GET /v1/operator/plan"}},
		"not JSON":          {`{`, nil, exitFailed, "can't be read", nil},
	} {
		t.Run(name, func(t *testing.T) {
			daemon := newFakeDaemon(t)
			file := filepath.Join(t.TempDir(), "patch.json")
			if err := os.WriteFile(file, []byte(c.patch), 0o600); err != nil {
				t.Fatal(err)
			}
			result := runAgainst(daemon, append(append([]string{"config", "patch"}, c.args...), file)...)
			if result.exitCode != c.exitCode || !strings.Contains(result.stdout+result.stderr, c.printed) {
				t.Errorf("exit code %d\n%s%s", result.exitCode, result.stdout, result.stderr)
			}
			var calls []string
			for _, call := range daemon.calls {
				calls = append(calls, call.Method+" "+call.Path)
			}
			if strings.Join(calls, ", ") != strings.Join(c.calls, ", ") {
				t.Errorf("got calls %q", calls)
			}
		})
	}
}
