package machines

import (
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/quota"
	"tuliprudder/internal/machine"
)

// limitedConfiguration makes a configuration with a limit for the route "r", if ofRoute is above 0, and for
// the tenant "t", if the class "c" is given.
func limitedConfiguration(version uint64, ofRoute int64, classes ...config.PriorityClass) *config.Configuration {
	configuration := &config.Configuration{Version: version, Classes: classes, Tenants: []config.Tenant{{Name: "t", Class: "c"}},
		Routes: []config.Route{{Name: "r", Kind: config.Batch, Forward: &config.Forward{MaxQueuedTokens: ofRoute}}}}
	configuration.Index()
	return configuration
}

// An account has had a limit since the first of the latest consecutive configurations that all set one.
func TestLimitHistory(t *testing.T) {
	class := config.PriorityClass{Name: "c", Quota: 5}
	var history limitHistory
	for _, step := range []struct {
		configuration *config.Configuration
		base          uint64
		route, tenant uint64
	}{
		{limitedConfiguration(3, 10, class), 0, 3, 3},
		{limitedConfiguration(7, 20, class), 3, 3, 3},
		{limitedConfiguration(9, 0, class), 7, 0, 3},
		{limitedConfiguration(10, 10), 9, 10, 0},
		{limitedConfiguration(14, 10, class), 10, 10, 14},
		{limitedConfiguration(20, 10, class), 18, 20, 20}, // a version was missed
		{limitedConfiguration(21, 10, class), 0, 21, 21},  // written by an earlier release, without a base
	} {
		history.add(step.configuration, step.base)
		for account, want := range map[shard.AccountName]uint64{
			{Route: "r"}:              step.route,
			{Tenant: "x", Route: "r"}: step.route,
			{Tenant: "t"}:             step.tenant,
			{Route: "other"}:          0,
		} {
			if got := history.limitedSince(account); got != want {
				t.Errorf("version %d: %s since %d, not %d", step.configuration.Version, account, got, want)
			}
		}
	}
}

// A store's lease request tells the owner since which version the account has had a limit.
func TestALeaseRequestCarriesLimitedSince(t *testing.T) {
	pair := newReplicaPair()
	tenant := pair.tenantOwnedElsewhere(t)
	s := newTestStoreOf(pair.stores["store"], config.Forward{})
	receiveLimitOn(s, 4, 1, 100, pair.now)
	receiveLimitOn(s, 9, 4, 200, pair.now)
	s.FreshnessAdvanced(pair.now, pair.now)
	batch := shard.Batch{ID: "b", Key: "b", Tenant: tenant, Route: "r", Items: []shard.Item{forwardedItem(7)}}
	var sent []quota.LeaseRequest
	for _, effect := range s.Call(1, batchstore.SubmitRequest{Batch: batch, Timeout: clock.Second}, pair.now) {
		if request, ok := effect.(machine.Request); ok {
			sent = append(sent, request.Body.(quota.LeaseRequest))
		}
	}
	if len(sent) != 1 || sent[0].LimitedSince != 4 || sent[0].ConfigurationVersion != 9 || sent[0].Quota != 200 {
		t.Errorf("requested %+v", sent)
	}
}
