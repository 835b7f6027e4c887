package admin

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/httpserver"
)

// endpointListResponse lists the model servers as known to this daemon's scheduler, and the
// requests queued for them.
type endpointListResponse struct {
	Servers []scheduler.ServerSnapshot `json:"servers"`
	Waiting map[string]int             `json:"waiting"` // total weight of the queued requests by tenant
}

// ServersRequest is the body of a request to replace the endpoint list. Its JSON keys must never
// change.
type ServersRequest struct {
	Servers []endpoints.Server `json:"servers"`
}

// putEndpointsResponse holds the number of servers on the new endpoint list.
type putEndpointsResponse struct {
	Servers int `json:"servers"`
}

// drainingRequest is the optional body of a request to drain a server.
type drainingRequest struct {
	Draining bool `json:"leaving"` // false makes the server active again
}

// broadcastTimeout is how long it may take until a majority of the voters have acknowledged a
// change of the endpoint list.
const broadcastTimeout = 2 * clock.Second

func (a *Admin) listEndpoints(w http.ResponseWriter, _ *http.Request) error {
	if a.Scheduling == nil {
		return errs.New(errs.NotFound, "send this to an edge or a store", "this daemon assigns no requests")
	}
	var response endpointListResponse
	a.Loop.WithMachine(func(clock.Micros) { response.Servers, response.Waiting = a.Scheduling.Scheduler.Snapshot() })
	return httpserver.WriteJSON(w, http.StatusOK, response)
}

// putEndpoints replaces the endpoint list. Known servers that are not on the new list are removed.
func (a *Admin) putEndpoints(w http.ResponseWriter, r *http.Request) error {
	data, err := httpserver.ReadBody(r)
	if err != nil {
		return err
	}
	var body ServersRequest
	if err := httpserver.Decode(data, &body); err != nil {
		return err
	}
	names, err := validateServers(body.Servers)
	if err != nil {
		return err
	}
	updated := body.Servers
	for _, known := range endpoints.DecodeServers(a.Loop.UpdatesWithPrefix(endpoints.ServerPrefix)) {
		if !names[known.Name] && !known.Removed {
			known.Removed = true
			updated = append(updated, known)
		}
	}
	if err := a.broadcastServers(updated); err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, putEndpointsResponse{Servers: len(body.Servers)})
}

// setDraining marks a server as draining, or as active again.
func (a *Admin) setDraining(w http.ResponseWriter, r *http.Request) error {
	body := drainingRequest{Draining: true}
	if err := readOptionalBody(r, &body); err != nil {
		return err
	}
	name := pathvar.Vars(r)["name"]
	update, ok := a.Loop.Update(endpoints.ServerKey(name))
	if !ok {
		return errs.New(errs.NotFound, "list the servers to see their names", "no server %q is on the endpoint list", name)
	}
	var server endpoints.Server
	if err := json.Unmarshal(update.Value, &server); err != nil {
		return errors.Wrapf(err, "reading the update of server %q", name)
	}
	server.Draining = body.Draining
	if err := a.broadcastServers([]endpoints.Server{server}); err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, server)
}

// broadcastServers broadcasts the servers' new states concurrently and waits until a majority of
// the voters have acknowledged each of them, after which every daemon will apply them.
func (a *Admin) broadcastServers(servers []endpoints.Server) error {
	if err := a.Loop.CheckQuorumContact(); err != nil {
		return err
	}
	results := make(chan error, len(servers))
	for _, server := range servers {
		known, _ := a.Loop.Update(endpoints.ServerKey(server.Name))
		go func() {
			results <- a.Loop.Broadcast(endpoints.ServerUpdate(server, known, a.Loop.Now()), broadcastTimeout)
		}()
	}
	var lastErr error
	for range servers {
		if err := <-results; err != nil {
			lastErr = err
		}
	}
	return lastErr
}
