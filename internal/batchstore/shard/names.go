package shard

import (
	"crypto/sha256"
	"encoding/hex"
	"hash/fnv"
	"strconv"
)

// ShardOf is the shard that a batch or a claim belongs to, by its ID (docs/DESIGN.md
// §6.1). It never changes: the IDs of stored batches are mapped by it.
func ShardOf(id string, shards int) int {
	h := fnv.New64a()
	h.Write([]byte(id))
	// FNV's high bits differ little between similar IDs: the mix is MurmurHash3's finalizer.
	sum := h.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	return int(sum % uint64(shards))
}

// ClaimID is the ID of the claim on a tenant's idempotency key. It depends on nothing
// else, so a repeated key finds its claim from any daemon.
func ClaimID(tenant, key string) string { return claimPrefix + Hash(tenant, key) }

// BatchID is the ID of the batch of a tenant's idempotency key; like ClaimID it depends on
// nothing else.
func BatchID(tenant, key string) string { return batchPrefix + Hash(tenant, key) }

// Hash is the digest of some fields, in hexadecimal; a body's tells a repeated key from a
// reused one. The lengths in front keep ("ab", "c") and ("a", "bc") apart.
func Hash(fields ...string) string {
	h := sha256.New()
	for _, field := range fields {
		h.Write([]byte(strconv.Itoa(len(field)) + ":" + field))
	}
	return hex.EncodeToString(h.Sum(nil)[:hashBytes])
}

// hashBytes is how much of the SHA-256 sum an ID keeps.
const hashBytes = 12
