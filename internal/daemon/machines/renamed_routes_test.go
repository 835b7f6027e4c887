package machines

import (
	"fmt"
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
)

// limitedPlaces is a configuration of forwarded batch routes that are named by their position. Each has its place as
// its host, and its limit of queued tokens.
func limitedPlaces(version uint64, places []string, limits map[string]int64) *config.Configuration {
	configuration := &config.Configuration{Version: version}
	for i, place := range places {
		configuration.Routes = append(configuration.Routes, config.Route{Name: fmt.Sprint("r-", i+1), Kind: config.Batch,
			Forward: &config.Forward{Host: place, PathPrefix: "/", MaxQueuedTokens: limits[place]}})
	}
	configuration.Index()
	return configuration
}

// Guards against an account of quota that a rename splits, so that the accepted work may reach twice the limit: the
// account and its limit stay those of the host and path prefix. So they do for batches of an earlier release, which
// bear their route's name only.
func TestAccountsOfQuotaStayWhenNamesMove(t *testing.T) {
	limits := map[string]int64{"screening": 100, "labels": 50}
	before, after := limitedPlaces(2, []string{"screening", "labels"}, limits), limitedPlaces(3, []string{"labels", "screening"}, limits)
	want := shard.AccountName{Tenant: "t", Route: "screening/"}
	for _, id := range []config.RouteID{"", "screening/"} {
		pair := newReplicaPair()
		s := newTestStoreOf(pair.stores["store"], config.Forward{})
		s.Scheduler.SetConfiguration(before, pair.now)
		request := &shard.Request{Target: "/x", Host: "screening:80", Tokens: 70}
		batch := shard.Batch{ID: "b", Tenant: "t", Key: "b", Route: "r-1", RouteID: id, ConfigurationVersion: 2, Items: []shard.Item{{Request: request}}}
		pair.do("store", batchstore.Call{Number: 1, Body: batchstore.SubmitRequest{Timeout: clock.Second, Batch: batch}})
		for _, configuration := range []*config.Configuration{before, after} {
			s.Scheduler.SetConfiguration(configuration, pair.now)
			if got := s.Batches.PendingWeights(pair.now); len(got) != 1 || got[want] != 70 {
				t.Errorf("ID %q, version %d: pending %v", id, configuration.Version, got)
			}
			if got := s.Batches.PendingWeight(0, want); got != 70 {
				t.Errorf("ID %q, version %d: %d tokens pending", id, configuration.Version, got)
			}
			if got := quotaLimit(configuration, accountOf(configuration, &batch)); got != 100 {
				t.Errorf("ID %q, version %d: the limit is %d", id, configuration.Version, got)
			}
		}
	}
	var history limitHistory
	history.add(before, 0)
	history.add(after, 2)
	if since := history.limitedSince(want); since != 2 {
		t.Errorf("limited since version %d, not 2", since)
	}
}
