package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"tuliprudder/internal/errs"
)

// Paths of the administration API. The plan, purse, orders, bundles and leaving paths keep the
// spelling of the first release.
const (
	pathCounters       = "/counters"
	pathMembers        = "/v1/operator/daemons"
	pathServers        = "/v1/operator/servers"
	pathClusterMap     = "/v1/operator/map"
	pathCore           = "/v1/operator/core"
	pathStores         = "/v1/operator/stores/"
	pathConfiguration  = "/v1/operator/plan"
	pathConfigurations = "/v1/operator/plans"
	pathQuota          = "/v1/operator/purse"
	pathActs           = "/v1/operator/acts"
	pathRequests       = "/v1/operator/orders"
	pathBatches        = "/v1/operator/bundles/"
	suffixDraining     = "/leaving"
	suffixRetire       = "/retire"
)

// client calls the administration API of daemons.
type client struct {
	address  string // IP:port of the daemon given by -at
	operator string // caller's name, stored with a configuration version
	http     *http.Client
}

// get fetches a path from the daemon given by -at and decodes the response.
func get[T any](ctx context.Context, c *client, path string) (T, error) {
	return getFrom[T](ctx, c, c.address, path)
}

// getFrom fetches a path from the daemon at address and decodes the response.
func getFrom[T any](ctx context.Context, c *client, address, path string) (value T, err error) {
	data, err := c.call(ctx, address, http.MethodGet, path, nil)
	if err != nil {
		return value, err
	}
	return value, decodeResponse(address, data, &value)
}

// send sends a body to the daemon given by -at and decodes the response.
func send[T any](ctx context.Context, c *client, method, path string, body []byte) (value T, err error) {
	data, err := c.call(ctx, c.address, method, path, body)
	if err != nil {
		return value, err
	}
	return value, decodeResponse(c.address, data, &value)
}

func decodeResponse(address string, data []byte, into any) error {
	if raw, ok := into.(*json.RawMessage); ok {
		*raw = data // printed unparsed; printJSON reports invalid JSON
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return invalidResponse(address, err)
	}
	return nil
}

func invalidResponse(address string, err error) error {
	return errs.New(errs.ServerFault, "check that -at names a daemon's http address", "the response of %s can't be read: %v", address, err)
}

// call makes one HTTP call and returns the response body. A typed error from the daemon is
// returned unchanged. The error is errs.NotReady if there was no response, and
// errs.OutcomeUnknown if the connection failed while the response was read.
func (c *client) call(ctx context.Context, address, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, usageError("%v", err)
	}
	request.Header.Set("X-Operator", c.operator)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errs.New(errs.NotReady, "name another daemon with -at", "the daemon at %s gave no response: %v", address, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errs.New(errs.OutcomeUnknown, "read back what is in force before sending it again", "the response broke off: %v", err)
	}
	if response.StatusCode/100 == 2 {
		return data, nil
	}
	var rejection struct {
		Error *errs.Error `json:"error"`
	}
	if json.Unmarshal(data, &rejection) == nil && rejection.Error != nil {
		return nil, rejection.Error
	}
	return nil, errs.New(errs.ServerFault, "check that -at names a daemon's http address", "%s answered %s", address, response.Status)
}
