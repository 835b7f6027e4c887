// Package admin is the administration API of every daemon (DESIGN §8): health and
// readiness, counters, configurations, the list of servers, and the state of the fleet.
package admin

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"strings"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/daemon/eventloop"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/dataplane/decisionlog"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/quota"
	"tuliprudder/internal/dataplane/reader"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/httpserver"
)

// Admin serves the administration API of one daemon. The handlers may be called by
// several threads.
type Admin struct {
	Loop       *eventloop.Loop
	Scheduling *machines.Scheduling // nil on cores
	Reader     *reader.Reader       // nil but on edges
	Decisions  *decisionlog.Log
	// Ready tells why the daemon is not ready; "" when it is.
	Ready func() string
	// Counters adds the daemon's own counts.
	Counters func() map[string]int64
}

// Routes registers the API's routes on the daemon's HTTP server.
func (a *Admin) Routes(p *httpserver.Server) {
	p.Handle(http.MethodGet, "/soundness", a.health)
	p.Handle(http.MethodGet, "/ready", a.ready)
	p.Handle(http.MethodGet, "/counters", a.counters)
	p.Handle(http.MethodGet, "/v1/operator/daemons", a.daemons)
	p.Handle(http.MethodGet, "/v1/operator/map", a.stateMap)
	p.Handle(http.MethodGet, "/v1/operator/core", a.core)
	p.Handle(http.MethodGet, "/v1/operator/servers", a.servers)
	p.Handle(http.MethodPut, "/v1/operator/servers", a.putServers)
	p.Handle(http.MethodPost, "/v1/operator/servers/:name/leaving", a.setDraining)
	p.Handle(http.MethodGet, "/v1/operator/plan", a.configuration)
	p.Handle(http.MethodPut, "/v1/operator/plan", a.putConfiguration)
	p.Handle(http.MethodGet, "/v1/operator/plans", a.configurations)
	p.Handle(http.MethodGet, "/v1/operator/plans/:version", a.configurations)
	p.Handle(http.MethodGet, "/v1/operator/stores/:id", a.store)
	p.Handle(http.MethodPost, "/v1/operator/stores/:id/retire", a.retire)
	p.Handle(http.MethodGet, "/v1/operator/purse", a.quota)
	p.Handle(http.MethodGet, "/v1/operator/orders", a.explainRequest)
	p.Handle(http.MethodGet, "/v1/operator/bundles/:bundle", a.explainBatch)
}

func (a *Admin) health(w http.ResponseWriter, _ *http.Request) error {
	out := map[string]any{"id": a.Loop.Identity.ID, "life": a.Loop.Identity.Incarnation, "zone": a.Loop.Zone, "sound": true, "now_us": a.Loop.Now()}
	if reason := a.Loop.DiskFault(); reason != "" {
		out["sound"], out["disk"] = false, reason
	}
	return httpserver.WriteJSON(w, http.StatusOK, out)
}

func (a *Admin) ready(w http.ResponseWriter, _ *http.Request) error {
	if reason := a.Ready(); reason != "" {
		return errs.NewWithRetry(errs.NotReady, clock.Second, "wait; it becomes ready by itself", "%s", reason)
	}
	return httpserver.WriteJSON(w, http.StatusOK, map[string]any{"ready": true})
}

func (a *Admin) counters(w http.ResponseWriter, _ *http.Request) error {
	out := a.Loop.Counters()
	for name, value := range a.Counters() {
		out[name] = value
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	out["heap_bytes"], out["goroutines"] = int64(memory.HeapInuse), int64(runtime.NumGoroutine())
	return httpserver.WriteJSON(w, http.StatusOK, out)
}

func (a *Admin) daemons(w http.ResponseWriter, _ *http.Request) error {
	out := []map[string]any{}
	for _, p := range a.Loop.Members() {
		out = append(out, map[string]any{"id": p.ID, "kind": p.Kind, "zone": p.Zone, "peer": p.Peer, "http": p.HTTP,
			"incarnation": p.Incarnation, "standing": p.Status.String(), "draining": p.Draining})
	}
	return httpserver.WriteJSON(w, http.StatusOK, map[string]any{"daemons": out})
}

func (a *Admin) readUpdate(key string, into any, description string) error {
	update, ok := a.Loop.Update(key)
	if !ok {
		return errs.NewWithRetry(errs.NotReady, clock.Second, "ask again; the daemon has just started, or none was ever put", "no %s has arrived yet", description)
	}
	return json.Unmarshal(update.Value, into)
}

func (a *Admin) stateMap(w http.ResponseWriter, _ *http.Request) error {
	var m state.Map
	if err := a.readUpdate(state.MapKey, &m, "map of the stores"); err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, m)
}

func (a *Admin) core(w http.ResponseWriter, _ *http.Request) error {
	var c state.CoreUpdate
	if err := a.readUpdate(state.CoreKey, &c, "word of the cores"); err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, c)
}

func (a *Admin) configuration(w http.ResponseWriter, _ *http.Request) error {
	var version state.Version
	if err := a.readUpdate(state.ConfigurationKey, &version, "plan"); err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, version)
}

func (a *Admin) primary() (state.CoreUpdate, error) {
	var c state.CoreUpdate
	err := a.readUpdate(state.CoreKey, &c, "word of the cores")
	return c, err
}

// CallPrimary asks the primary core, or this daemon's own machine if that is it.
func (a *Admin) CallPrimary(body any, timeout clock.Micros) (any, error) {
	core, err := a.primary()
	if err != nil {
		return nil, err
	}
	if core.Primary == a.Loop.Identity.ID {
		return a.Loop.CallLocal(body)
	}
	return a.Loop.Transport.Call(core.Peer, body, timeout)
}

const configurationTimeout = 5 * clock.Second

func (a *Admin) putConfiguration(w http.ResponseWriter, r *http.Request) error {
	data, err := httpserver.ReadBody(r)
	if err != nil {
		return err
	}
	if err := config.Validate(data); err != nil {
		return err
	}
	request := controlplane.PutConfigurationRequest{Body: data, By: r.Header.Get("X-Operator"), Timeout: configurationTimeout}
	if text := r.URL.Query().Get("base"); text != "" {
		base, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return errs.New(errs.BadInput, "give the version the plan was made from, or leave base out", "base=%q is no version", text)
		}
		request.Base, request.HasBase = base, true
	}
	got, err := a.CallPrimary(request, configurationTimeout+clock.Second)
	if err != nil {
		return err
	}
	response, ok := got.(controlplane.PutConfigurationResponse)
	if !ok {
		return errs.New(errs.ServerFault, "run the same release on all daemons", "the core answered %T", got)
	}
	return httpserver.WriteJSON(w, http.StatusOK, map[string]any{"version": response.Version})
}

func (a *Admin) configurations(w http.ResponseWriter, r *http.Request) error {
	var request controlplane.ConfigurationsRequest
	if text := pathvar.Vars(r)["version"]; text != "" {
		version, err := strconv.ParseUint(text, 10, 64)
		if err != nil || version == 0 {
			return errs.New(errs.BadInput, "give a version from the list of plans", "%q is no version", text)
		}
		request.Version = version
	}
	got, err := a.CallPrimary(request, 3*clock.Second)
	if err != nil {
		return err
	}
	configurations, ok := got.(controlplane.ConfigurationsResponse)
	if !ok {
		return errs.New(errs.ServerFault, "run the same release on all daemons", "the core answered %T", got)
	}
	if request.Version > 0 && len(configurations.Versions) == 1 {
		return httpserver.WriteJSON(w, http.StatusOK, configurations.Versions[0])
	}
	return httpserver.WriteJSON(w, http.StatusOK, configurationList(configurations))
}

// configurationList lists the versions that can be read back, and the orders that are still
// recognised when they are sent again, by the digest of their documents.
func configurationList(configurations controlplane.ConfigurationsResponse) map[string]any {
	versions, requests := []map[string]any{}, []map[string]any{}
	for _, version := range configurations.Versions {
		versions = append(versions, map[string]any{"version": version.Number, "base": version.Base, "by": version.By, "at_us": version.At})
	}
	for _, request := range configurations.Requests {
		requests = append(requests, map[string]any{"version": request.Number, "base": request.Base, "digest": request.Digest.String()})
	}
	return map[string]any{"plans": versions, "orders": requests}
}

func (a *Admin) store(w http.ResponseWriter, r *http.Request) error {
	id := pathvar.Vars(r)["id"]
	for _, member := range a.Loop.Members() {
		if member.ID != id {
			continue
		}
		var got any
		var err error
		if id == a.Loop.Identity.ID {
			got, err = a.Loop.CallLocal(batchstore.StatusRequest{})
		} else {
			got, err = a.Loop.Transport.Call(member.Peer, batchstore.StatusRequest{}, 2*clock.Second)
		}
		if err != nil {
			return err
		}
		return httpserver.WriteJSON(w, http.StatusOK, got)
	}
	return errs.New(errs.NotFound, "list the daemons to see the ids there are", "no daemon %q is known here", id)
}

// retire empties a store and retires it, or takes that back; asked again it
// tells how far it is.
func (a *Admin) retire(w http.ResponseWriter, r *http.Request) error {
	data, err := httpserver.ReadBody(r)
	if err != nil {
		return err
	}
	var body struct {
		Cancel bool `json:"back"`
	}
	if len(data) > 0 {
		if err := httpserver.Decode(data, &body); err != nil {
			return err
		}
	}
	got, err := a.CallPrimary(controlplane.RetireRequest{ID: pathvar.Vars(r)["id"], Cancel: body.Cancel, Timeout: configurationTimeout}, configurationTimeout+clock.Second)
	if err != nil {
		return err
	}
	response, ok := got.(controlplane.RetireResponse)
	if !ok {
		return errs.New(errs.ServerFault, "run the same release on all daemons", "the core answered %T", got)
	}
	return httpserver.WriteJSON(w, http.StatusOK, map[string]any{"store": response.ID, "retired": response.Done, "slots_left": response.ShardsLeft})
}

// quota shows the shares held here and the accounts held here.
func (a *Admin) quota(w http.ResponseWriter, _ *http.Request) error {
	if a.Scheduling == nil {
		return errs.New(errs.NotFound, "ask an edge or a store", "this daemon holds no shares")
	}
	var snapshot quota.Snapshot
	a.Loop.WithMachine(func(now clock.Micros) { snapshot = a.Scheduling.Quota.Snapshot(now) })
	return httpserver.WriteJSON(w, http.StatusOK, snapshot)
}

// explainRequest explains an order that this daemon assigned.
func (a *Admin) explainRequest(w http.ResponseWriter, r *http.Request) error {
	name := r.URL.Query().Get("order")
	if text := r.URL.Query().Get("slowest"); a.Decisions != nil && text != "" {
		count, err := strconv.Atoi(text)
		if err != nil || count < 1 || count > 1000 {
			return errs.New(errs.BadInput, "give a whole number from 1 to 1000", "slowest=%q", text)
		}
		return httpserver.WriteJSON(w, http.StatusOK, map[string]any{"orders": a.Decisions.Slowest(count)})
	}
	if a.Decisions == nil || name == "" {
		return errs.New(errs.NotFound, "ask an edge or a store, with ?order=NAME", "this daemon assigns no orders, or no order was named")
	}
	entry, ok := a.Decisions.Find(name)
	if !ok {
		return errs.New(errs.NotFound, "ask the daemon that served it; each remembers its latest orders", "no order %q is remembered here", name)
	}
	return httpserver.WriteJSON(w, http.StatusOK, entry)
}

// explainBatch explains a batch: who keeps it, and which server ran which item.
func (a *Admin) explainBatch(w http.ResponseWriter, r *http.Request) error {
	if a.Reader == nil {
		return errs.New(errs.NotFound, "ask an edge", "this daemon reads no ledgers")
	}
	id := pathvar.Vars(r)["bundle"]
	var shardIndex int
	var owner token.Owner
	var err error
	a.Loop.WithMachine(func(clock.Micros) { shardIndex, owner, err = a.Reader.Locate(id) })
	if err != nil {
		return err
	}
	got, err := a.Loop.Transport.Call(owner.Peer, batchstore.BatchStatusRequest{Shard: shardIndex, Batch: id, Operator: true}, 2*clock.Second)
	if err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, got)
}

func (a *Admin) servers(w http.ResponseWriter, _ *http.Request) error {
	if a.Scheduling == nil {
		return errs.New(errs.NotFound, "ask an edge or a store", "this daemon assigns no orders")
	}
	var servers []scheduler.ServerSnapshot
	var waiting map[string]int
	a.Loop.WithMachine(func(clock.Micros) { servers, waiting = a.Scheduling.Scheduler.Snapshot() })
	return httpserver.WriteJSON(w, http.StatusOK, map[string]any{"servers": servers, "waiting": waiting})
}

// ServersRequest is the platform's whole list.
type ServersRequest struct {
	Servers []endpoints.Server `json:"servers"`
}

// putServers takes the list of servers: what is not on it is gone.
func (a *Admin) putServers(w http.ResponseWriter, r *http.Request) error {
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
	for _, known := range a.knownServers() {
		if !names[known.Name] && !known.Removed {
			known.Removed = true
			updated = append(updated, known)
		}
	}
	if err := a.broadcastServers(updated); err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, map[string]any{"servers": len(body.Servers)})
}

// maxSlots is the most shards that a server may be listed with.
const maxSlots = 100_000

// validateServers names every fault of a list of servers, or returns the names on it.
func validateServers(servers []endpoints.Server) (map[string]bool, error) {
	var faults []string
	names := map[string]bool{}
	for i, server := range servers {
		at := "servers[" + strconv.Itoa(i) + "]"
		if server.Name == "" || strings.ContainsAny(server.Name, "/ ") {
			faults = append(faults, at+".name: must be a text without spaces and slashes")
		}
		if names[server.Name] {
			faults = append(faults, at+".name: is there twice; give each server its own")
		}
		names[server.Name] = true
		if _, err := netip.ParseAddrPort(server.Address); err != nil {
			faults = append(faults, at+".address: not an IP number with a port")
		}
		if server.Slots < 1 || server.Slots > maxSlots {
			faults = append(faults, at+".slots: must be from 1 to 100000")
		}
		if server.Removed {
			faults = append(faults, at+".gone: leave the server out of the list instead")
		}
	}
	if len(faults) > 0 {
		return nil, &errs.Error{Kind: errs.BadInput, Message: "the list has faults; the list in force stays", Remedy: "correct each named place and put the list again", Faults: faults}
	}
	return names, nil
}

// knownServers is the list of servers as the updates have it.
func (a *Admin) knownServers() []endpoints.Server {
	var out []endpoints.Server
	for _, update := range a.Loop.UpdatesWithPrefix(endpoints.ServerPrefix) {
		var server endpoints.Server
		if json.Unmarshal(update.Value, &server) == nil {
			out = append(out, server)
		}
	}
	return out
}

// broadcastTimeout is how long a change of the list of servers may take until a
// majority of the voters know it.
const broadcastTimeout = 2 * clock.Second

// broadcastServers broadcasts the servers' new states, and waits until a majority of
// the voters know each: from then on every daemon keeps to them.
func (a *Admin) broadcastServers(servers []endpoints.Server) error {
	if err := a.Loop.CheckQuorumContact(); err != nil {
		return err
	}
	updated := make(chan error, len(servers))
	for _, server := range servers {
		known, _ := a.Loop.Update(endpoints.ServerKey(server.Name))
		go func() {
			updated <- a.Loop.Broadcast(endpoints.ServerUpdate(server, known, a.Loop.Now()), broadcastTimeout)
		}()
	}
	var lastErr error
	for range servers {
		if err := <-updated; err != nil {
			lastErr = err
		}
	}
	return lastErr
}

// setDraining marks a server as leaving, or takes the mark back.
func (a *Admin) setDraining(w http.ResponseWriter, r *http.Request) error {
	data, err := httpserver.ReadBody(r)
	if err != nil {
		return err
	}
	body := struct {
		Draining bool `json:"leaving"`
	}{Draining: true}
	if len(data) > 0 {
		if err := httpserver.Decode(data, &body); err != nil {
			return err
		}
	}
	name := pathvar.Vars(r)["name"]
	update, ok := a.Loop.Update(endpoints.ServerKey(name))
	if !ok {
		return errs.New(errs.NotFound, "list the servers to see the names there are", "no server %q is on the platform's list", name)
	}
	var server endpoints.Server
	if err := json.Unmarshal(update.Value, &server); err != nil {
		return err
	}
	server.Draining = body.Draining
	if err := a.broadcastServers([]endpoints.Server{server}); err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, server)
}
