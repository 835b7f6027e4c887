package replication

import (
	"fmt"
	"strings"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// A large state is sent in chunks, a few at a time, and arrives complete although a message is
// dropped, duplicated or delayed.
func TestLargeSnapshotIsSentInChunks(t *testing.T) {
	const partCount = 20
	large := strings.Repeat("x", 100<<10)
	for number := 0; number <= 24; number += 3 {
		for _, fault := range messageFaults {
			t.Run(fmt.Sprintf("message %d %s", number, fault), func(t *testing.T) {
				c := newTestCluster("a", "b")
				a, b := c.members["a"], c.members["b"]
				for i := range partCount {
					a.list = append(a.list, fmt.Sprint(i, large))
				}
				c.injectFault(number, fault)
				c.formGroup(t, 1, "a", "b")
				if c.largestChunk > 300<<10 {
					t.Fatalf("a chunk has %d bytes", c.largestChunk)
				}
				if fmt.Sprint(b.list) != fmt.Sprint(a.list) {
					t.Fatalf("the replica has %d of %d parts", len(b.list), partCount)
				}
			})
		}
	}
}

// The snapshots of many units share a budget: no more chunks are in flight than it allows, and every
// chunk is eventually sent.
func TestSnapshotsShareChunkBudget(t *testing.T) {
	const unitCount = 10
	unit := func(i int) string { return fmt.Sprint("u", i) }
	a := newTestMember()
	for i := 0; i < 40; i++ {
		a.list = append(a.list, strings.Repeat("x", 100<<10))
	}
	now := clock.Micros(1000)
	for i := range unitCount {
		a.groups.BecomePrimary(unit(i), 1, []string{"b"}, now)
	}
	acked, mostInFlight := 0, 0
	for round := 0; round < 400; round++ {
		now += 20 * clock.Millisecond
		a.groups.Tick(now)
		var chunks []SnapshotChunk
		for _, effect := range a.Drain() {
			switch e := effect.(type) {
			case machine.Send:
				if chunk, ok := e.Body.(SnapshotChunk); ok {
					chunks = append(chunks, chunk)
				}
			case machine.Persist:
				a.groups.Persisted(e.Token, now)
			}
		}
		mostInFlight = max(mostInFlight, a.groups.chunksInFlight(now))
		for _, chunk := range chunks {
			acked++
			a.groups.HandleMessage("b", SnapshotChunkAck{Unit: chunk.Unit, Epoch: chunk.Epoch, Index: chunk.Index}, now)
		}
	}
	if mostInFlight > maxChunksInFlight {
		t.Fatalf("%d chunks were in flight, the budget is %d", mostInFlight, maxChunksInFlight)
	}
	for i := range unitCount {
		for chunk, done := range a.groups.Group(unit(i)).asPrimary.replicas[0].transfer.acked {
			if !done {
				t.Fatalf("%s: chunk %d was never sent (%d chunks acknowledged)", unit(i), chunk, acked)
			}
		}
	}
}
