package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"os"
	"os/exec"
	"reflect"
	"strings"
	"testing"
)

// recordWith is the path of a binary of the previous release. If it is set, the test records that
// binary's calls, output and exit codes again:
// `go test -run TestFormerSpellings -record-with PROGRAM`.
var recordWith = flag.String("record-with", "", "binary of the previous release to record the expected output with")

const recordingsPath = "testdata/former/recordings.json"

// recording is the observed behaviour of one command line of the previous release.
type recording struct {
	Args     []string       `json:"args"`
	ExitCode int            `json:"exit_code"`
	Stdout   string         `json:"stdout"`
	Calls    []receivedCall `json:"calls"`
}

const (
	configurationFile = "../../deploy/ghent.plan.json"
	openAPIFile       = "testdata/former/openapi.json"
	invalidFile       = "testdata/former/invalid.json"
)

// formerCommandLines are command lines in the spellings of the previous release. Each is run with
// -at and the fake daemon's address prepended.
var formerCommandLines = [][]string{
	{"plan", "put", configurationFile},
	{"plan", "put", "-base", "7", configurationFile},
	{"plan", "put", "-base", "6", configurationFile},
	{"plan", "put", "-base", "seven", configurationFile},
	{"plan", "put"},
	{"plan", "put", "testdata/former/missing.json"},
	{"plan", "put", invalidFile},
	{"plan", "get"},
	{"plan", "get", "7"},
	{"plan", "get", "seven"},
	{"plan", "get", "99"},
	{"plan", "list"},
	{"plan", "import", openAPIFile},
	{"plan", "import", "-put", openAPIFile},
	{"plan", "import", invalidFile},
	{"plan", "diff", "7", "8"},
	{"plan", "diff", "8", configurationFile},
	{"plan", "diff", "7", "7"},
	{"plan", "diff", "7"},
	{"plan", "check", configurationFile},
	{"plan", "check", invalidFile},
	{"plan", "check"},
	{"plan"},
	{"daemons"},
	{"servers"},
	{"slots"},
	{"stores"},
	{"store", "aa11"},
	{"store", "cc33"},
	{"store", "dd44"},
	{"store"},
	{"core"},
	{"counters"},
	{"risks"},
	{"slowest"},
	{"quota"},
	{"purse"},
	{"order", "b-1/7"},
	{"order", "lost"},
	{"order"},
	{"bundle", "b-1"},
	{"bundle", "../plans?x=1#"},
	{"bundle"},
	{"leaving", "gpu-1"},
	{"leaving", "gpu/9"},
	{"leaving"},
	{"staying", "gpu-1"},
	{"retire", "aa11"},
	{"retire", "bb22"},
	{"retire"},
	{"unretire", "aa11"},
	{},
	{"-help"},
	{"no-such-command"},
	{"-at", "localhost:1", "daemons"},
	{"-at", "127.0.0.1:0", "daemons"},
	{"-by", "ben", "plan", "put", configurationFile},
}

// Command lines of the previous release make the same calls, print the same output and return the
// same exit code as they did in that release.
func TestFormerSpellings(t *testing.T) {
	if *recordWith != "" {
		record(t)
	}
	var recordings []recording
	if err := json.Unmarshal([]byte(readTestFile(t, recordingsPath)), &recordings); err != nil {
		t.Fatal(err)
	}
	if len(recordings) != len(formerCommandLines) {
		t.Fatalf("got %d recordings for %d command lines", len(recordings), len(formerCommandLines))
	}
	for i, want := range recordings {
		if !reflect.DeepEqual(append([]string{}, want.Args...), append([]string{}, formerCommandLines[i]...)) {
			t.Fatalf("recording %d is of %q, want %q", i, want.Args, formerCommandLines[i])
		}
		t.Run(strings.Join(want.Args, " "), func(t *testing.T) {
			got := runRecorded(t, want.Args)
			if got.ExitCode != want.ExitCode {
				t.Errorf("got exit code %d, want %d", got.ExitCode, want.ExitCode)
			}
			if got.Stdout != want.Stdout {
				t.Errorf("printed\n%s\nnot\n%s", got.Stdout, want.Stdout)
			}
			if !reflect.DeepEqual(got.Calls, want.Calls) {
				t.Errorf("called\n%+v\nnot\n%+v", got.Calls, want.Calls)
			}
		})
	}
}

// record runs all command lines with the binary of the previous release and writes the recordings.
func record(t *testing.T) {
	t.Helper()
	var recordings []recording
	for _, args := range formerCommandLines {
		daemon := newFakeDaemon(t)
		command := exec.Command(*recordWith, append([]string{"-at", daemon.address}, args...)...)
		command.Env = append(os.Environ(), "USER=anna")
		var stdout, stderr bytes.Buffer
		command.Stdout, command.Stderr = &stdout, &stderr
		err := command.Run()
		var exit *exec.ExitError
		if err != nil && !errors.As(err, &exit) {
			t.Fatal(err)
		}
		recordings = append(recordings, newRecording(args, command.ProcessState.ExitCode(), stdout.String(), daemon))
		t.Logf("%q: exit code %d\n%s%s", args, command.ProcessState.ExitCode(), &stdout, &stderr)
	}
	data, err := json.MarshalIndent(recordings, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(recordingsPath, append(data, '\n'), 0o644); err != nil {
		t.Fatal(err)
	}
}

func newRecording(args []string, exitCode int, stdout string, daemon *fakeDaemon) recording {
	return recording{
		Args:     args,
		ExitCode: exitCode,
		Stdout:   strings.ReplaceAll(stdout, daemon.address, addressPlaceholder),
		Calls:    daemon.calls,
	}
}

// runRecorded runs a command line in this process under the conditions in which record ran the
// previous release's binary.
func runRecorded(t *testing.T, args []string) recording {
	t.Helper()
	daemon := newFakeDaemon(t)
	result := runAgainst(daemon, args...)
	return newRecording(args, result.exitCode, result.stdout, daemon)
}
