package exclusive

import (
	"fmt"
	"testing"
)

var (
	holderA = Holder{"node-a", "run-1"}
	holderB = Holder{"node-b", "run-1"}
)

func act(subject Subject, number uint64, content string) Act {
	return Act{Subject: subject, Number: number, Content: []byte(content)}
}

func grantUpdate(subject Subject, holder Holder, fence uint64, acts ...Act) Update {
	return Update{Grants: []Grant{{Subject: subject, Holder: holder, Fence: fence, Acts: acts}}}
}

func TestDecidedContentNeverChanges(t *testing.T) {
	var table Table
	table.Apply(grantUpdate("s", holderA, 1, act("s", 5, "first")))
	table.Apply(grantUpdate("s", holderB, 2, act("s", 5, "second"), act("s", 4, "earlier")))
	open := table.Record("s").Open
	if len(open) != 1 || string(open[0].Content) != "first" {
		t.Fatalf("open acts are %+v", open)
	}
}

func TestFenceNeverDecreasesNorHasTwoHolders(t *testing.T) {
	var table Table
	table.Apply(grantUpdate("s", holderA, 3, act("s", 1, "x")))
	table.Apply(grantUpdate("s", holderB, 2, act("s", 2, "y")))
	table.Apply(grantUpdate("s", holderB, 3, act("s", 2, "y")))
	table.Apply(grantUpdate("s", Holder{"node-a", "run-2"}, 3, act("s", 2, "y")))
	if record := table.Record("s"); record.Holder != holderA || record.Fence != 3 || record.LastNumber != 1 {
		t.Fatalf("unexpected record: %+v", record)
	}
}

func TestSupersedingActReplacesOpenActs(t *testing.T) {
	var table Table
	table.Apply(grantUpdate("s", holderA, 1, act("s", 1, "x")))
	newer := act("s", 2, "y")
	newer.Supersedes = true
	table.Apply(grantUpdate("s", holderA, 1, newer))
	record := table.Record("s")
	if len(record.Open) != 1 || record.Open[0].Number != 2 || string(record.LastContent) != "y" {
		t.Fatalf("unexpected record: %+v", record)
	}
}

func TestSettledActIsNeitherOpenNorDecidedAgain(t *testing.T) {
	var table Table
	table.Apply(grantUpdate("s", holderA, 1, act("s", 1, "x"), act("s", 2, "y")))
	copied := table
	table.Apply(Update{Settlements: []Settlement{{Subject: "s", Numbers: []uint64{1, 9}}, {Subject: "unknown", Numbers: []uint64{1}}}})
	table.Apply(grantUpdate("s", holderA, 1, act("s", 1, "z")))
	if open := table.Record("s").Open; len(open) != 1 || open[0].Number != 2 {
		t.Fatalf("open acts are %+v, want act 2 only", open)
	}
	if len(copied.Record("s").Open) != 2 {
		t.Fatal("a copy of the table was modified")
	}
}

func TestOpenActsAreBounded(t *testing.T) {
	var table Table
	for number := range uint64(maxOpenActs + 3) {
		table.Apply(grantUpdate("s", holderA, 1, act("s", number+1, "x")))
	}
	open := table.Record("s").Open
	if len(open) != maxOpenActs || open[0].Number != 4 || table.Abandoned != 3 {
		t.Fatalf("%d open acts starting at %d, %d abandoned", len(open), open[0].Number, table.Abandoned)
	}
}

// An evicted subject must not get a fence again that it had before.
func TestEvictedSubjectGetsHigherFence(t *testing.T) {
	var table Table
	target := act("forgotten", 1, "x")
	target.Supersedes = true
	table.Apply(grantUpdate("forgotten", holderA, 7, target))
	table.Apply(Update{Settlements: []Settlement{{Subject: "forgotten", Numbers: []uint64{1}}}})
	for i := range maxSubjects {
		subject := Subject(fmt.Sprintf("s%d", i))
		table.Apply(grantUpdate(subject, holderA, nextFence(&table, subject, holderA), act(subject, 1, "x")))
	}
	if _, isKnown := table.Subjects["forgotten"]; isKnown || len(table.Subjects) != maxSubjects {
		t.Fatalf("subject was not evicted, or the size is wrong: %d subjects", len(table.Subjects))
	}
	if table.hasCapacity() {
		t.Fatal("table has capacity although every subject has an open act")
	}
	if fence := nextFence(&table, "forgotten", holderA); fence <= 7 {
		t.Fatalf("next fence is %d, want more than 7", fence)
	}
	table.Apply(grantUpdate("forgotten", holderB, 7, act("forgotten", 2, "y")))
	if _, isKnown := table.Subjects["forgotten"]; isKnown {
		t.Fatal("a fence was granted again after eviction")
	}
}

// Guards against deciding acts a second time, with different content: that happened when a subject
// whose acts do not supersede each other was evicted, since its LastNumber was lost.
func TestSubjectWithoutSupersedingActsIsNotEvicted(t *testing.T) {
	var table Table
	table.Apply(grantUpdate("windows", holderA, 7, act("windows", 5, "first")))
	table.Apply(Update{Settlements: []Settlement{{Subject: "windows", Numbers: []uint64{5}}}})
	for i := range maxSubjects {
		subject, target := Subject(fmt.Sprintf("s%d", i)), act("", 1, "x")
		target.Subject, target.Supersedes = subject, true
		table.Apply(grantUpdate(subject, holderA, nextFence(&table, subject, holderA), target))
		table.Apply(Update{Settlements: []Settlement{{Subject: subject, Numbers: []uint64{1}}}})
	}
	table.Apply(grantUpdate("windows", holderA, nextFence(&table, "windows", holderA), act("windows", 5, "second")))
	if record := table.Record("windows"); record.LastNumber != 5 || len(record.Open) > 0 {
		t.Fatalf("act was decided again: %+v", record)
	}
}
