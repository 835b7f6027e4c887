package quota

import (
	"fmt"
	"testing"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
)

// tenantAccounts returns the accounts of the given number of tenants on the route "r".
func tenantAccounts(count int) []shard.AccountName {
	var out []shard.AccountName
	for i := range count {
		out = append(out, shard.AccountName{Tenant: fmt.Sprint("tenant-", i), Route: "r"})
	}
	return out
}

// submitFor submits a batch of an account, and returns the outcome.
func (f *fleet) submitFor(name shard.AccountName, shardIndex, weight int) (outcome error) {
	f.submit(shardIndex, weight, quotaOf(name), func(err error) { outcome = err })
	f.deliver()
	return outcome
}

// countRequests counts the requests that daemons send from now on, by type.
func (f *fleet) countRequests() map[string]int {
	counts := map[string]int{}
	f.onRequest = func(sent sentRequest) { counts[fmt.Sprintf("%T", sent.Body)]++ }
	return counts
}

// Tenants on the same route have separate quotas. Guards against a tenant's batches being rejected
// because of another tenant's batches, as happened while both shared a quota (issue 40).
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
			t.Errorf("%s was admitted more than its quota", tenant)
		}
		if err := f.submitFor(tenant, 2, 10); err != nil {
			t.Errorf("%s: %v", tenant, err)
		}
	}
}

// Accounts without work cause no messages, however many there are.
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

// While its account is open, a batch costs one lease request and no usage request. Guards against a
// store that dropped its account within half a second after a batch, and then queried all other
// stores before the next.
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
		t.Errorf("requests sent: %v, for %d batches", counts, batches)
	}
}

// An account stays open across configurations that keep a limit, also if operators' version numbers
// have gaps. Guards against an account that was reopened, with a query of every store, at the first
// batch after each change of the configuration.
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
	submit(110, 105) // configuration 104 set no limit
	if counts["quota.UsageRequest"] == 0 {
		t.Error("no usage request was sent though there was no limit meanwhile")
	}
}

// A store that has to report on many accounts sends one message to each owner, and the reports open
// no account.
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
		t.Errorf("the reports on %d accounts were not acknowledged", len(reporting.unacknowledged))
	}
	// The reported work counts once the account is opened.
	if err := f.submitFor(quotas[0].Account, 0, testQuota-shards+1); err == nil {
		t.Error("more than the quota was admitted")
	}
	if err := f.submitFor(quotas[0].Account, 0, testQuota-shards); err != nil {
		t.Error(err)
	}
}

// All reports on an account are in one message, and no message has more than maxReportsPerMessage
// reports.
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
