package gateway

import (
	"net/http"
	"strconv"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/reader"
	"tuliprudder/internal/dataplane/requests"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/httpserver"
)

// SubmitBatchBody is a batch as handed in.
type SubmitBatchBody struct {
	Items []shard.Item `json:"items"`
}

// SubmitBatch takes a batch in: whole and on two disks, or not at all.
func (h *Handler) SubmitBatch(w http.ResponseWriter, r *http.Request) error {
	data, err := httpserver.ReadBody(r)
	if err != nil {
		return err
	}
	var body SubmitBatchBody
	if err := httpserver.Decode(data, &body); err != nil {
		return err
	}
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = NewID()
	}
	acknowledgement, err := callMachine[batchstore.SubmitResponse](h, r, requests.SubmitBatchRequest{APIKey: apiKey(r), Route: pathParameter(r, "route"), IdempotencyKey: key, Items: body.Items}, nil)
	if err != nil {
		if errs.Is(err, errs.OutcomeUnknown) {
			w.Header().Set("Idempotency-Key", key)
		}
		return err
	}
	status := http.StatusCreated
	if acknowledgement.Repeated {
		status = http.StatusOK
	}
	return httpserver.WriteJSON(w, status, map[string]any{"bundle": acknowledgement.Batch, "items": acknowledgement.Items, "idempotency_key": key,
		"repeated": acknowledgement.Repeated, "keeper": acknowledgement.Store, "results": "/v1/bundles/" + acknowledgement.Batch + "/results"})
}

// BatchStatus tells how a batch stands.
func (h *Handler) BatchStatus(w http.ResponseWriter, r *http.Request) error {
	return h.writeBatchStatus(w, r, false)
}

// CancelBatch ends a batch: durable before it is answered.
func (h *Handler) CancelBatch(w http.ResponseWriter, r *http.Request) error {
	return h.writeBatchStatus(w, r, true)
}

func (h *Handler) writeBatchStatus(w http.ResponseWriter, r *http.Request, cancel bool) error {
	status, err := callMachine[batchstore.BatchStatus](h, r, requests.BatchStatusRequest{APIKey: apiKey(r), Batch: pathParameter(r, "bundle"), Cancel: cancel}, nil)
	if err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, map[string]any{"bundle": status.Batch, "route": status.Route, "state": status.State,
		"items": status.Items, "listed": status.Finished, "enrolled_us": status.SubmittedAt,
		"kept": map[string]any{"keeper": status.Store, "writer": status.Writer, "slot": status.Shard, "epoch": status.Epoch, "replicas": status.Replicas}})
}

// pageParameters reads the paging parameters.
func (h *Handler) pageParameters(r *http.Request) (token string, limit int, wait clock.Micros, err error) {
	query := r.URL.Query()
	number := func(name string, defaultValue, upperBound int64) int64 {
		text := query.Get(name)
		if text == "" {
			return defaultValue
		}
		value, parseErr := strconv.ParseInt(text, 10, 64)
		if parseErr != nil || value < 0 || value > upperBound {
			err = errs.New(errs.BadInput, "give a whole number within the bound", "%s=%q is not within 0 to %d", name, text, upperBound)
		}
		return value
	}
	for name := range query {
		if name != "after" && name != "limit" && name != "wait_us" {
			return "", 0, 0, errs.New(errs.BadInput, "use after, limit and wait_us", "no such parameter: %s", name)
		}
	}
	limit = int(number("limit", 100, 1000))
	wait = number("wait_us", 0, int64(h.Settings.MaxLongPoll))
	if limit == 0 {
		limit = 100
	}
	return query.Get("after"), limit, wait, err
}

// BatchResults reads one batch's list.
func (h *Handler) BatchResults(w http.ResponseWriter, r *http.Request) error {
	return h.writePage(w, r, pathParameter(r, "bundle"))
}

// Feed reads all of the caller's batches as one list.
func (h *Handler) Feed(w http.ResponseWriter, r *http.Request) error { return h.writePage(w, r, "") }

// writePage reads a page; an empty one waits for rows, up to the wait the caller gave.
func (h *Handler) writePage(w http.ResponseWriter, r *http.Request, batch string) error {
	token, limit, wait, err := h.pageParameters(r)
	if err != nil {
		return err
	}
	read := reader.Request{ID: NewID(), BatchID: batch, Token: token, Limit: limit, MaxWait: wait}
	page, err := callMachine[reader.Page](h, r, requests.PageRequest{APIKey: apiKey(r), Read: read}, reader.CallerLeft{RequestID: read.ID})
	if err != nil {
		return err
	}
	results := page.Results
	if results == nil {
		results = []shard.Result{}
	}
	response := map[string]any{"results": results, "next": page.NextToken, "more": page.HasMore}
	if page.State != "" {
		response["state"], response["items"] = page.State, page.ItemCount
	}
	return httpserver.WriteJSON(w, http.StatusOK, response)
}
