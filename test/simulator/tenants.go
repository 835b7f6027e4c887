package simulator

import (
	"fmt"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/execution"
	"tuliprudder/internal/dataplane/reader"
	"tuliprudder/internal/dataplane/requests"
	"tuliprudder/internal/errs"
)

// This file is tenants with batches of requests (DESIGN §12.5): their keys come and go with the
// configurations while their batches run, and others try to use what is theirs.

// tenantsApart: batches of a tenant are found with its keys alone, and run under its name.
const tenantsApart Guarantee = "a tenant's batches are its own, whichever of its keys comes"

// batchTenants are the tenants with batches of requests, each in a priority class of its own.
var batchTenants = map[string]string{"north": "gold", "south": "silver", "west": "notes"}

// batchTenantNames lists them.
var batchTenantNames = sorted(batchTenants)

// lastingKey is the key of a tenant that every configuration has; changingKey is one that just two
// documents have: that of its number and the next.
func lastingKey(tenant string) string { return "key-" + tenant }

func changingKey(tenant string, document int) string {
	return fmt.Sprintf("key-%s-%d", tenant, document)
}

// tenantDocuments are the tenants with batches of requests in a document.
func tenantDocuments(number int) []document {
	var out []document
	for _, name := range batchTenantNames {
		out = append(out, document{
			"name":  name,
			"keys":  []string{lastingKey(name), changingKey(name, number), changingKey(name, number-1)},
			"class": batchTenants[name],
		})
	}
	return out
}

// withAuthentication has a route for batches require a tenant's key.
func withAuthentication(route document) document {
	route["forward"].(document)["authentication"] = config.AuthenticationRequired
	return route
}

// tenantOf is the tenant that submits a forwarded batch; "" where there are none.
func (v *Workload) tenantOf(number int) string {
	if !v.world.Tenants {
		return ""
	}
	return batchTenantNames[number%len(batchTenantNames)]
}

// apiKey is one of the tenant's keys, in turn one that lasts and one that may be gone or not be there yet.
func (b *Batch) apiKey() string {
	if b.Tenant == "" {
		return ""
	}
	b.calls++
	if b.calls%2 == 0 {
		return changingKey(b.Tenant, b.workload.lastDocument-b.calls/2%3)
	}
	return lastingKey(b.Tenant)
}

// apiKeyOf is the key of a call on a forwarded batch; "" for other calls.
func apiKeyOf(body any) string {
	switch request := body.(type) {
	case requests.SubmitForwardedBatchRequest:
		return request.APIKey
	case requests.ForwardedBatchStatusRequest:
		return request.APIKey
	case requests.ForwardedPageRequest:
		return request.APIKey
	case requests.ItemBodyRequest:
		return request.APIKey
	}
	return ""
}

// checkKeyAccepted checks that an edge doesn't refuse a key that every configuration has.
func (v *Workload) checkKeyAccepted(n *Node, body any, err error) {
	key := apiKeyOf(body)
	for _, tenant := range batchTenantNames {
		if key != lastingKey(tenant) {
			continue
		}
		v.countCheck(tenantsApart)
		if errs.Is(err, errs.Unauthorised) {
			v.reportViolation(tenantsApart, "%s refuses the key %s: %v", n.Name, key, err)
		}
	}
}

// checkTenantOfItem checks what a server is told of an item.
func (v *Workload) checkTenantOfItem(item *execution.ForwardedItem) {
	b := v.batchByID[item.Batch]
	if b == nil || b.Tenant == "" {
		return
	}
	v.countCheck(tenantsApart)
	if item.Tenant != b.Tenant || !item.IsAuthenticated {
		v.reportViolation(tenantsApart, "an item of %s, which is %s's, runs as %q's", b.ID, b.Tenant, item.Tenant)
	}
}

// runUnauthorisedCallers has callers try to use batches of others until Calling is false.
func (v *Workload) runUnauthorisedCallers() {
	var next func()
	next = func() {
		if !v.Calling {
			return
		}
		v.callUnauthorised()
		v.world.After(v.world.randomBetween(50, 300)*clock.Millisecond, next)
	}
	next()
}

// callUnauthorised calls for an accepted batch of a tenant with another tenant's key, an unknown one or none.
func (v *Workload) callUnauthorised() {
	w := v.world
	n := v.randomEdge()
	if n == nil || len(v.Batches) == 0 {
		return
	}
	b := v.Batches[w.Random.Intn(len(v.Batches))]
	if b.AcceptedAt == 0 || b.Tenant == "" {
		return
	}
	key := []string{"", "unknown", lastingKey(otherTenant(b.Tenant))}[w.Random.Intn(3)]
	calls := []any{
		requests.ForwardedBatchStatusRequest{APIKey: key, Batch: b.ID},
		requests.ForwardedBatchStatusRequest{APIKey: key, Batch: b.ID, Cancel: true, Deadline: w.Now + forwardedBatchTimeout},
		requests.ForwardedPageRequest{APIKey: key, Read: reader.Request{ID: "stranger", BatchID: b.ID, ByIndex: true}},
		requests.ItemBodyRequest{APIKey: key, Batch: b.ID, Item: "0"},
		requests.SubmitForwardedBatchRequest{APIKey: key, Route: routeIDOf(b.route()), ID: b.ID, Items: []shard.Item{unauthorisedItem}, Deadline: w.Now + forwardedBatchTimeout},
	}
	call := calls[w.Random.Intn(len(calls))]
	v.callEdge(n, call, func(response any, err error) {
		v.countCheck(tenantsApart)
		if err == nil {
			v.reportViolation(tenantsApart, "%s answers %T with the key %q for %s of %s: %+v", n.Name, call, key, b.ID, b.Tenant, response)
		}
	})
}

// unauthorisedItem would run under an ID that is taken.
var unauthorisedItem = shard.Item{ID: "0", Request: &shard.Request{Target: "/v1/item", Host: "stranger", Body: []byte("stranger#0"), Tokens: 1}}

// otherTenant is another tenant than one.
func otherTenant(tenant string) string {
	for _, other := range batchTenantNames {
		if other != tenant {
			return other
		}
	}
	return ""
}
