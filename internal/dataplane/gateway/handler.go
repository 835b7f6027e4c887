// Package gateway serves callers' HTTP requests at an edge (DESIGN §7, §12.2). It does the network
// I/O; the decisions are made by the edge's state machine, in the packages requests and proxy.
//
// Handler serves the product's own API (live requests, batches, results). Forwarder forwards
// opaque requests to servers unchanged. Both carry out the state machine's decisions in a loop until
// one ends the request. machine.go exchanges typed messages with the daemon's event loop.
//
// Each HTTP request is served by one goroutine, and many requests are served concurrently.
package gateway

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/httpserver"
)

// Settings limit the resources of one request. Defaults returns the default values.
type Settings struct {
	MaxOutputBytes int          // largest output of a live request, in bytes; default 256 KiB
	MaxLongPoll    clock.Micros // longest wait that a request for results may specify; default 30 s
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{MaxOutputBytes: 256 << 10, MaxLongPoll: 30 * clock.Second}
}

// Handler serves the callers' API (DESIGN §7). The fields must be set before the first request.
type Handler struct {
	Settings    Settings
	CallMachine MachineCaller
	// Notify sends the state machine a message without waiting for a reply.
	Notify func(message any)
	// Now returns the daemon's time.
	Now func() clock.Micros
}

// RegisterRoutes registers the API's handlers with a server.
func (h *Handler) RegisterRoutes(server *httpserver.Server) {
	server.Handle(http.MethodPost, "/v1/routes/:route/orders", h.SubmitRequest)
	server.Handle(http.MethodPost, "/v1/routes/:route/bundles", h.SubmitBatch)
	server.Handle(http.MethodGet, "/v1/bundles/:bundle", h.BatchStatus)
	server.Handle(http.MethodDelete, "/v1/bundles/:bundle", h.CancelBatch)
	server.Handle(http.MethodGet, "/v1/bundles/:bundle/results", h.BatchResults)
	server.Handle(http.MethodGet, "/v1/results", h.Feed)
}

// The path parameters of the API, as used by RegisterRoutes.
const (
	parameterRoute = "route"
	parameterBatch = "bundle"
)

func pathParameter(r *http.Request, name string) string { return pathvar.Vars(r)[name] }

// The headers of the API.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerReplayed       = "Idempotency-Replayed"
	headerRequestID      = "X-Order"
)

// apiKey returns the bearer token that authenticates the caller, or "" if the request carries none.
func apiKey(r *http.Request) string {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return key
}

// NewID returns a random request ID, unique across all edges.
func NewID() string {
	var random [8]byte
	rand.Read(random[:])
	return "o-" + hex.EncodeToString(random[:])
}
