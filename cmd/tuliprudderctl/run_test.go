package main

import (
	"bytes"
	"context"
)

// runResult is the exit code and output of one run.
type runResult struct {
	exitCode       int
	stdout, stderr string
}

// runAgainst runs a command line with -at and the fake daemon's address prepended.
func runAgainst(daemon *fakeDaemon, args ...string) runResult {
	var stdout, stderr bytes.Buffer
	variables := map[string]string{"USER": "anna"}
	env := environment{stdout: &stdout, stderr: &stderr, getenv: func(name string) string { return variables[name] }}
	exitCode := run(context.Background(), append([]string{"-at", daemon.address}, args...), env)
	return runResult{exitCode: exitCode, stdout: stdout.String(), stderr: stderr.String()}
}
