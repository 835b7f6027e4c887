package requests

import (
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/config"
)

// useRoutes puts a configuration of forwarded batch routes in force, each given as its name and host.
func (b *harness) useRoutes(version uint64, routes ...[2]string) {
	configuration := &config.Configuration{Version: version}
	for _, route := range routes {
		configuration.Routes = append(configuration.Routes, config.Route{Name: route[0], Kind: config.Batch, Forward: &config.Forward{Host: route[1], PathPrefix: "/"}})
	}
	configuration.Index()
	b.scheduler.SetConfiguration(configuration, b.now)
}

// A batch is submitted for the route of its host and path prefix, and bears its ID and its name at that time. A
// resubmission whose route this edge doesn't know bears those that are stored, so that the store recognises it.
func TestSubmittedBatchesBearTheirRoutesID(t *testing.T) {
	b := newHarness(t)
	b.useRoutes(4, [2]string{"r-1", "screening"}, [2]string{"r-2", "labels"})
	first, _ := b.submit(SubmitForwardedBatchRequest{Route: "labels/", ID: "mine", Items: forwardedItems("x")})
	accepted := first.Body.(batchstore.SubmitRequest).Batch
	if accepted.Route != "r-2" || accepted.RouteID != "labels/" {
		t.Fatalf("submitted %+v", accepted)
	}
	b.useRoutes(5, [2]string{"r-1", "labels"})
	second, _ := b.submit(SubmitForwardedBatchRequest{Route: "labels/", ID: "mine", Items: forwardedItems("x")})
	again := second.Body.(batchstore.SubmitRequest).Batch
	if again.Route != "r-1" || again.RouteID != "labels/" || !accepted.IsRepeatedBy(&again) {
		t.Errorf("submitted again %+v", again)
	}
	b.useRoutes(6, [2]string{"r-1", "screening"})
	query, _ := b.submit(ResubmitForwardedBatchRequest{ID: "mine", Items: forwardedItems("x")})
	b.machineCalls.ReplyReceived(query.Token, batchstore.BatchStatus{Batch: "mine", Route: "r-2", RouteID: "labels/"}, nil, b.now)
	third, _ := b.effects()
	if again = third.Body.(batchstore.SubmitRequest).Batch; again.Hash != accepted.Hash || again.RouteID != "labels/" || again.Route != "r-2" {
		t.Errorf("submitted without a route %+v", again)
	}
}
