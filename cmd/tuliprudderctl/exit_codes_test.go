package main

import (
	"strings"
	"testing"
)

// The exit codes are those listed in the help. On failure, standard error names the error's kind
// and a remedy, and standard output is empty.
func TestExitCodes(t *testing.T) {
	cases := []struct {
		name     string
		args     []string
		exitCode int
		stderr   string
	}{
		{"done", []string{"members"}, exitDone, ""},
		{"rejected by the daemon", []string{"config", "get", "99"}, exitFailed, "not_found"},
		{"rejected for its base", []string{"config", "put", "-base", "6", configurationFile}, exitFailed, "stale_base"},
		{"invalid configuration file", []string{"config", "check", invalidFile}, exitFailed, "bad_plan"},
		{"retirement rejected", []string{"store", "retire", "bb22"}, exitFailed, "turned_away"},
		{"status without an error", []string{"store", "show", "cc33"}, exitFailed, "server_fault"},
		{"response that is not JSON", []string{"store", "show", "dd44"}, exitFailed, "server_fault"},
		{"no daemon reached", []string{"-at", "127.0.0.1:0", "members"}, exitFailed, "not_ready"},
		{"invalid address", []string{"-at", "localhost:1", "members"}, exitUsage, "bad_settings"},
		{"missing argument", []string{"store", "show"}, exitUsage, "bad_settings"},
		{"one argument too many", []string{"batch", "status", "b-1", "b-2"}, exitUsage, "bad_settings"},
		{"invalid version", []string{"config", "get", "seven"}, exitUsage, "bad_settings"},
		{"missing file", []string{"config", "put", "missing.json"}, exitUsage, "bad_settings"},
		{"unknown flag", []string{"-no-such-flag"}, exitUsage, "bad_settings"},
		{"unknown flag of a command", []string{"config", "put", "-no-such-flag"}, exitUsage, "bad_settings"},
		{"unknown command", []string{"no-such-command"}, exitUsage, "USAGE"},
		{"no command", nil, exitUsage, "USAGE"},
		{"group without a command", []string{"config"}, exitUsage, "COMMANDS"},
		{"group that was a command", []string{"store"}, exitUsage, "COMMANDS"},
		{"help", []string{"-help"}, exitUsage, "EXIT CODES"},
		{"help of a command", []string{"config", "put", "-help"}, exitUsage, "EXAMPLE"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			result := runAgainst(newFakeDaemon(t), c.args...)
			if result.exitCode != c.exitCode {
				t.Errorf("got exit code %d, want %d: %s", result.exitCode, c.exitCode, result.stderr)
			}
			if !strings.Contains(result.stderr, c.stderr) {
				t.Errorf("standard error does not contain %q:\n%s", c.stderr, result.stderr)
			}
			if c.exitCode != exitDone && result.stdout != "" {
				t.Errorf("standard output is %q, want it empty", result.stdout)
			}
			isTyped := strings.HasPrefix(result.stderr, programName+": ")
			if isTyped && !strings.Contains(result.stderr, "  remedy: ") {
				t.Errorf("standard error has no remedy:\n%s", result.stderr)
			}
		})
	}
}
