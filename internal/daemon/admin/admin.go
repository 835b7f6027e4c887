// Package admin implements the administration API of every daemon (DESIGN §8): health and
// readiness, metrics, configurations, the endpoint list, and the state of the cluster. Each
// group of routes has a file. The API reads the daemon's state machines through the event
// loop, and sends changes to the primary core or to a majority of the voters; it has no state
// of its own. docs/OPERATORS.md describes it for its users.
//
// The paths and the JSON keys of the responses, with their order, are those of the first
// release. They are defined in struct tags and in Routes, and must never change.
package admin

import (
	"net/http"

	"tuliprudder/internal/daemon/eventloop"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/daemon/metrics"
	"tuliprudder/internal/dataplane/decisionlog"
	"tuliprudder/internal/dataplane/reader"
	"tuliprudder/internal/httpserver"
)

// Admin serves the administration API of one daemon. Its fields must be set before the daemon
// starts. The handlers are safe for concurrent use.
type Admin struct {
	Loop       *eventloop.Loop
	Metrics    *metrics.Registry
	Scheduling *machines.Scheduling // nil on cores; must only be read within Loop.WithMachine
	Reader     *reader.Reader       // nil except on edges; must only be read within Loop.WithMachine
	Decisions  *decisionlog.Log     // nil on cores
	// Ready returns why the daemon is not ready, or "" if it is ready.
	Ready func() string
}

// Router is what the API registers its routes at. Paths name their parameters as go-zero does
// (:name).
type Router interface {
	// Handle registers the handler of one HTTP method at one path.
	Handle(method, path string, handle httpserver.Handler)
}

// Routes registers the routes of the API.
func (a *Admin) Routes(r Router) {
	r.Handle(http.MethodGet, "/soundness", a.getHealth)
	r.Handle(http.MethodGet, "/ready", a.getReadiness)
	r.Handle(http.MethodGet, "/counters", a.getCounters)
	r.Handle(http.MethodGet, "/metrics", a.getMetrics)
	r.Handle(http.MethodGet, "/v1/operator/daemons", a.listMembers)
	r.Handle(http.MethodGet, "/v1/operator/map", a.getShardMap)
	r.Handle(http.MethodGet, "/v1/operator/core", a.getCoreUpdate)
	r.Handle(http.MethodGet, "/v1/operator/servers", a.listEndpoints)
	r.Handle(http.MethodPut, "/v1/operator/servers", a.putEndpoints)
	r.Handle(http.MethodPost, "/v1/operator/servers/:name/leaving", a.setDraining)
	r.Handle(http.MethodGet, "/v1/operator/plan", a.getConfiguration)
	r.Handle(http.MethodPut, "/v1/operator/plan", a.putConfiguration)
	r.Handle(http.MethodPatch, "/v1/operator/plan", a.patchConfiguration)
	r.Handle(http.MethodGet, "/v1/operator/plans", a.listConfigurations)
	r.Handle(http.MethodGet, "/v1/operator/plans/:version", a.getConfigurationVersion)
	r.Handle(http.MethodGet, "/v1/operator/stores/:id", a.getStore)
	r.Handle(http.MethodPost, "/v1/operator/stores/:id/retire", a.retireStore)
	r.Handle(http.MethodGet, "/v1/operator/acts", a.listActs)
	r.Handle(http.MethodGet, "/v1/operator/purse", a.getQuota)
	r.Handle(http.MethodGet, "/v1/operator/orders", a.explainRequests)
	r.Handle(http.MethodGet, "/v1/operator/bundles/:bundle", a.explainBatch)
}
