package batchstore

import (
	"testing"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/config"
	"tuliprudder/internal/errs"
)

// batchOn returns the submission of a batch of two items whose route has a name and an ID ("" for an edge of a
// release that sends the name only), and whose requests go to a host.
func batchOn(name string, id config.RouteID, host string) SubmitRequest {
	request := forwardedBatch("one", 2)
	for i := range request.Batch.Items {
		request.Batch.Items[i].Request.Host = host
	}
	request.Batch.Route = name
	request.Batch.Tenant = name
	request.Batch.RouteID = id
	request.Batch.Hash = shard.HashItems(name, request.Batch.Items)
	return request
}

// Guards against an accepted batch that comes again, unchanged, and is rejected as another one: its route has another
// name by now, or a route with a longer or shorter path prefix has come or gone. The same content on another host,
// or beside the path, is another batch; so is other content.
func TestABatchIsAcknowledgedAgainWhenNamesMove(t *testing.T) {
	for name, test := range map[string]struct {
		accepted, again SubmitRequest
		isRepeated      bool
	}{
		"unchanged":                        {batchOn("r-2", "h/v1/", "h"), batchOn("r-2", "h/v1/", "h"), true},
		"another name":                     {batchOn("r-2", "h/v1/", "h"), batchOn("r-1", "h/v1/", "h"), true},
		"a longer prefix":                  {batchOn("r-2", "h/v1/", "h"), batchOn("r-1", "h/v1/x/", "h"), true},
		"a shorter prefix":                 {batchOn("r-2", "h/v1/x/", "h"), batchOn("r-1", "h/v1/", "h"), true},
		"of an earlier release":            {batchOn("r-2", "", "h"), batchOn("r-1", "h/v1/", "h"), true},
		"by an edge of an earlier one":     {batchOn("r-2", "h/v1/", "h"), batchOn("r-1", "", "h"), true},
		"beside the path":                  {batchOn("r-2", "h/v1/", "h"), batchOn("r-1", "h/v2/", "h"), false},
		"beside the path, the same name":   {batchOn("r-2", "h/v1/", "h"), batchOn("r-2", "h/v2/", "h"), false},
		"another host":                     {batchOn("r-2", "h/v1/", "h"), batchOn("r-2", "other/v1/", "other"), false},
		"another host, an earlier release": {batchOn("r-2", "", "h"), batchOn("r-2", "other/v1/", "other"), false},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			c.mustCall(test.accepted)
			if !test.isRepeated {
				c.mustReject(errs.Conflict, test.again)
				return
			}
			if again := c.mustCall(test.again).(SubmitResponse); !again.Repeated {
				t.Errorf("replied %+v", again)
			}
			test.again.Batch.Items[1].Request.Body = []byte("other")
			test.again.Batch.Hash = shard.HashItems(test.again.Batch.Route, test.again.Batch.Items)
			c.mustReject(errs.Conflict, test.again)
		})
	}
}

// Guards against an accepted batch of an earlier release that is not recognised once it is finished and archived: its
// items are gone then, and only its hash is left, with the name that its route had.
func TestAnArchivedBatchOfAnEarlierReleaseIsRecognised(t *testing.T) {
	accepted, again := batchOn("r-2", "", "h").Batch, batchOn("r-1", "h/v1/", "h").Batch
	accepted.Items = nil
	if !accepted.IsRepeatedBy(&again) {
		t.Error("the batch is not recognised")
	}
	again.Items[0].ID = "other"
	if accepted.IsRepeatedBy(&again) {
		t.Error("other content is taken for the batch")
	}
}
