package main

import "testing"

// No risk is reported if all daemons are alive and no counter exceeds its threshold.
func TestNoRisks(t *testing.T) {
	daemon := newFakeDaemon(t)
	daemon.responses["GET "+pathMembers] = ok(`{"daemons":[{"id":"core-1","kind":"cairn","http":"ADDRESS","standing":"sound"}]}`)
	daemon.responses["GET "+pathCounters] = ok(`{"news_age_us":2000000,"disk_condition":1,"reads":70}`)
	if result := runAgainst(daemon, "risks"); result.stdout != "no promise is at risk\n" || result.exitCode != exitDone {
		t.Errorf("exit code %d, printed %q", result.exitCode, result.stdout)
	}
}

// A daemon that does not return its counters is reported as a risk.
func TestUnreachableDaemonIsARisk(t *testing.T) {
	daemon := newFakeDaemon(t)
	daemon.responses["GET "+pathCounters] = rejected(503, "not_ready", "starting")
	daemon.responses["GET "+pathMembers] = ok(`{"daemons":[{"id":"core-1","kind":"cairn","http":"ADDRESS","standing":"sound"}]}`)
	want := "DAEMON  RISK               VALUE\ncore-1  gives no counters  starting\n"
	if result := runAgainst(daemon, "risks"); result.stdout != want {
		t.Errorf("printed %q", result.stdout)
	}
}
