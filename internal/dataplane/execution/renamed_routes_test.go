package execution

import (
	"fmt"
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/modelclient"
)

// setPlaces applies a configuration of forwarded batch routes that are named by their position: r-1, r-2 and so
// on. Each has the host of its place, a path prefix in it, and the server of that name. Items on "labels" get one
// attempt, others three.
func (b *harness) setPlaces(version uint64, places ...string) {
	configuration := &config.Configuration{Version: version, ScorerWeights: map[string]float64{"spread": 1}}
	attempts := map[string]int64{"labels": 1, "screening": 3, "alerts": 3}
	for i, place := range places {
		configuration.Pools = append(configuration.Pools, config.Pool{Name: place, Labels: config.Labels{"u": place}, Servers: config.Selector{"place": {place}}})
		configuration.Routes = append(configuration.Routes, config.Route{
			Name: fmt.Sprint("r-", i+1), Kind: config.Batch, Pools: config.Selector{"u": {place}},
			Forward: &config.Forward{Host: place, PathPrefix: "/v1/", MaxAttempts: attempts[place], ItemRetention: 24 * hour},
		})
		b.scheduler.SetServer(endpoints.Server{Name: place, Address: place + ":1", Slots: 4, Labels: map[string]string{"place": place}})
	}
	configuration.Index()
	b.scheduler.SetConfiguration(configuration, b.now)
}

// itemOf returns an item that was accepted under version 2, on the route of a place that had a name then.
func itemOf(place, name string) batchstore.RunItem {
	return batchstore.RunItem{Batch: "b", ItemID: "i", Route: name, SubmittedAt: hour, ConfigurationVersion: 2,
		Request: &shard.Request{Target: "/v1/x?y=1", Host: place + ":8080", Tokens: 1}}
}

// screeningIDs are the IDs that a batch on the route of the place screening may bear: none if an earlier release
// accepted it, which stored the name only.
var screeningIDs = []config.RouteID{"", config.ForwardedRouteID("screening", "/v1/")}

// Guards against items that run at another route's servers once the names of the routes have moved, be it at their
// first attempt or at a further one.
func TestItemsKeepTheirRouteWhenNamesMove(t *testing.T) {
	for name, after := range map[string][]string{
		"a route is added in front": {"alerts", "screening", "labels"},
		"the routes change places":  {"labels", "screening"},
	} {
		for _, id := range screeningIDs {
			t.Run(fmt.Sprintf("%s, ID %q", name, id), func(t *testing.T) {
				b := newHarness(t)
				b.setPlaces(2, "screening", "labels")
				item := itemOf("screening", "r-1")
				item.RouteID = id
				b.Submit(item, b.now)
				b.setPlaces(3, after...)
				for range 2 {
					attempt := b.finishNext(AttemptResult{Outcome: modelclient.Interrupted, Reason: "cut"})
					if attempt.ForwardedItem.Instance != "screening" {
						t.Errorf("the item runs at %s", attempt.ForwardedItem.Instance)
					}
				}
				b.expectNoResult()
			})
		}
	}
}

// Guards against waiting items that are listed as failed though their route goes on, since no route has its former
// name any more: the routine search for items that can't run.
func TestWaitingItemsDoNotFailWhenNamesMove(t *testing.T) {
	for _, id := range screeningIDs {
		for state, prepare := range map[string]func(*harness){
			"queued":   func(*harness) {},
			"deferred": func(b *harness) { b.scheduler.Close(b.now) },
		} {
			b := newHarness(t)
			b.setPlaces(2, "labels", "screening")
			item := itemOf("screening", "r-2")
			item.RouteID = id
			b.Submit(item, b.now)
			prepare(b)
			b.setPlaces(3, "screening")
			b.now += 2 * clock.Second
			b.Tick(b.now)
			if len(b.results) > 0 || b.Pending() != 1 {
				t.Errorf("%s, ID %q: results %+v, %d pending", state, id, b.results, b.Pending())
			}
		}
	}
}

// Items of a route that is gone fail, even if another route has its name by now.
func TestItemsOfARemovedRouteFailThoughItsNameIsUsed(t *testing.T) {
	for _, id := range screeningIDs {
		b := newHarness(t)
		b.setPlaces(2, "screening", "labels")
		item := itemOf("screening", "r-1")
		item.RouteID = id
		b.Submit(item, b.now)
		b.setPlaces(3, "labels")
		b.now += 2 * clock.Second
		b.Tick(b.now)
		b.expectOnlyResult(shard.StatusFailed, outputRouteRemoved)
	}
}

// The limit of an item's attempts is that of its own route, not of the one that has its route's name.
func TestAttemptsAreLimitedByTheItemsOwnRoute(t *testing.T) {
	b := newHarness(t)
	b.setPlaces(2, "screening")
	b.Submit(itemOf("screening", "r-1"), b.now)
	b.finishNext(AttemptResult{ServerFailed: true, Reason: "500"})
	b.setPlaces(3, "labels", "screening")
	b.scheduler.SetServer(endpoints.Server{Name: "screening-2", Address: "screening-2:1", Slots: 4, Labels: map[string]string{"place": "screening"}})
	b.finishNext(AttemptResult{ServerFailed: true, Reason: "500"})
	b.expectNoResult()
	b.scheduler.SetServer(endpoints.Server{Name: "screening-3", Address: "screening-3:1", Slots: 4, Labels: map[string]string{"place": "screening"}})
	b.finishNext(AttemptResult{ServerFailed: true, Reason: "500"})
	b.expectOnlyResult(shard.StatusFailed, outputAttemptsFailed+"500")
}
