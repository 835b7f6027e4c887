package gossip

import (
	"encoding/binary"
	"hash/fnv"
	"math/bits"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// A digest does not list the versions of all updates, because most comparisons find no difference.
// Instead the keys are hashed into buckets, and the digest has one checksum per bucket, over the keys
// in it and their versions. Versions are sent only for buckets whose checksums differ.

const (
	// keysPerBucket is the average number of keys per bucket between the two limits below. Each bucket
	// costs a checksum in every digest, and each difference the versions of this many keys.
	keysPerBucket = 8
	minBuckets    = 16
	maxBuckets    = 1024
	checksumBytes = 4
)

// bucketSums holds the checksums of all buckets, checksumBytes each. Their number is a power of two.
type bucketSums []byte

// bucketCount returns the number of buckets for a number of keys.
func bucketCount(keys int) int {
	wanted := (keys + keysPerBucket - 1) / keysPerBucket
	count := 1 << bits.Len(uint(max(0, wanted-1)))
	return min(maxBuckets, max(minBuckets, count))
}

// newBucketSums computes the bucket checksums of all updates. The salt differs between digests, so
// that a checksum collision does not hide a difference again in the next comparison.
func newBucketSums(updates map[string]machine.Update, buckets int, salt clock.Micros) bucketSums {
	sums := make([]uint32, buckets)
	for key, update := range updates {
		// A sum does not depend on the order in which the map is iterated.
		sums[bucketOf(key, buckets)] += updateChecksum(key, versionOf(update), salt)
	}
	out := make(bucketSums, 0, buckets*checksumBytes)
	for _, sum := range sums {
		out = binary.BigEndian.AppendUint32(out, sum)
	}
	return out
}

// count returns the number of buckets; 0 if the checksums are malformed.
func (s bucketSums) count() int {
	count := len(s) / checksumBytes
	if count == 0 || len(s)%checksumBytes != 0 || count > maxBuckets || bits.OnesCount(uint(count)) != 1 {
		return 0
	}
	return count
}

// differing lists the buckets whose checksums differ. Both must have the same number of buckets.
func (s bucketSums) differing(other bucketSums) []int {
	var out []int
	for i := range s.count() {
		from, to := i*checksumBytes, (i+1)*checksumBytes
		if !slices.Equal(s[from:to], other[from:to]) {
			out = append(out, i)
		}
	}
	return out
}

// bucketOf returns the bucket of a key.
func bucketOf(key string, buckets int) int {
	h := fnv.New32a()
	h.Write([]byte(key))
	return int(h.Sum32()) & (buckets - 1)
}

func updateChecksum(key string, version Version, salt clock.Micros) uint32 {
	h := fnv.New64a()
	h.Write([]byte(key))
	var numbers [24]byte
	binary.BigEndian.PutUint64(numbers[:], version.Epoch)
	binary.BigEndian.PutUint64(numbers[8:], version.Seq)
	binary.BigEndian.PutUint64(numbers[16:], uint64(salt))
	h.Write(numbers[:])
	sum := h.Sum64()
	return uint32(sum ^ sum>>32)
}

// versionsInBuckets returns the versions of this daemon's updates in the differing buckets, by key.
func (n *Node) versionsInBuckets(differing []int, buckets int) map[string]Version {
	out := map[string]Version{}
	for key, update := range n.updates {
		if _, differs := slices.BinarySearch(differing, bucketOf(key, buckets)); differs {
			out[key] = versionOf(update)
		}
	}
	return out
}
