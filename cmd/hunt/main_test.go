package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestBadArgumentsAreNamed(t *testing.T) {
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	site := filepath.Join(t.TempDir(), "site.toml")
	if err := os.WriteFile(site, []byte("[[day]]\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	good := []string{"-bench", program, "-day-tool", program, "-out", t.TempDir(), "-focus-days", "1"}
	cases := map[string][]string{
		"lost.toml":             append(append([]string(nil), good...), "lost.toml"),
		"storm":                 append(append([]string(nil), good...), "-focus", "storm", site),
		"inside the repository": append(append([]string(nil), good...), "-out", "days", site),
		"-weather":              append(append([]string(nil), good...), "-weather", site),
	}
	for want, args := range cases {
		var stdout, stderr bytes.Buffer
		if status := run(context.Background(), args, &stdout, &stderr); status != statusBadArguments {
			t.Errorf("%v: the status is %d", args, status)
		}
		if !strings.Contains(stderr.String(), want) {
			t.Errorf("%v: %q isn't named in %q", args, want, stderr.String())
		}
	}
	if _, err := os.Stat("days"); err == nil {
		t.Error("a refused plan made its folder")
	}
}
