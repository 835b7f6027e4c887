package admin

import (
	"net/http"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/quota"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/httpserver"
)

// getQuota writes the quota shares that this daemon holds and the quota accounts that it owns.
func (a *Admin) getQuota(w http.ResponseWriter, _ *http.Request) error {
	if a.Scheduling == nil {
		return errs.New(errs.NotFound, "send this to an edge or a store", "this daemon holds no quota shares")
	}
	var snapshot quota.Snapshot
	a.Loop.WithMachine(func(now clock.Micros) { snapshot = a.Scheduling.Quota.Snapshot(now) })
	return httpserver.WriteJSON(w, http.StatusOK, snapshot)
}
