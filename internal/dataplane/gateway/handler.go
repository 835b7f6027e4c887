// Package gateway serves callers' HTTP requests at an edge (DESIGN §7, §12.2). It holds the
// sockets; the edge's state machine decides, through the packages requests and proxy.
//
// Handler serves the product's own API (live requests, batches, results). Forwarder forwards
// opaque requests to servers unchanged. Both loop over the machine's decisions until one ends
// the request; machine.go is where typed messages enter and leave the event loop.
//
// All methods are called by one goroutine for each HTTP request, many at a time.
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

// Settings bound what one request may take; Defaults has the usual values.
type Settings struct {
	MaxOutputBytes int          // largest output of a live request, in bytes; default 256 KiB
	MaxLongPoll    clock.Micros // longest wait that a reader of results may ask for; default 30 s
}

// Defaults are the values used where nothing is set.
func Defaults() Settings {
	return Settings{MaxOutputBytes: 256 << 10, MaxLongPoll: 30 * clock.Second}
}

// Handler serves the callers' API (DESIGN §7). Its fields are set before the first request.
type Handler struct {
	Settings    Settings
	CallMachine MachineCaller
	// Notify sends the machine a message that has no reply.
	Notify func(message any)
	// Now is the daemon's time.
	Now func() clock.Micros
}

// RegisterRoutes registers the API's paths with a server.
func (h *Handler) RegisterRoutes(server *httpserver.Server) {
	server.Handle(http.MethodPost, "/v1/routes/:route/orders", h.SubmitRequest)
	server.Handle(http.MethodPost, "/v1/routes/:route/bundles", h.SubmitBatch)
	server.Handle(http.MethodGet, "/v1/bundles/:bundle", h.BatchStatus)
	server.Handle(http.MethodDelete, "/v1/bundles/:bundle", h.CancelBatch)
	server.Handle(http.MethodGet, "/v1/bundles/:bundle/results", h.BatchResults)
	server.Handle(http.MethodGet, "/v1/results", h.Feed)
}

// The path parameters of the API, as RegisterRoutes spells them.
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

// apiKey is the key that authenticates the caller; "" when the request carries none.
func apiKey(r *http.Request) string {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return key
}

// NewID makes an ID that no other request has, at any edge.
func NewID() string {
	var random [8]byte
	rand.Read(random[:])
	return "o-" + hex.EncodeToString(random[:])
}
