package quota

import (
	"fmt"
	"testing"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
)

// tenantAccounts names the accounts of some tenants on the route "r".
func tenantAccounts(count int) []shard.AccountName {
	var out []shard.AccountName
	for i := range count {
		out = append(out, shard.AccountName{Tenant: fmt.Sprint("tenant-", i), Route: "r"})
	}
	return out
}

// submitFor has a batch of an account submitted, and returns the outcome.
func (f *fleet) submitFor(name shard.AccountName, shardIndex, weight int) (outcome error) {
	f.submit(shardIndex, weight, quotaOf(name), func(err error) { outcome = err })
	f.deliver()
	return outcome
}

// countRequests counts the requests that daemons send from now on, by their type.
func (f *fleet) countRequests() map[string]int {
	counts := map[string]int{}
	f.onRequest = func(sent sentRequest) { counts[fmt.Sprintf("%T", sent.Body)]++ }
	return counts
}

// One tenant's batches refused another's on the same route while both shared its quota. (Issue 40.)
func TestTenantsOnRouteHaveSeparateQuotas(t *testing.T) {
	f := newFleet(1, 3, 6)
	tenants := tenantAccounts(2)
	for _, tenant := range tenants {
		if err := f.submitFor(tenant, 1, testQuota-10); err != nil {
			t.Fatalf("%s: %v", tenant, err)
		}
	}
	for _, tenant := range tenants {
		if err := f.submitFor(tenant, 2, 11); err == nil {
			t.Errorf("%s is admitted more than its quota", tenant)
		}
		if err := f.submitFor(tenant, 2, 10); err != nil {
			t.Errorf("%s: %v", tenant, err)
		}
	}
}

// Accounts that nobody uses cost no messages, however many there are.
func TestIdleAccountsSendNoMessages(t *testing.T) {
	f := newFleet(3, 9, 64)
	for i, tenant := range tenantAccounts(70) {
		if err := f.submitFor(tenant, i%64, 1); err != nil {
			t.Fatal(err)
		}
	}
	counts := f.countRequests()
	for range 200 {
		f.now += renewalInterval
		for _, id := range f.ids {
			f.daemons[id].Tick(f.now)
		}
		f.deliver()
	}
	if len(counts) > 0 {
		t.Errorf("%v", counts)
	}
}

// A store asked all others before each batch that came more than half a second after the one before, as
// it had forgotten its account.
func TestBatchSendsOneRequestWhileAccountIsOpen(t *testing.T) {
	f := newFleet(1, 9, 64)
	f.now = 3600 * clock.Second
	tenant := tenantAccounts(1)[0]
	for shardIndex := range 9 {
		if err := f.submitFor(tenant, shardIndex, 1); err != nil {
			t.Fatal(err)
		}
	}
	counts := f.countRequests()
	const batches = 40
	for i := range batches {
		f.now += 2 * clock.Second
		for _, id := range f.ids {
			f.daemons[id].Tick(f.now)
		}
		if err := f.submitFor(tenant, i%9, 1); err != nil {
			t.Fatal(err)
		}
	}
	if counts["quota.LeaseRequest"] > batches || counts["quota.UsageRequest"] > 0 {
		t.Errorf("%v for %d batches", counts, batches)
	}
}

// An account was opened anew, and every store asked, with the first batch after each change of
// configuration: operators' numbers leave some out.
func TestAccountStaysOpenAcrossConfigurations(t *testing.T) {
	f := newFleet(1, 9, 64)
	tenant := tenantAccounts(1)[0]
	submit := func(version, limitedSince uint64) {
		quota := quotaOf(tenant)
		quota.ConfigurationVersion, quota.LimitedSince = version, limitedSince
		f.submit(int(version)%9, 1, quota, func(err error) {
			if err != nil {
				t.Errorf("configuration %d: %v", version, err)
			}
		})
		f.deliver()
	}
	for version := uint64(3); version < 12; version++ {
		submit(version, 3)
	}
	counts := f.countRequests()
	for version := uint64(20); version <= 100; version += 5 {
		submit(version, 3)
	}
	if counts["quota.UsageRequest"] > 0 {
		t.Errorf("%v", counts)
	}
	submit(110, 105) // there was none under 104
	if counts["quota.UsageRequest"] == 0 {
		t.Error("nobody was asked though there was no limit meanwhile")
	}
}

// A store that has to report on many accounts sends each owner one message, and opens no account.
func TestPendingReportsAreGroupedByOwner(t *testing.T) {
	const stores, shards = 9, 64
	f := newFleet(1, stores, shards)
	var quotas []AccountQuota
	for _, tenant := range tenantAccounts(70) {
		for shardIndex := range shards {
			f.shards[shardIndex].workOf(tenant).pending = 1
		}
		quotas = append(quotas, quotaOf(tenant))
	}
	counts := f.countRequests()
	reporting := f.daemons["store-1"]
	reporting.ReportPending(quotas, f.now)
	f.deliver()
	if counts["quota.PendingReports"] > stores-1 || counts["quota.LeaseRequest"]+counts["quota.UsageRequest"] > 0 {
		t.Errorf("%v", counts)
	}
	if len(reporting.unacknowledged) > 0 {
		t.Errorf("%d accounts are not acknowledged", len(reporting.unacknowledged))
	}
	// What was reported counts once the account is opened.
	if err := f.submitFor(quotas[0].Account, 0, testQuota-shards+1); err == nil {
		t.Error("more than the quota is admitted")
	}
	if err := f.submitFor(quotas[0].Account, 0, testQuota-shards); err != nil {
		t.Error(err)
	}
}

// The reports of an account are in one message, and no message has more than its bound.
func TestPendingReportMessageSizeIsBounded(t *testing.T) {
	var all []pendingReports
	for range 20 {
		all = append(all, pendingReports{requests: make([]LeaseRequest, 60)})
	}
	messages := splitReports(all)
	count := 0
	for _, message := range messages {
		size := 0
		for _, reports := range message {
			size += len(reports.requests)
			count++
		}
		if size > maxReportsPerMessage {
			t.Errorf("a message has %d reports", size)
		}
	}
	if len(messages) != 3 || count != len(all) {
		t.Errorf("%d accounts in %d messages", count, len(messages))
	}
}
