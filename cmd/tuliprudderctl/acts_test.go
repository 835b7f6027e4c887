package main

import "testing"

// Each open act gets a row, and so does a subject without open acts.
func TestActsAreListed(t *testing.T) {
	want := "SUBJECT      HOLDER    FENCE  LAST RESULT  OPEN ACT  AGE   STATE\n" +
		"scale/big/a  core-a-1  7      done         -               \n" +
		"usage        core-b-2  12     no_answer    41        2.5s  performed now\n" +
		"usage        core-b-2  12     no_answer    42        1ms   waits\n"
	if result := runAgainst(newFakeDaemon(t), "acts"); result.stdout != want || result.exitCode != exitDone {
		t.Errorf("exit code %d, printed\n%s", result.exitCode, result.stdout)
	}
}
