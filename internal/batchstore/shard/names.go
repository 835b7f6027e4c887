package shard

import (
	"crypto/sha256"
	"encoding/hex"
	"hash/fnv"
	"strconv"
)

// ShardOf returns the shard that a batch or a claim belongs to, by its ID (docs/DESIGN.md
// §6.1). The mapping must not change, because stored batches are located by it.
func ShardOf(id string, shards int) int {
	h := fnv.New64a()
	h.Write([]byte(id))
	// FNV's high bits differ little between similar IDs, so mix them as MurmurHash3's finalizer does.
	sum := h.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	return int(sum % uint64(shards))
}

// ClaimID returns the ID of the claim on a tenant's idempotency key. It depends on nothing
// else, so any daemon finds the claim of a repeated key.
func ClaimID(tenant, key string) string { return claimPrefix + Hash(tenant, key) }

// BatchID returns the ID of the batch of a tenant's idempotency key. Like ClaimID, it depends
// on nothing else.
func BatchID(tenant, key string) string { return batchPrefix + Hash(tenant, key) }

// Hash returns a hexadecimal digest of the fields. The digest of a request body distinguishes a
// repeated request from another one that reuses its key. Each field is prefixed with its length, so
// that ("ab", "c") and ("a", "bc") have different digests.
func Hash(fields ...string) string {
	h := sha256.New()
	for _, field := range fields {
		h.Write([]byte(strconv.Itoa(len(field)) + ":" + field))
	}
	return hex.EncodeToString(h.Sum(nil)[:hashBytes])
}

// hashBytes is the number of bytes to which Hash truncates the SHA-256 sum.
const hashBytes = 12
