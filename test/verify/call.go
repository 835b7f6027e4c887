package verify

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
)

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes.
const (
	OK       Outcome = "ok"
	Rejected Outcome = "turned away"
	Unknown  Outcome = "unknown"
)

// apiCall is a call of a caller. Body is written as JSON; nil: none.
type apiCall struct {
	method, path   string
	apiKey         string
	idempotencyKey string // "": none
	body           any
}

// callResult is the response to a call.
type callResult struct {
	status    int
	errorKind string // "": no error
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

// call calls one edge. With an error the outcome is not known.
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

// errorKind is the kind in an error response; "" where there is none.
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

// checkErrorResponse checks that an error has a kind, and one that may be sent again says when.
func (t *Workload) checkErrorResponse(c apiCall, response *http.Response, result callResult) {
	if result.errorKind == "" {
		t.addViolation(guaranteeErrorsTyped, "an error without a kind: %s %s: %d %.200s", c.method, c.path, result.status, result.body)
	}
	mayRetry := result.status == http.StatusTooManyRequests || result.status == http.StatusServiceUnavailable
	if mayRetry && response.Header.Get("Retry-After") == "" {
		t.addViolation(guaranteeErrorsTyped, "rejected without Retry-After: %s %s: %s", c.method, c.path, result.errorKind)
	}
}

// outcome is how the call ended; err is the error that it returned.
func (a callResult) outcome(err error) Outcome {
	switch {
	case err != nil || a.errorKind == "outcome_unknown":
		return Unknown
	case a.status/100 == 2:
		return OK
	}
	return Rejected
}
