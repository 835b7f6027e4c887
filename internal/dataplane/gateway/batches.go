package gateway

import (
	"net/http"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/requests"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/httpserver"
)

// SubmitBatchBody is the JSON body of a batch submission.
type SubmitBatchBody struct {
	Items []shard.Item `json:"items"`
}

// The JSON keys of the responses below are part of the public API (DESIGN §7). The fields are
// declared in the alphabetical order of their keys, which is the order on the wire.

// submitBatchResponse acknowledges a submitted batch.
type submitBatchResponse struct {
	Batch          string `json:"bundle"`
	IdempotencyKey string `json:"idempotency_key"`
	Items          int    `json:"items"`
	Store          string `json:"keeper"`
	Repeated       bool   `json:"repeated"`
	ResultsPath    string `json:"results"`
}

// batchStatusResponse is the state of a batch.
type batchStatusResponse struct {
	Batch       string       `json:"bundle"`
	SubmittedAt clock.Micros `json:"enrolled_us"`
	Items       int          `json:"items"`
	Location    location     `json:"kept"`
	Finished    int          `json:"listed"` // items that have a result
	Route       string       `json:"route"`
	State       string       `json:"state"`
}

// location is where a batch is stored.
type location struct {
	Epoch    uint64   `json:"epoch"`
	Store    string   `json:"keeper"`
	Replicas []string `json:"replicas"`
	Shard    int      `json:"slot"`
	Writer   int      `json:"writer"`
}

// SubmitBatch submits a batch. The batch is acknowledged once all of it is durable on two disks. On
// an error none of its items run, unless the error is errs.OutcomeUnknown: that response carries the
// idempotency key with which the caller can submit the batch again.
func (h *Handler) SubmitBatch(w http.ResponseWriter, r *http.Request) error {
	data, err := httpserver.ReadBody(r)
	if err != nil {
		return err
	}
	var body SubmitBatchBody
	if err := httpserver.Decode(data, &body); err != nil {
		return err
	}
	key := r.Header.Get(headerIdempotencyKey)
	if key == "" {
		key = NewID()
	}
	request := requests.SubmitBatchRequest{
		APIKey:         apiKey(r),
		Route:          pathParameter(r, parameterRoute),
		IdempotencyKey: key,
		Items:          body.Items,
	}
	acknowledgement, err := callMachine[batchstore.SubmitResponse](r.Context(), h.CallMachine, request, nil)
	if err != nil {
		if errs.Is(err, errs.OutcomeUnknown) {
			w.Header().Set(headerIdempotencyKey, key)
		}
		return err
	}
	status := http.StatusCreated
	if acknowledgement.Repeated {
		status = http.StatusOK
	}
	return httpserver.WriteJSON(w, status, submitBatchResponse{
		Batch:          acknowledgement.Batch,
		IdempotencyKey: key,
		Items:          acknowledgement.Items,
		Store:          acknowledgement.Store,
		Repeated:       acknowledgement.Repeated,
		ResultsPath:    "/v1/bundles/" + acknowledgement.Batch + "/results",
	})
}

// BatchStatus responds with the state of a batch.
func (h *Handler) BatchStatus(w http.ResponseWriter, r *http.Request) error {
	return h.writeBatchStatus(w, r, false)
}

// CancelBatch cancels a batch and responds with its state, once the cancellation is durable.
func (h *Handler) CancelBatch(w http.ResponseWriter, r *http.Request) error {
	return h.writeBatchStatus(w, r, true)
}

func (h *Handler) writeBatchStatus(w http.ResponseWriter, r *http.Request, cancel bool) error {
	request := requests.BatchStatusRequest{
		APIKey: apiKey(r),
		Batch:  pathParameter(r, parameterBatch),
		Cancel: cancel,
	}
	status, err := callMachine[batchstore.BatchStatus](r.Context(), h.CallMachine, request, nil)
	if err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, batchStatusResponse{
		Batch:       status.Batch,
		SubmittedAt: status.SubmittedAt,
		Items:       status.Items,
		Location: location{
			Epoch:    status.Epoch,
			Store:    status.Store,
			Replicas: status.Replicas,
			Shard:    status.Shard,
			Writer:   status.Writer,
		},
		Finished: status.Finished,
		Route:    status.Route,
		State:    status.State,
	})
}
