package requests

import (
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/reader"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/errs"
)

// useTenants applies a configuration with a batch route "r" that uses the given authentication and a live
// route that requires a key. Tenant t has the keys k1 and k2, tenant u has k3.
func (b *harness) useTenants(version uint64, authentication string) {
	configuration := &config.Configuration{Version: version,
		Tenants: []config.Tenant{
			{Name: "t", Keys: []config.KeyDigest{config.DigestKey("k1"), config.DigestKey("k2")}},
			{Name: "u", Keys: []config.KeyDigest{config.DigestKey("k3")}},
		},
		Routes: []config.Route{
			{Name: "r", Kind: config.Batch, Forward: &config.Forward{Authentication: authentication}},
			{Name: "live", Kind: config.OneShot, Forward: &config.Forward{Authentication: config.AuthenticationRequired}},
		}}
	configuration.Index()
	b.scheduler.SetConfiguration(configuration, b.now)
}

// batchCalls returns one call of each kind on a batch of opaque requests, with the given key.
func batchCalls(key string) []any {
	return []any{
		SubmitForwardedBatchRequest{APIKey: key, Route: "r", ID: "one", Items: forwardedItems("x")},
		ForwardedBatchStatusRequest{APIKey: key, Batch: "one"},
		ForwardedBatchStatusRequest{APIKey: key, Batch: "one", Cancel: true},
		ForwardedPageRequest{APIKey: key, Read: reader.Request{ID: "n", BatchID: "one", ByIndex: true, Access: batchstore.Access{AnyTenant: true}}},
		ItemBodyRequest{APIKey: key, Batch: "one", Item: "i"},
	}
}

// accessOf returns the access rights with which a request to a store looks up a batch.
func accessOf(t *testing.T, body any) batchstore.Access {
	t.Helper()
	switch request := body.(type) {
	case batchstore.SubmitRequest:
		return request.By
	case batchstore.BatchStatusRequest:
		return request.By
	case batchstore.EndRequest:
		return request.By
	case batchstore.ReadRequest:
		return request.By
	case batchstore.ItemBodyRequest:
		return request.By
	}
	t.Fatalf("unexpected request to a store: %T", body)
	return batchstore.Access{}
}

// Guards against calls that reach a batch without a key: batches used to be found by their ID alone
// (issue 40).
func TestBatchCallsAreAuthorizedByAPIKey(t *testing.T) {
	withoutTenant := batchstore.Access{WithoutTenant: true}
	ofT, ofU := batchstore.Access{Tenant: "t", WithoutTenant: true}, batchstore.Access{Tenant: "u", WithoutTenant: true}
	for authentication, byKey := range map[string]map[string]*batchstore.Access{
		config.AuthenticationRequired: {"": nil, "wrong": nil, "t": nil, "k1": &ofT, "k2": &ofT, "k3": &ofU},
		config.AuthenticationOptional: {"": &withoutTenant, "wrong": nil, "k1": &ofT, "k3": &ofU},
	} {
		for key, want := range byKey {
			for _, call := range batchCalls(key) {
				b := newHarness(t)
				b.useTenants(4, authentication)
				request, response := b.submit(call)
				switch {
				case want == nil:
					if request != nil || response == nil || !errs.Is(response.Err, errs.Unauthorised) {
						t.Errorf("%s, %T with key %q: requested %+v, replied %+v", authentication, call, key, request, response)
					}
				case request == nil:
					t.Errorf("%s, %T with key %q: replied %+v", authentication, call, key, response)
				case accessOf(t, request.Body) != *want:
					t.Errorf("%s, %T with key %q: access %+v", authentication, call, key, accessOf(t, request.Body))
				}
			}
		}
	}
}

// Without a configuration, a key can't be assigned to a tenant, so all calls on batches are rejected
// as not ready.
func TestBatchCallsWithoutConfigurationAreNotReady(t *testing.T) {
	for _, call := range append(batchCalls("k1"), ResubmitForwardedBatchRequest{APIKey: "k1", ID: "one", Items: forwardedItems("x")}) {
		b := newHarness(t)
		b.scheduler = scheduler.New(scheduler.Defaults(), 1)
		b.expectRejected(errs.NotReady, call)
	}
}

// A batch belongs to the tenant whose key it was submitted with, and to no tenant without a key.
func TestBatchBelongsToTenantOfAPIKey(t *testing.T) {
	for key, want := range map[string]string{"k1": "t", "k2": "t", "k3": "u", "": ""} {
		b := newHarness(t)
		b.useTenants(4, config.AuthenticationOptional)
		request, _ := b.submit(SubmitForwardedBatchRequest{APIKey: key, Route: "r", ID: "one", Items: forwardedItems("x")})
		if batch := request.Body.(batchstore.SubmitRequest).Batch; batch.TenantName() != want || batch.Tenant == "" {
			t.Errorf("key %q: %+v", key, batch)
		}
	}
}

// A removed key is rejected from the next call on; another key of the same tenant still finds its batches.
func TestRemovedAPIKeyIsRejected(t *testing.T) {
	b := newHarness(t)
	b.useTenants(4, config.AuthenticationRequired)
	before, _ := b.submit(SubmitForwardedBatchRequest{APIKey: "k1", Route: "r", ID: "one", Items: forwardedItems("x")})
	without := *b.scheduler.Configuration()
	without.Version, without.Tenants = 5, []config.Tenant{{Name: "t", Keys: []config.KeyDigest{config.DigestKey("k2")}}}
	without.Index()
	b.scheduler.SetConfiguration(&without, b.now)
	for _, call := range batchCalls("k1") {
		b.expectRejected(errs.Unauthorised, call)
	}
	again, _ := b.submit(SubmitForwardedBatchRequest{APIKey: "k2", Route: "r", ID: "one", Items: forwardedItems("x")})
	first, second := before.Body.(batchstore.SubmitRequest), again.Body.(batchstore.SubmitRequest)
	if first.By != second.By || first.Batch.Hash != second.Batch.Hash || second.Batch.Tenant != "t" {
		t.Errorf("first submission %+v, repeated submission %+v", first, second)
	}
}

// A resubmitted batch whose route was removed is accessible to its own tenant only. Without a valid key the
// error is that the route is unknown, which reveals nothing about the batch.
func TestResubmittedBatchIsLimitedToItsTenant(t *testing.T) {
	b := newHarness(t)
	b.useTenants(4, config.AuthenticationRequired)
	items := forwardedItems("x")
	for _, key := range []string{"", "wrong"} {
		b.expectRejected(errs.UnknownRoute, ResubmitForwardedBatchRequest{APIKey: key, ID: "one", Items: items})
	}
	query, _ := b.submit(ResubmitForwardedBatchRequest{APIKey: "k1", ID: "one", Items: items})
	if by := accessOf(t, query.Body); by != (batchstore.Access{Tenant: "t", WithoutTenant: true}) {
		t.Errorf("status requested with access %+v", by)
	}
	b.machineCalls.ReplyReceived(query.Token, batchstore.BatchStatus{Batch: "one", Route: "gone"}, nil, b.now+clock.Millisecond)
	again, _ := b.effects()
	if batch := again.Body.(batchstore.SubmitRequest).Batch; batch.TenantName() != "t" || batch.Route != "gone" {
		t.Errorf("submitted %+v", batch)
	}
}

// A batch route without authentication ignores keys, even if other routes require them.
func TestAPIKeyIgnoredOnRouteWithoutAuthentication(t *testing.T) {
	b := newHarness(t)
	b.useTenants(4, config.AuthenticationNone)
	for _, key := range []string{"", "wrong", "k1"} {
		request, response := b.submit(SubmitForwardedBatchRequest{APIKey: key, Route: "r", ID: "one", Items: forwardedItems("x")})
		if request == nil {
			t.Fatalf("key %q: replied %+v", key, response)
		}
		if batch := request.Body.(batchstore.SubmitRequest).Batch; batch.TenantName() != "" {
			t.Errorf("key %q: %+v", key, batch)
		}
	}
}
