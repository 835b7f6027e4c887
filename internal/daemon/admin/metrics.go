package admin

import (
	"net/http"

	"tuliprudder/internal/httpserver"
)

// getCounters writes the metrics as a JSON document with the keys of the first release.
func (a *Admin) getCounters(w http.ResponseWriter, _ *http.Request) error {
	return httpserver.WriteJSON(w, http.StatusOK, a.Metrics.Counters())
}

// getMetrics writes the metrics in the Prometheus text format.
func (a *Admin) getMetrics(w http.ResponseWriter, r *http.Request) error {
	a.Metrics.Handler().ServeHTTP(w, r)
	return nil
}
