package verify

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
)

// Outcome is the result of a request as its caller sees it.
type Outcome string

// Outcomes of a request. Unknown means that the request may or may not have been executed.
const (
	OK       Outcome = "ok"
	Rejected Outcome = "turned away"
	Unknown  Outcome = "unknown"
)

// apiCall is an HTTP request to the API of an edge. The body is encoded as JSON; nil means none.
type apiCall struct {
	method, path   string
	apiKey         string
	idempotencyKey string // "" means none
	body           any
}

// callResult is the response to an apiCall.
type callResult struct {
	status    int
	errorKind string // "" means no error
	body      []byte
}

func (c apiCall) newRequest(ctx context.Context, edge string) (*http.Request, error) {
	var reader io.Reader
	if c.body != nil {
		data, err := json.Marshal(c.body)
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+edge+c.path, reader)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.apiKey)
	if c.idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", c.idempotencyKey)
	}
	return request, nil
}

// call sends the request to one edge. If it returns an error, the outcome is unknown.
func (t *Workload) call(ctx context.Context, edge string, c apiCall) (callResult, error) {
	request, err := c.newRequest(ctx, edge)
	if err != nil {
		return callResult{}, err
	}
	response, err := t.client.Do(request)
	if err != nil {
		return callResult{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return callResult{}, err
	}
	result := callResult{status: response.StatusCode, body: data}
	if response.StatusCode >= http.StatusBadRequest {
		result.errorKind = errorKind(data)
		t.checkErrorResponse(c, response, result)
	}
	return result, nil
}

// errorKind returns the error kind in the body of an error response, or "" if it has none.
func errorKind(body []byte) string {
	var failure struct {
		Error struct {
			Kind string `json:"kind"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &failure) != nil {
		return ""
	}
	return failure.Error.Kind
}

// checkErrorResponse checks that an error response has a kind, and that a retryable one has a
// Retry-After header.
func (t *Workload) checkErrorResponse(c apiCall, response *http.Response, result callResult) {
	if result.errorKind == "" {
		t.addViolation(guaranteeErrorsTyped, "error response without a kind: %s %s: %d %.200s", c.method, c.path, result.status, result.body)
	}
	mayRetry := result.status == http.StatusTooManyRequests || result.status == http.StatusServiceUnavailable
	if mayRetry && response.Header.Get("Retry-After") == "" {
		t.addViolation(guaranteeErrorsTyped, "retryable rejection without Retry-After: %s %s: %s", c.method, c.path, result.errorKind)
	}
}

// outcome classifies the result of a call; err is the error that the call returned.
func (a callResult) outcome(err error) Outcome {
	switch {
	case err != nil || a.errorKind == "outcome_unknown":
		return Unknown
	case a.status/100 == 2:
		return OK
	}
	return Rejected
}
