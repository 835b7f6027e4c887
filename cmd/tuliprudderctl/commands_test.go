package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// examplePatch only changes the key of one tenant in the example configuration.
const examplePatch = `{"upsert":{"customers":[{"name":"buyers","key":"another-key","class":"platinum"}]}}`

// writeExampleFiles writes the files that the examples name to a temporary directory and makes it
// the working directory.
func writeExampleFiles(t *testing.T) {
	t.Helper()
	folder := t.TempDir()
	files := map[string]string{
		"configuration.json": readTestFile(t, configurationFile),
		"openapi.json":       readTestFile(t, openAPIFile),
		"patch.json":         examplePatch,
		"servers.json":       `{"servers":[{"name":"gpu-1","address":"10.0.0.1:80","slots":8}]}`,
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	t.Chdir(folder)
}

// Each command's example runs without errors, and the command's help contains it.
func TestExamplesRun(t *testing.T) {
	for _, entry := range subcommands {
		t.Run(entry.name, func(t *testing.T) {
			daemon := newFakeDaemon(t)
			writeExampleFiles(t)
			result := runAgainst(daemon, strings.Fields(entry.example)...)
			if result.exitCode != exitDone || result.stdout == "" || result.stderr != "" {
				t.Errorf("%q: exit code %d\n%s%s", entry.example, result.exitCode, result.stdout, result.stderr)
			}
			if !entry.offline && len(daemon.calls) == 0 {
				t.Errorf("%q: got no call to a daemon, want at least one", entry.example)
			}
			if !strings.HasPrefix(entry.example, entry.name) {
				t.Errorf("example %q does not start with its command's name", entry.example)
			}
			help := runAgainst(daemon, append(strings.Fields(entry.name), "-help")...)
			for _, want := range []string{entry.summary, entry.arguments, entry.example} {
				if !strings.Contains(help.stderr, want) {
					t.Errorf("help does not contain %q:\n%s", want, help.stderr)
				}
			}
		})
	}
}

// A command and its former spelling make the same calls, and the former spelling prints a
// deprecation warning.
func TestFormerSpellingsMakeTheSameCalls(t *testing.T) {
	for _, entry := range subcommands {
		if entry.former == "" {
			continue
		}
		t.Run(entry.former, func(t *testing.T) {
			current, former := newFakeDaemon(t), newFakeDaemon(t)
			writeExampleFiles(t)
			runAgainst(current, strings.Fields(entry.example)...)
			formerLine := strings.Replace(entry.example, entry.name, entry.former, 1)
			result := runAgainst(former, strings.Fields(formerLine)...)
			if result.exitCode != exitDone {
				t.Fatalf("%q: exit code %d\n%s", formerLine, result.exitCode, result.stderr)
			}
			if warning := entry.former + " is now " + entry.name; !strings.Contains(result.stderr, warning) {
				t.Errorf("warning %q not found in standard error %q", warning, result.stderr)
			}
			if len(current.calls) != len(former.calls) {
				t.Fatalf("%d calls with the current spelling, %d with the former one", len(current.calls), len(former.calls))
			}
			for i := range current.calls {
				if current.calls[i] != former.calls[i] {
					t.Errorf("call %+v with the current spelling, %+v with the former one", current.calls[i], former.calls[i])
				}
			}
		})
	}
}

// Commands run under their current names print the current terms and none of the former ones.
func TestCurrentWording(t *testing.T) {
	cases := []struct{ line, want, former string }{
		{"members", "alive", "sound"},
		{"endpoints list", "unhealthy", "not sound"},
		{"endpoints list", "removed", "gone"},
		{"endpoints drain gpu-1", "draining true", "leaving"},
		{"shards", "SHARD", "SLOT"},
		{"store retire aa11", "shards depend", "slots"},
		{"batch status b-1", "answered by edge-1", "told by"},
	}
	for _, c := range cases {
		t.Run(c.line, func(t *testing.T) {
			result := runAgainst(newFakeDaemon(t), strings.Fields(c.line)...)
			if !strings.Contains(result.stdout, c.want) || strings.Contains(result.stdout, c.former) {
				t.Errorf("want %q and not %q in the output:\n%s", c.want, c.former, result.stdout)
			}
		})
	}
}

// endpoints put sends the file's bytes unchanged.
func TestPutEndpointsSendsFileUnchanged(t *testing.T) {
	daemon := newFakeDaemon(t)
	writeExampleFiles(t)
	result := runAgainst(daemon, "endpoints", "put", "servers.json")
	want := receivedCall{Method: "PUT", Path: pathServers, Body: readTestFile(t, "servers.json"), Operator: "anna"}
	if result.exitCode != exitDone || len(daemon.calls) != 1 || daemon.calls[0] != want {
		t.Errorf("exit code %d, got calls %+v, want %+v", result.exitCode, daemon.calls, want)
	}
	if result.stdout != "1 model servers are listed\n" {
		t.Errorf("printed %q", result.stdout)
	}
}
