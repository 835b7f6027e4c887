package gateway

import (
	"net/http"
	"net/url"
	"strconv"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/reader"
	"tuliprudder/internal/dataplane/requests"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/httpserver"
)

// The query parameters of a page of results.
const (
	parameterAfter  = "after"   // NextToken of the previous page
	parameterLimit  = "limit"   // maximum number of results on the page
	parameterWaitUS = "wait_us" // how long an empty page waits for results, in microseconds
)

// Limits of the number of results on a page.
const (
	defaultPageLimit = 100
	maxPageLimit     = 1000
)

// pageResponse is a page of results. The JSON keys are part of the public API, and the fields are
// declared in their alphabetical order. State and Items are set only for a page of one batch.
type pageResponse struct {
	Items     *int           `json:"items,omitempty"` // number of items of the batch
	HasMore   bool           `json:"more"`
	NextToken string         `json:"next"`
	Results   []shard.Result `json:"results"`
	State     string         `json:"state,omitempty"` // of the batch
}

// BatchResults responds with a page of the results of one batch.
func (h *Handler) BatchResults(w http.ResponseWriter, r *http.Request) error {
	return h.writePage(w, r, pathParameter(r, parameterBatch))
}

// Feed responds with a page of the results of all the caller's batches, as one list.
func (h *Handler) Feed(w http.ResponseWriter, r *http.Request) error { return h.writePage(w, r, "") }

// writePage writes a page of the results of one batch, or of the feed if batch is "".
func (h *Handler) writePage(w http.ResponseWriter, r *http.Request, batch string) error {
	read, err := parsePageRequest(r.URL.Query(), h.Settings.MaxLongPoll)
	if err != nil {
		return err
	}
	read.ID = NewID()
	read.BatchID = batch
	request := requests.PageRequest{APIKey: apiKey(r), Read: read}
	page, err := callMachine[reader.Page](r.Context(), h.CallMachine, request, reader.CallerDisconnected{RequestID: read.ID})
	if err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, newPageResponse(page))
}

func newPageResponse(page reader.Page) pageResponse {
	response := pageResponse{HasMore: page.HasMore, NextToken: page.NextToken, Results: page.Results}
	if response.Results == nil {
		response.Results = []shard.Result{}
	}
	if page.State != "" {
		response.State = page.State
		response.Items = &page.ItemCount
	}
	return response
}

// parsePageRequest parses the query parameters of a page. It returns errs.BadInput if a parameter is
// unknown or out of bounds.
func parsePageRequest(query url.Values, maxWait clock.Micros) (reader.Request, error) {
	for name := range query {
		if name != parameterAfter && name != parameterLimit && name != parameterWaitUS {
			return reader.Request{}, errs.New(errs.BadInput, "use only the parameters after, limit and wait_us", "unknown query parameter: %s", name)
		}
	}
	limit, err := parseBoundedInt(query, parameterLimit, defaultPageLimit, maxPageLimit)
	if err != nil {
		return reader.Request{}, err
	}
	wait, err := parseBoundedInt(query, parameterWaitUS, 0, maxWait)
	if err != nil {
		return reader.Request{}, err
	}
	if limit == 0 {
		limit = defaultPageLimit
	}
	return reader.Request{Token: query.Get(parameterAfter), Limit: int(limit), MaxWait: wait}, nil
}

// parseBoundedInt parses a query parameter that is a whole number from 0 to upperBound.
func parseBoundedInt(query url.Values, name string, defaultValue, upperBound int64) (int64, error) {
	text := query.Get(name)
	if text == "" {
		return defaultValue, nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < 0 || value > upperBound {
		return 0, errs.New(errs.BadInput, "give a whole number within the bounds", "%s=%q is not a whole number from 0 to %d", name, text, upperBound)
	}
	return value, nil
}
