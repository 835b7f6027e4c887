package modelcheck

import (
	"slices"
	"strings"
	"testing"
)

// plantedRun is a fault, the runs to search for it, and the properties that it may violate.
type plantedRun struct {
	fault  string
	config Config
	depth  int
	breaks []Property
}

// voterPartitionedBeforeCommit partitions a voter, starts another core that takes over its vote, and
// blocks all messages about this change to one member.
var voterPartitionedBeforeCommit = Trace{
	{Kind: Partition, Processes: []string{"c3"}},
	{Kind: Start, Processes: []string{"c4"}},
	{Kind: BlockMessageType, Processes: []string{"c1", "c2"}, Message: "Commit"},
	{Kind: BlockMessageType, Processes: []string{"c1", "c2"}, Message: "Heartbeat"},
	{Kind: BlockMessageType, Processes: []string{"c4", "c2"}, Message: "Heartbeat"},
}

func plantedRuns() []plantedRun {
	events := func(text string) []string { return strings.Split(text, ", ") }
	return []plantedRun{
		{"lease-without-quorum", Config{Voters: 3, OnlyEvents: events("cut, pass")}, 2,
			[]Property{OneLease, NoStaleRead}},
		{"lease-without-quorum", Config{Voters: 5, OnlyEvents: events("cut c1 c2, put, settle, pass 6s")}, 4,
			[]Property{OneLease, NoStaleRead}},
		{"wiped-identity-votes", Config{Voters: 3, OnlyEvents: events("wipe, pass")}, 2,
			[]Property{OldIdentity}},
		{"one-copy-confirms", Config{Voters: 3, OnlyEvents: events("put c1 A, sync c1, wipe c1, pass 6s")}, 4,
			[]Property{CompleteLeader, NothingLost, NoStaleRead}},
		{"last-copy-missing", Config{Voters: 5, OnlyEvents: events("cut c2, heal, put c1 A, settle, wipe c1, pass 6s")}, 6,
			[]Property{CompleteLeader, NothingLost, NoStaleRead}},
		{"empty-member-leads", Config{Voters: 3, OnlyEvents: events("put c1 A, settle, wipe c1, crash c2, start c2, pass 1.5s")}, 7,
			[]Property{CompleteLeader, NothingLost, NoStaleRead}},
		{"only-copy-removed", Config{Voters: 3, FineGrained: true, OnlyEvents: events("put c1 A, settle, starve c1 c3 Copy, crash c2, wipe c1, start c2, pass 6s")}, 8,
			[]Property{CompleteLeader, NothingLost, NoStaleRead}},
		{"new-voters-only", Config{Voters: 3, Spares: 1, Limits: Limits{Partitions: 5, TimePasses: 2}, InitialTrace: voterPartitionedBeforeCommit,
			OnlyEvents: events("heal, cut, pass")}, 4,
			[]Property{OneLease, Majority, NoStaleRead}},
		{"no-order-table", Config{Voters: 3, OnlyEvents: events("put c1 C, put c2 C, settle, crash c1, crash c2, start c2, pass 6s")}, 7,
			[]Property{NoRejectionAfterConfirm}},
		{"synced-too-early", Config{Voters: 3, OnlyEvents: events("put c1 C, deliver c1 c2 Append, deliver c2 c1 Ack, blackout, start c1, start c2, pass 6s")}, 7,
			[]Property{CompleteLeader, NothingLost, NoStaleRead}},
	}
}

// Guards against checks that cannot fail: each planted fault must be detected by a shortest run,
// which shows the same violation when parsed and replayed, and none without the fault.
func TestPlantedFaultsAreCaught(t *testing.T) {
	caught := map[string]bool{}
	for _, p := range plantedRuns() {
		c := p.config
		c.Fault, c.MaxLosses = p.fault, -1
		if c.Limits == (Limits{}) {
			c.Limits = Limits{Crashes: 3, Wipes: 2, Partitions: 3, MessageFaults: 2, Puts: 2, TimePasses: 2}
		}
		result := BreadthFirst(&c, Bounds{Depth: p.depth, States: 30_000})
		if result.Violation == nil {
			t.Errorf("%s, %d voters: not detected in %d states to depth %d", p.fault, c.Voters, result.States, result.Depth)
			continue
		}
		t.Logf("%s, %d voters: %d states, a run of %d events: %v", p.fault, c.Voters, result.States, len(c.InitialTrace)+len(result.Trace), result.Violation)
		if !slices.Contains(p.breaks, result.Violation.Property) {
			t.Errorf("%s violates an unexpected property: %v", p.fault, result.Violation)
		}
		again, err := ParseTrace(result.Trace.String())
		if err != nil {
			t.Fatal(err)
		}
		if w := Replay(&c, again, false); w.Violation() == nil || *w.Violation() != *result.Violation {
			t.Errorf("%s: replaying its run gives violation %v, want the original one", p.fault, w.Violation())
		}
		c.Fault = ""
		if w := Replay(&c, again, true); w.Violation() != nil {
			t.Errorf("%s: its run shows a violation without the fault: %v\n%s", p.fault, w.Violation(), again)
		}
		caught[p.fault] = true
	}
	for _, name := range FaultNames() {
		if !caught[name] {
			t.Errorf("no run detects %s", name)
		}
	}
}
