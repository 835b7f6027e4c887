// Package admin is the administration API of every daemon (DESIGN §8): health and
// readiness, metrics, configurations, the endpoint list, and the state of the fleet. Each
// group of endpoints has a file. It reads what the daemon's state machines know, through the
// event loop, and sends changes to the primary core or to a majority of the voters; it keeps
// no state of its own. docs/OPERATORS.md describes it for its users.
//
// The responses' JSON keys, their order and the paths are those of the first release: they
// stand in tags and in the table of routes, and never change.
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

// Admin serves the administration API of one daemon. Its fields are set before the daemon
// starts; the handlers may be called by several goroutines.
type Admin struct {
	Loop       *eventloop.Loop
	Metrics    *metrics.Registry
	Scheduling *machines.Scheduling // nil on cores; its machine is read within Loop.WithMachine
	Reader     *reader.Reader       // nil but on edges; likewise
	Decisions  *decisionlog.Log     // nil on cores
	// Ready tells why the daemon is not ready; "" when it is.
	Ready func() string
}

// Router is where the API registers its routes; paths use go-zero's :name for parts.
type Router interface {
	Handle(method, path string, handle httpserver.Handler)
}

// Routes registers the API's routes.
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
