package execution

import (
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/modelclient"
)

// submitForTenant submits an opaque item of a tenant; "" for none.
func (b *harness) submitForTenant(tenant string) {
	b.Submit(batchstore.RunItem{Batch: "b", ItemID: "i", Tenant: tenant, Route: "r", SubmittedAt: hour, ConfigurationVersion: 1,
		Request: &shard.Request{Target: "/x", Tokens: 1}}, b.now)
}

// Each attempt names the tenant that the batch belongs to, even if the tenant has been removed or the
// configuration no longer has tenants. A tenant named by the item itself is forwarded only if callers are
// not identified by keys.
func TestAttemptCarriesTenantOfBatch(t *testing.T) {
	for name, c := range map[string]struct {
		authentication, tenant string
		isAuthenticated        bool
	}{
		"of a tenant":                         {config.AuthenticationRequired, "t", true},
		"of a tenant on a public route":       {config.AuthenticationOptional, "t", true},
		"of none on a public route":           {config.AuthenticationOptional, "", true},
		"from before there were tenants":      {config.AuthenticationRequired, "", true},
		"of a tenant, and there are none now": {config.AuthenticationNone, "t", true},
		"of none, and there are none":         {config.AuthenticationNone, "", false},
	} {
		b := newHarness(t, "s")
		b.setConfiguration(2, config.Forward{MaxAttempts: 3, ItemRetention: 24 * hour, Authentication: c.authentication})
		b.submitForTenant(c.tenant)
		for range 2 {
			item := b.finishNext(AttemptResult{Outcome: modelclient.Interrupted, Reason: "cut"}).ForwardedItem
			if item.Tenant != c.tenant || item.IsAuthenticated != c.isAuthenticated {
				t.Errorf("%s: attempt has tenant %q, authenticated %v", name, item.Tenant, item.IsAuthenticated)
			}
		}
	}
}

// Items continue to run when keys and tenants are added or removed during their batch. Only removing
// the route makes them fail.
func TestItemContinuesAfterTenantIsRemoved(t *testing.T) {
	b := newHarness(t, "s")
	withTenant := *b.scheduler.Configuration()
	withTenant.Version, withTenant.Tenants = 2, []config.Tenant{{Name: "t", Keys: []config.KeyDigest{config.DigestKey("k")}}}
	withTenant.Index()
	b.scheduler.SetConfiguration(&withTenant, b.now)
	b.submitForTenant("t")
	b.finishNext(AttemptResult{Outcome: modelclient.Interrupted, Reason: "cut"})
	without := withTenant
	without.Version, without.Tenants = 3, nil
	without.Index()
	b.scheduler.SetConfiguration(&without, b.now)
	b.expectNoResult()
	b.finishNext(AttemptResult{Outcome: modelclient.Complete, Events: []string{"x"}, LastEventID: 1})
	b.expectOnlyResult(shard.StatusOK, "x")
}
