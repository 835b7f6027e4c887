package verify

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
)

// Outcome is what a caller was told.
type Outcome string

type answer struct {
	status int
	kind   string
	body   []byte
}

// do asks one edge; an error means nobody knows.
func (t *Workload) do(ctx context.Context, edge, method, path, key, idem string, body any) (answer, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return answer{}, err
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+edge+path, reader)
	if err != nil {
		return answer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	if idem != "" {
		request.Header.Set("Idempotency-Key", idem)
	}
	response, err := t.client.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, err
	}
	var wrong struct {
		Error struct {
			Kind string `json:"kind"`
		} `json:"error"`
	}
	if response.StatusCode >= 400 {
		json.Unmarshal(data, &wrong)
		if wrong.Error.Kind == "" {
			t.addBreach(promiseTyped, "an error without a kind: %s %s: %d %.200s", method, path, response.StatusCode, data)
		}
		if (response.StatusCode == 429 || response.StatusCode == 503) && response.Header.Get("Retry-After") == "" {
			t.addBreach(promiseTyped, "turned away without Retry-After: %s %s: %s", method, path, wrong.Error.Kind)
		}
	}
	return answer{response.StatusCode, wrong.Error.Kind, data}, nil
}

func (a answer) outcome(err error) Outcome {
	switch {
	case err != nil || a.kind == "outcome_unknown":
		return Unknown
	case a.status/100 == 2:
		return OK
	}
	return Refused
}
