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

// A digest differs in the bucket of the key that differs, and in no other.
func TestDigestDiffersOnlyInChangedBucket(t *testing.T) {
	const buckets = 32
	base := newBucketSums(testUpdates(200), buckets, 7)
	if got := base.differing(newBucketSums(testUpdates(200), buckets, 7)); len(got) > 0 {
		t.Errorf("equal updates differ in %v", got)
	}
	for name, change := range map[string]func(updates map[string]machine.Update){
		"a later number": func(updates map[string]machine.Update) {
			updates["key/042"] = machine.Update{Key: "key/042", Epoch: 1, Seq: 900}
		},
		"a later epoch": func(updates map[string]machine.Update) {
			updates["key/042"] = machine.Update{Key: "key/042", Epoch: 2, Seq: 43}
		},
		"an unknown key": func(updates map[string]machine.Update) { delete(updates, "key/042") },
		"a swapped epoch": func(updates map[string]machine.Update) {
			updates["key/042"] = machine.Update{Key: "key/042", Epoch: 43, Seq: 1}
		},
	} {
		updates := testUpdates(200)
		change(updates)
		got := base.differing(newBucketSums(updates, buckets, 7))
		if want := []int{bucketOf("key/042", buckets)}; !slices.Equal(got, want) {
			t.Errorf("%s: the buckets %v differ, not %v", name, got, want)
		}
	}
}

// Buckets are few where keys are few, and what is no list of checksums is told.
func TestBucketCounts(t *testing.T) {
	for keys, want := range map[int]int{0: 16, 128: 16, 129: 32, 256: 32, 257: 64, 11_000: 1024, 1 << 20: 1024} {
		if got := bucketCount(keys); got != want {
			t.Errorf("%d keys have %d buckets, not %d", keys, got, want)
		}
	}
	for length, want := range map[int]int{0: 0, 3: 0, 4: 1, 12: 0, 64: 16, 65: 0, 4096: 1024, 8192: 0} {
		if got := bucketSums(make([]byte, length)).count(); got != want {
			t.Errorf("%d bytes are %d buckets, not %d", length, got, want)
		}
	}
}

// A malformed digest is passed over.
func TestMalformedDigestIgnored(_ *testing.T) {
	c := newTestCluster(1, 1)
	for _, body := range []any{Digest{Sums: make([]byte, 7)}, DigestReply{Differing: []int{-1, 3, 900}, Buckets: -2}, DigestFetch{Keys: []string{"none"}}, DigestUpdates{Stamp: 4}} {
		c.nodes["d00"].Do(Message{From: "x", Body: body}, c.now)
	}
}

// What another daemon's digest covers counts as known here only once the updates that it had and
// this daemon lacked have come.
func TestFreshnessWaitsForMissingUpdates(t *testing.T) {
	c := newTestCluster(2, 2)
	c.advance(clock.Second)
	lost := true
	c.drops = func(body any) bool {
		switch body.(type) {
		case Gossip:
			return true // dissemination fails
		case DigestUpdates:
			return lost
		}
		return false
	}
	before := c.nodes["d01"].FreshUntil()
	c.do("d00", Publish{machine.Update{Key: "plan", Seq: 1, Value: []byte("x")}})
	c.advance(clock.Second)
	if got := c.nodes["d01"].FreshUntil(); got > before+maxComparisonAge {
		t.Errorf("updates count as complete up to %d, though one was missing since %d", got, before)
	}
	lost = false
	c.advance(clock.Second)
	if got := c.nodes["d01"].FreshUntil(); got < c.now-clock.Second {
		t.Errorf("updates count as complete up to %d at %d", got, c.now)
	}
	c.expectUpdateEverywhere(t, "plan")
}

// maxComparisonAge is how long before the update the latest comparison may have been.
const maxComparisonAge = 400 * clock.Millisecond

// In a fleet at rest a comparison costs few bytes, however many keys there are: two messages,
// without a version.
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
				t.Errorf("%d buckets differ", len(m.Differing))
			}
		case DigestFetch, DigestUpdates:
			t.Errorf("a %T is sent", body)
		}
		return false
	}
	c.advance(5 * clock.Second)
	if digests == 0 || digests != replies {
		t.Errorf("%d digests, %d replies", digests, replies)
	}
}
