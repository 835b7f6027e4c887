package batchstore

import (
	"testing"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

// tenantBatch returns the request of a tenant that submits a batch of opaque requests.
func tenantBatch(tenant, id string, items int) SubmitRequest {
	request := forwardedBatch(id, items)
	request.Batch.Tenant, request.Batch.Key = tenant, id
	request.By = Access{Tenant: tenant, WithoutTenant: true}
	return request
}

// The access of a call determines which batches it may use.
func TestAccessAllowsBatchesByTenant(t *testing.T) {
	batches := map[string]*shard.Batch{
		"of t":               {ID: "id", Key: "id", Tenant: "t", Route: "r"},
		"of a tenant like r": {ID: "id", Key: "id", Tenant: "r", Route: "r"},
		"of no tenant":       {ID: "id", Tenant: "r", Route: "r"},
		"chat of t":          {ID: shard.BatchID("t", "k"), Key: "k", Tenant: "t", Route: "r"},
	}
	for _, test := range []struct {
		by    Access
		finds []string
	}{
		{Access{Tenant: "t", WithoutTenant: true}, []string{"of t", "of no tenant", "chat of t"}},
		{Access{Tenant: "r", WithoutTenant: true}, []string{"of a tenant like r", "of no tenant"}},
		{Access{WithoutTenant: true}, []string{"of no tenant"}},
		{Access{AnyTenant: true}, []string{"of t", "of a tenant like r", "of no tenant"}},
		{Access{Tenant: "t"}, []string{"of t", "chat of t"}},
		{Access{Tenant: "r"}, []string{"of a tenant like r"}},
		{Access{}, nil},
	} {
		want := map[string]bool{}
		for _, name := range test.finds {
			want[name] = true
		}
		for name, batch := range batches {
			if test.by.allows(batch) != want[name] {
				t.Errorf("access %+v allows the batch %s: %v", test.by, name, !want[name])
			}
		}
	}
}

// Guards against issue 40: a caller of another tenant, or without a tenant, could read and end a batch, and
// read the bodies of its items, by the batch's ID alone.
func TestAnotherTenantsBatchIsNotFound(t *testing.T) {
	c := newCluster(t)
	c.mustCall(tenantBatch("t", "one", 2))
	for _, by := range []Access{{Tenant: "other", WithoutTenant: true}, {WithoutTenant: true}, {Tenant: "route", WithoutTenant: true}} {
		for _, request := range []any{
			BatchStatusRequest{Batch: "one", By: by},
			EndRequest{Batch: "one", By: by, Timeout: clock.Second},
			ReadRequest{Shards: map[int]uint64{0: 1}, Batch: "one", By: by},
			ReadRequest{Shards: map[int]uint64{0: 1}, Batch: "one", By: by, Indexed: true},
			ItemBodyRequest{Batch: "one", Item: "i0", By: by},
		} {
			c.mustReject(errs.NotFound, request)
		}
	}
	own := Access{Tenant: "t", WithoutTenant: true}
	for _, task := range c.tasks {
		if item, ok := task.(RunItem); ok && item.Tenant != "t" {
			t.Errorf("an item of tenant t runs as %+v", item)
		}
	}
	if status := c.mustCall(BatchStatusRequest{Batch: "one", By: own}).(BatchStatus); status.State != string(shard.Open) || status.Tenant != "t" {
		t.Errorf("the status for the batch's own tenant is %+v", status)
	}
	if body := c.mustCall(ItemBodyRequest{Batch: "one", Item: "i0", By: own}).(ItemBodyResponse); string(body.Body) != "body 0" {
		t.Errorf("the body for the batch's own tenant is %q", body.Body)
	}
	c.mustCall(EndRequest{Batch: "one", By: own, Timeout: clock.Second})
}

// A submission under the ID of another tenant's batch is rejected, whatever its content, and that batch is
// not changed. A batch without a tenant is acknowledged again to every tenant.
func TestBatchIDOfAnotherTenantIsRejected(t *testing.T) {
	c := newCluster(t)
	c.mustCall(tenantBatch("t", "one", 2))
	c.mustReject(errs.Conflict, tenantBatch("other", "one", 2))
	c.mustReject(errs.Conflict, tenantBatch("other", "one", 1))
	withoutTenant := forwardedBatch("one", 2)
	withoutTenant.By = Access{WithoutTenant: true}
	c.mustReject(errs.Conflict, withoutTenant)
	if again := c.mustCall(tenantBatch("t", "one", 2)).(SubmitResponse); !again.Repeated {
		t.Errorf("the tenant's own resubmission is answered %+v", again)
	}
	if batch := c.stores["a"].shard(Unit(0)).state.Batches["one"]; batch.Tenant != "t" || len(batch.Items) != 2 {
		t.Errorf("the first tenant's batch was changed: %+v", batch)
	}
	c.mustCall(forwardedBatch("shared", 1))
	if again := c.mustCall(tenantBatch("t", "shared", 1)).(SubmitResponse); !again.Repeated {
		t.Errorf("the resubmission of a batch without a tenant is answered %+v", again)
	}
}

// A batch that was stored by a release without tenants has no tenant, and every tenant may use it.
func TestBatchesOfAnEarlierReleaseHaveNoTenant(t *testing.T) {
	state, err := shard.Restore([][]byte{[]byte(`{"bundle":{"id":"one","customer":"r","key":"","hash":"h","route":"r","items":[{"id":"x","request":{"target":"/","host":"h","tokens":7}}],"state":"open","enrolled":1,"changed":0,"rows":null}}`)})
	if err != nil {
		t.Fatal(err)
	}
	batch := state.Batches["one"]
	if !batch.HasNoTenant() || batch.TenantName() != "" || batch.Account() != (shard.AccountName{Route: "r"}) || !(Access{Tenant: "t", WithoutTenant: true}).allows(batch) {
		t.Errorf("a batch without a tenant has the tenant %q and the account %+v, or is not allowed", batch.TenantName(), batch.Account())
	}
}
