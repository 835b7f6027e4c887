package config

import (
	"crypto/sha256"
	"fmt"
)

const (
	maxKeysPerTenant = 64
	maxKeyBytes      = 256
)

// KeyDigest identifies an API key. Configurations hold only digests, so that no key gets into a log,
// a listing or a diff.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// apiKey is a key's digest with its path in a document.
type apiKey struct {
	path   string
	digest KeyDigest
}

// apiKeys reads the keys of a tenant: one from the field key, any number from keys.
func (o object) apiKeys() []apiKey {
	var out []apiKey
	if o.has("key") || !o.has("keys") {
		out = append(out, apiKey{o.pathOf("key"), DigestKey(o.requiredText("key", maxKeyBytes))})
	}
	for i, value := range o.list("keys", maxKeysPerTenant) {
		path := fmt.Sprintf("%s[%d]", o.pathOf("keys"), i)
		out = append(out, apiKey{path, DigestKey(o.parser.text(path, value, true, maxKeyBytes))})
	}
	return out
}

// keyOwners detects keys that two tenants share. It maps each key to the name of its tenant.
type keyOwners map[KeyDigest]string

// add records a tenant's key, and adds a fault if another tenant has it. The fault names that
// tenant, never the key.
func (k keyOwners) add(p *parser, key apiKey, tenant string) {
	if key.digest == DigestKey("") {
		return // empty keys are reported elsewhere
	}
	if owner, taken := k[key.digest]; taken && owner != tenant {
		p.addFault(key.path, fmt.Sprintf("is also a key of customer %q", owner), "give each customer its own keys")
		return
	}
	k[key.digest] = tenant
}
