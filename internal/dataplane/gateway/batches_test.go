package gateway

import (
	"encoding/json"
	"testing"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/dataplane/reader"
	"tuliprudder/internal/errs"
)

// The JSON of the responses keeps its keys and their order, which callers rely on.
func TestResponseJSON(t *testing.T) {
	for name, testCase := range map[string]struct {
		body any
		want string
	}{
		"acknowledgement": {
			submitBatchResponse{Batch: "b", IdempotencyKey: "k", Items: 3, Store: "s", ResultsPath: "/v1/bundles/b/results"},
			`{"bundle":"b","idempotency_key":"k","items":3,"keeper":"s","repeated":false,"results":"/v1/bundles/b/results"}`,
		},
		"status": {
			batchStatusResponse{Batch: "b", SubmittedAt: 5, Items: 3, Finished: 1, Route: "r", State: "open", Location: location{Epoch: 7, Store: "s", Shard: 2, Writer: 4}},
			`{"bundle":"b","enrolled_us":5,"items":3,"kept":{"epoch":7,"keeper":"s","replicas":null,"slot":2,"writer":4},"listed":1,"route":"r","state":"open"}`,
		},
		"page of a batch": {
			newPageResponse(reader.Page{State: "open", NextToken: "t", HasMore: true, Results: []shard.Result{{Batch: "b", Status: "ok"}}}),
			`{"items":0,"more":true,"next":"t","results":[{"writer":0,"position":0,"bundle":"b","item":0,"item_id":"","status":"ok","output":""}],"state":"open"}`,
		},
		"page of the feed": {newPageResponse(reader.Page{}), `{"more":false,"next":"","results":[]}`},
		"chunk":            {chunkEvent{Text: "x"}, `{"text":"x"}`},
		"end of a stream":  {endEvent{Bytes: 1, RequestID: "o", ChunkCount: 2, Server: "s"}, `{"bytes":1,"order":"o","pieces":2,"server":"s"}`},
		"error in a stream": {
			errorEvent{Error: &errs.Error{Kind: errs.Busy, Message: "m", Remedy: "r"}},
			`{"error":{"kind":"busy","message":"m","remedy":"r"}}`,
		},
	} {
		if got, err := json.Marshal(testCase.body); err != nil || string(got) != testCase.want {
			t.Errorf("%s: got %s (%v)\nwant %s", name, got, err, testCase.want)
		}
	}
}
