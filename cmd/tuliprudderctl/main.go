// Program tuliprudderctl is the command-line tool for operators (DESIGN §8, docs/OPERATORS.md).
// Each command makes one or a few HTTP calls to a daemon's administration API. Any daemon of the
// cluster can be used unless a command's help says otherwise.
//
// Exit codes: 0 the command succeeded; 1 a daemon rejected the call, could not be reached, or the
// outcome is unknown; 2 the command line is invalid, or help was requested. Results go to standard
// output, errors and warnings to standard error.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"tuliprudder/internal/errs"
)

const programName = "tuliprudderctl"

// Exit codes of the program.
const (
	exitDone   = 0
	exitFailed = 1 // rejected by a daemon, daemon unreachable, or outcome unknown
	exitUsage  = 2
)

const callTimeout = 20 * time.Second

func main() {
	environment := environment{stdout: os.Stdout, stderr: os.Stderr, getenv: os.Getenv, retireInterval: 300 * time.Millisecond}
	os.Exit(run(context.Background(), os.Args[1:], environment))
}

// environment holds what the program takes from the process, so that tests can replace it.
type environment struct {
	stdout, stderr io.Writer
	getenv         func(name string) string
	retireInterval time.Duration // between two polls of a store's retirement
}

// run executes one command line and returns the exit code.
func run(ctx context.Context, args []string, env environment) int {
	session := &session{
		client: &client{http: &http.Client{Timeout: callTimeout}},
		out:    env.stdout,
		env:    env,
	}
	root := newRootCommand(session)
	err := root.Parse(args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		err = usageError("%v", err)
	}
	if err == nil {
		err = root.Run(ctx)
	}
	if err == nil {
		return exitDone
	}
	if errors.Is(err, flag.ErrHelp) {
		return exitUsage
	}
	printError(env.stderr, err)
	if errs.Is(err, errs.BadSettings) {
		return exitUsage
	}
	return exitFailed
}

// printError prints the error's kind and message, each fault that it lists, and the remedy.
func printError(w io.Writer, err error) {
	typed := errs.Of(err)
	fmt.Fprintf(w, "%s: %s: %s\n", programName, typed.Kind, typed.Message)
	for _, fault := range typed.Faults {
		fmt.Fprintf(w, "  %s\n", fault)
	}
	fmt.Fprintf(w, "  remedy: %s\n", typed.Remedy)
}

// usageError returns an error for an invalid command line; run maps it to exitUsage.
func usageError(format string, args ...any) error {
	return errs.New(errs.BadSettings, "see "+programName+" -help", format, args...)
}
