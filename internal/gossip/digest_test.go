package gossip

import (
	"fmt"
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

func testUpdates(keys int) map[string]machine.Update {
	out := map[string]machine.Update{}
	for i := range keys {
		key := fmt.Sprintf("key/%03d", i)
		out[key] = machine.Update{Key: key, Epoch: 1, Seq: uint64(i + 1)}
	}
	return out
}

// Digests differ only in the bucket of the key that differs.
func TestDigestDiffersOnlyInChangedBucket(t *testing.T) {
	const buckets = 32
	base := newBucketSums(testUpdates(200), buckets, 7)
	if got := base.differing(newBucketSums(testUpdates(200), buckets, 7)); len(got) > 0 {
		t.Errorf("digests of equal updates differ in buckets %v", got)
	}
	for name, change := range map[string]func(updates map[string]machine.Update){
		"a later sequence number": func(updates map[string]machine.Update) {
			updates["key/042"] = machine.Update{Key: "key/042", Epoch: 1, Seq: 900}
		},
		"a later epoch": func(updates map[string]machine.Update) {
			updates["key/042"] = machine.Update{Key: "key/042", Epoch: 2, Seq: 43}
		},
		"an unknown key": func(updates map[string]machine.Update) { delete(updates, "key/042") },
		"epoch and sequence number swapped": func(updates map[string]machine.Update) {
			updates["key/042"] = machine.Update{Key: "key/042", Epoch: 43, Seq: 1}
		},
	} {
		updates := testUpdates(200)
		change(updates)
		got := base.differing(newBucketSums(updates, buckets, 7))
		if want := []int{bucketOf("key/042", buckets)}; !slices.Equal(got, want) {
			t.Errorf("%s: buckets %v differ, want %v", name, got, want)
		}
	}
}

// The number of buckets grows with the number of keys within its limits, and a malformed list of
// checksums counts as no buckets.
func TestBucketCounts(t *testing.T) {
	for keys, want := range map[int]int{0: 16, 128: 16, 129: 32, 256: 32, 257: 64, 11_000: 1024, 1 << 20: 1024} {
		if got := bucketCount(keys); got != want {
			t.Errorf("%d keys have %d buckets, want %d", keys, got, want)
		}
	}
	for length, want := range map[int]int{0: 0, 3: 0, 4: 1, 12: 0, 64: 16, 65: 0, 4096: 1024, 8192: 0} {
		if got := bucketSums(make([]byte, length)).count(); got != want {
			t.Errorf("%d bytes are %d buckets, want %d", length, got, want)
		}
	}
}

// Malformed digests, replies and fetches are ignored and do not crash the node.
func TestMalformedDigestIgnored(_ *testing.T) {
	c := newTestCluster(1, 1)
	for _, body := range []any{Digest{Sums: make([]byte, 7)}, DigestReply{Differing: []int{-1, 3, 900}, Buckets: -2}, DigestFetch{Keys: []string{"none"}}, DigestUpdates{Stamp: 4}} {
		c.nodes["d00"].Do(Message{From: "x", Body: body}, c.now)
	}
}

// A comparison with another daemon makes this daemon's updates fresh only once the updates that were
// missing here have arrived.
func TestFreshnessWaitsForMissingUpdates(t *testing.T) {
	c := newTestCluster(2, 2)
	c.advance(clock.Second)
	lost := true
	c.drops = func(body any) bool {
		switch body.(type) {
		case Gossip:
			return true // dissemination fails completely
		case DigestUpdates:
			return lost
		}
		return false
	}
	before := c.nodes["d01"].FreshUntil()
	c.do("d00", Publish{machine.Update{Key: "plan", Seq: 1, Value: []byte("x")}})
	c.advance(clock.Second)
	if got := c.nodes["d01"].FreshUntil(); got > before+maxComparisonAge {
		t.Errorf("updates count as complete up to %d, though one published after %d is missing", got, before)
	}
	lost = false
	c.advance(clock.Second)
	if got := c.nodes["d01"].FreshUntil(); got < c.now-clock.Second {
		t.Errorf("updates count as complete only up to %d at time %d", got, c.now)
	}
	c.expectUpdateEverywhere(t, "plan")
}

// maxComparisonAge is the maximum time from the latest complete comparison to the update.
const maxComparisonAge = 400 * clock.Millisecond

// When nothing changes, a comparison costs two messages without any versions, however many keys there
// are.
func TestEqualDigestsSendNoVersions(t *testing.T) {
	c := newTestCluster(6, 2)
	c.advance(5 * clock.Second)
	for i := range 500 {
		c.do("d00", Publish{machine.Update{Key: fmt.Sprint("key/", i), Seq: 1}})
	}
	c.advance(10 * clock.Second)
	digests, replies := 0, 0
	c.drops = func(body any) bool {
		switch m := body.(type) {
		case Digest:
			digests++
		case DigestReply:
			replies++
			if len(m.Differing)+len(m.Known) > 0 {
				t.Errorf("%d buckets differ, though all updates are equal", len(m.Differing))
			}
		case DigestFetch, DigestUpdates:
			t.Errorf("%T was sent, though no update is missing", body)
		}
		return false
	}
	c.advance(5 * clock.Second)
	if digests == 0 || digests != replies {
		t.Errorf("%d digests and %d replies; want equal numbers above 0", digests, replies)
	}
}
