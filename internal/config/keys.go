package config

import (
	"crypto/sha256"
	"fmt"
)

const (
	maxKeysPerTenant = 64
	maxKeyBytes      = 256
)

// KeyDigest stands for an API key: configurations hold no key itself, so that none gets into a log,
// a list or a comparison.
type KeyDigest [sha256.Size]byte

// DigestKey is the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// apiKey is a key where it stands in a document.
type apiKey struct {
	path   string
	digest KeyDigest
}

// apiKeys reads the keys of a tenant: one in the field key, any number in keys.
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

// keyOwners finds keys that two tenants share; it has the name of the tenant of each key.
type keyOwners map[KeyDigest]string

// add takes a key of a tenant. The fault names the tenants, never the key.
func (k keyOwners) add(p *parser, key apiKey, tenant string) {
	if key.digest == DigestKey("") {
		return // an empty key is a fault elsewhere
	}
	if owner, taken := k[key.digest]; taken && owner != tenant {
		p.addFault(key.path, fmt.Sprintf("is a key of customer %q, too", owner), "give each customer keys of its own")
		return
	}
	k[key.digest] = tenant
}
