package admin

import (
	"net/http"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/httpserver"
)

// healthResponse holds the daemon's identity and whether its disk accepts writes.
type healthResponse struct {
	DiskFault   string       `json:"disk,omitempty"` // why the disk accepts no writes
	ID          string       `json:"id"`
	Incarnation uint64       `json:"life"`
	Now         clock.Micros `json:"now_us"`
	Healthy     bool         `json:"sound"`
	Zone        string       `json:"zone"`
}

// readinessResponse is the response of a daemon that is ready; otherwise it responds with an error.
type readinessResponse struct {
	Ready bool `json:"ready"`
}

func (a *Admin) getHealth(w http.ResponseWriter, _ *http.Request) error {
	diskFault := a.Loop.DiskFault()
	return httpserver.WriteJSON(w, http.StatusOK, healthResponse{
		DiskFault:   diskFault,
		ID:          a.Loop.Identity.ID,
		Incarnation: a.Loop.Identity.Incarnation,
		Now:         a.Loop.Now(),
		Healthy:     diskFault == "",
		Zone:        a.Loop.Zone,
	})
}

func (a *Admin) getReadiness(w http.ResponseWriter, _ *http.Request) error {
	if reason := a.Ready(); reason != "" {
		return errs.NewWithRetry(errs.NotReady, clock.Second, "retry; the daemon becomes ready without intervention", "%s", reason)
	}
	return httpserver.WriteJSON(w, http.StatusOK, readinessResponse{Ready: true})
}
