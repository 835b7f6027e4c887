// Package admin is the administration API of every daemon (DESIGN §8): health and
// readiness, counters, plans, the list of servers, and the state of the fleet.
package admin

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"strings"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"tuliprudder/core/config"
	"tuliprudder/core/control"
	"tuliprudder/core/state"
	"tuliprudder/daemon/eventloop"
	"tuliprudder/daemon/machines"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/httpserver"
	"tuliprudder/ledger/store"
	"tuliprudder/ledger/token"
	"tuliprudder/path/decisionlog"
	"tuliprudder/path/reader"
	"tuliprudder/path/registry"
	"tuliprudder/path/scheduler"
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
	p.Handle(http.MethodPost, "/v1/operator/servers/:name/leaving", a.leaving)
	p.Handle(http.MethodGet, "/v1/operator/plan", a.plan)
	p.Handle(http.MethodPut, "/v1/operator/plan", a.putPlan)
	p.Handle(http.MethodGet, "/v1/operator/plans", a.plans)
	p.Handle(http.MethodGet, "/v1/operator/plans/:version", a.plans)
	p.Handle(http.MethodGet, "/v1/operator/stores/:id", a.store)
	p.Handle(http.MethodPost, "/v1/operator/stores/:id/retire", a.retire)
	p.Handle(http.MethodGet, "/v1/operator/purse", a.quota)
	p.Handle(http.MethodGet, "/v1/operator/orders", a.order)
	p.Handle(http.MethodGet, "/v1/operator/bundles/:bundle", a.bundle)
}

func (a *Admin) health(w http.ResponseWriter, _ *http.Request) error {
	out := map[string]any{"id": a.Loop.Who.ID, "life": a.Loop.Who.Life, "zone": a.Loop.Zone, "sound": true, "now_us": a.Loop.Now()}
	if why := a.Loop.DiskTrouble(); why != "" {
		out["sound"], out["disk"] = false, why
	}
	return httpserver.WriteJSON(w, http.StatusOK, out)
}

func (a *Admin) ready(w http.ResponseWriter, _ *http.Request) error {
	if why := a.Ready(); why != "" {
		return errs.Later(errs.NotReady, clock.Second, "wait; it becomes ready by itself", "%s", why)
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

func (a *Admin) readUpdate(key string, into any, what string) error {
	update, ok := a.Loop.Update(key)
	if !ok {
		return errs.Later(errs.NotReady, clock.Second, "ask again; the daemon has just started, or none was ever put", "no %s has arrived yet", what)
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
	var c state.CoreNews
	if err := a.readUpdate(state.CoreKey, &c, "word of the cores"); err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, c)
}

func (a *Admin) plan(w http.ResponseWriter, _ *http.Request) error {
	var version state.Version
	if err := a.readUpdate(state.PlanKey, &version, "plan"); err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, version)
}

func (a *Admin) primary() (state.CoreNews, error) {
	var c state.CoreNews
	err := a.readUpdate(state.CoreKey, &c, "word of the cores")
	return c, err
}

// AskPrimary asks the primary core, or this daemon's own machine if that is it.
func (a *Admin) AskPrimary(body any, expiry clock.Micros) (any, error) {
	core, err := a.primary()
	if err != nil {
		return nil, err
	}
	if core.Primary == a.Loop.Who.ID {
		return a.Loop.AskHere(body)
	}
	return a.Loop.Transport.Ask(core.Peer, body, expiry)
}

const planExpiry = 5 * clock.Second

func (a *Admin) putPlan(w http.ResponseWriter, r *http.Request) error {
	data, err := httpserver.ReadBody(r)
	if err != nil {
		return err
	}
	if err := config.Check(data); err != nil {
		return err
	}
	ask := control.PutPlanAsk{Body: data, By: r.Header.Get("X-Operator"), Expiry: planExpiry}
	if text := r.URL.Query().Get("base"); text != "" {
		base, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return errs.New(errs.BadInput, "give the version the plan was made from, or leave base out", "base=%q is no version", text)
		}
		ask.Base, ask.HasBase = base, true
	}
	got, err := a.AskPrimary(ask, planExpiry+clock.Second)
	if err != nil {
		return err
	}
	receipt, ok := got.(control.PlanReceipt)
	if !ok {
		return errs.New(errs.ServerFault, "run the same release on all daemons", "the core answered %T", got)
	}
	return httpserver.WriteJSON(w, http.StatusOK, map[string]any{"version": receipt.Version})
}

func (a *Admin) plans(w http.ResponseWriter, r *http.Request) error {
	var ask control.PlansAsk
	if text := pathvar.Vars(r)["version"]; text != "" {
		version, err := strconv.ParseUint(text, 10, 64)
		if err != nil || version == 0 {
			return errs.New(errs.BadInput, "give a version from the list of plans", "%q is no version", text)
		}
		ask.Version = version
	}
	got, err := a.AskPrimary(ask, 3*clock.Second)
	if err != nil {
		return err
	}
	plans, ok := got.(control.Plans)
	if !ok {
		return errs.New(errs.ServerFault, "run the same release on all daemons", "the core answered %T", got)
	}
	if ask.Version > 0 && len(plans.Versions) == 1 {
		return httpserver.WriteJSON(w, http.StatusOK, plans.Versions[0])
	}
	return httpserver.WriteJSON(w, http.StatusOK, listOf(plans))
}

// listOf lists the versions that can be read back, and the orders that are still
// recognised when they are sent again, by the digest of their documents.
func listOf(plans control.Plans) map[string]any {
	versions, orders := []map[string]any{}, []map[string]any{}
	for _, version := range plans.Versions {
		versions = append(versions, map[string]any{"version": version.Number, "base": version.Base, "by": version.By, "at_us": version.At})
	}
	for _, order := range plans.Orders {
		orders = append(orders, map[string]any{"version": order.Number, "base": order.Base, "digest": order.Digest.String()})
	}
	return map[string]any{"plans": versions, "orders": orders}
}

func (a *Admin) store(w http.ResponseWriter, r *http.Request) error {
	id := pathvar.Vars(r)["id"]
	for _, member := range a.Loop.Members() {
		if member.ID != id {
			continue
		}
		var got any
		var err error
		if id == a.Loop.Who.ID {
			got, err = a.Loop.AskHere(store.ShowAsk{})
		} else {
			got, err = a.Loop.Transport.Ask(member.Peer, store.ShowAsk{}, 2*clock.Second)
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
		Back bool `json:"back"`
	}
	if len(data) > 0 {
		if err := httpserver.Decode(data, &body); err != nil {
			return err
		}
	}
	got, err := a.AskPrimary(control.RetireAsk{ID: pathvar.Vars(r)["id"], Back: body.Back, Expiry: planExpiry}, planExpiry+clock.Second)
	if err != nil {
		return err
	}
	receipt, ok := got.(control.RetireReceipt)
	if !ok {
		return errs.New(errs.ServerFault, "run the same release on all daemons", "the core answered %T", got)
	}
	return httpserver.WriteJSON(w, http.StatusOK, map[string]any{"store": receipt.ID, "retired": receipt.Done, "slots_left": receipt.Left})
}

// quota shows the shares held here and the accounts held here.
func (a *Admin) quota(w http.ResponseWriter, _ *http.Request) error {
	if a.Scheduling == nil {
		return errs.New(errs.NotFound, "ask an edge or a store", "this daemon holds no shares")
	}
	var view map[string]any
	a.Loop.WithMachine(func(now clock.Micros) { view = a.Scheduling.Quota.View(now) })
	return httpserver.WriteJSON(w, http.StatusOK, view)
}

// order explains an order that this daemon assigned.
func (a *Admin) order(w http.ResponseWriter, r *http.Request) error {
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
	story, ok := a.Decisions.Find(name)
	if !ok {
		return errs.New(errs.NotFound, "ask the daemon that served it; each remembers its latest orders", "no order %q is remembered here", name)
	}
	return httpserver.WriteJSON(w, http.StatusOK, story)
}

// bundle explains a bundle: who keeps it, and which server ran which item.
func (a *Admin) bundle(w http.ResponseWriter, r *http.Request) error {
	if a.Reader == nil {
		return errs.New(errs.NotFound, "ask an edge", "this daemon reads no ledgers")
	}
	id := pathvar.Vars(r)["bundle"]
	var slot int
	var owner token.Owner
	var err error
	a.Loop.WithMachine(func(clock.Micros) { slot, owner, err = a.Reader.StoreOf(id) })
	if err != nil {
		return err
	}
	got, err := a.Loop.Transport.Ask(owner.Peer, store.StatusAsk{Slot: slot, Bundle: id, Operator: true}, 2*clock.Second)
	if err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, got)
}

func (a *Admin) servers(w http.ResponseWriter, _ *http.Request) error {
	if a.Scheduling == nil {
		return errs.New(errs.NotFound, "ask an edge or a store", "this daemon assigns no orders")
	}
	var servers []scheduler.ServerView
	var waiting map[string]int
	a.Loop.WithMachine(func(clock.Micros) { servers, waiting = a.Scheduling.Scheduler.View() })
	return httpserver.WriteJSON(w, http.StatusOK, map[string]any{"servers": servers, "waiting": waiting})
}

// ServersBody is the platform's whole list.
type ServersBody struct {
	Servers []registry.Server `json:"servers"`
}

// putServers takes the list of servers: what is not on it is gone.
func (a *Admin) putServers(w http.ResponseWriter, r *http.Request) error {
	data, err := httpserver.ReadBody(r)
	if err != nil {
		return err
	}
	var body ServersBody
	if err := httpserver.Decode(data, &body); err != nil {
		return err
	}
	listed, err := checkServers(body.Servers)
	if err != nil {
		return err
	}
	updated := body.Servers
	for _, known := range a.listedServers() {
		if !listed[known.Name] && !known.Gone {
			known.Gone = true
			updated = append(updated, known)
		}
	}
	if err := a.broadcastServers(updated); err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, map[string]any{"servers": len(body.Servers)})
}

// maxSlots is the most slots that a server may be listed with.
const maxSlots = 100_000

// checkServers names every fault of a list of servers, or returns the names on it.
func checkServers(servers []registry.Server) (map[string]bool, error) {
	var faults []string
	listed := map[string]bool{}
	for i, server := range servers {
		at := "servers[" + strconv.Itoa(i) + "]"
		if server.Name == "" || strings.ContainsAny(server.Name, "/ ") {
			faults = append(faults, at+".name: must be a text without spaces and slashes")
		}
		if listed[server.Name] {
			faults = append(faults, at+".name: is there twice; give each server its own")
		}
		listed[server.Name] = true
		if _, err := netip.ParseAddrPort(server.Address); err != nil {
			faults = append(faults, at+".address: not an IP number with a port")
		}
		if server.Slots < 1 || server.Slots > maxSlots {
			faults = append(faults, at+".slots: must be from 1 to 100000")
		}
		if server.Gone {
			faults = append(faults, at+".gone: leave the server out of the list instead")
		}
	}
	if len(faults) > 0 {
		return nil, &errs.Error{Kind: errs.BadInput, Message: "the list has faults; the list in force stays", Remedy: "correct each named place and put the list again", Faults: faults}
	}
	return listed, nil
}

// listedServers is the list of servers as the updates have it.
func (a *Admin) listedServers() []registry.Server {
	var out []registry.Server
	for _, update := range a.Loop.UpdatesUnder(registry.ServerPrefix) {
		var server registry.Server
		if json.Unmarshal(update.Value, &server) == nil {
			out = append(out, server)
		}
	}
	return out
}

// broadcastExpiry is how long a change of the list of servers may take until a
// majority of the voters know it.
const broadcastExpiry = 2 * clock.Second

// broadcastServers broadcasts the servers' new states, and waits until a majority of
// the voters know each: from then on every daemon keeps to them.
func (a *Admin) broadcastServers(servers []registry.Server) error {
	if err := a.Loop.CheckQuorumContact(); err != nil {
		return err
	}
	updated := make(chan error, len(servers))
	for _, server := range servers {
		known, _ := a.Loop.Update(registry.ServerKey(server.Name))
		go func() {
			updated <- a.Loop.Broadcast(registry.ServerUpdate(server, known, a.Loop.Now()), broadcastExpiry)
		}()
	}
	var failed error
	for range servers {
		if err := <-updated; err != nil {
			failed = err
		}
	}
	return failed
}

// leaving marks a server as leaving, or takes the mark back.
func (a *Admin) leaving(w http.ResponseWriter, r *http.Request) error {
	data, err := httpserver.ReadBody(r)
	if err != nil {
		return err
	}
	body := struct {
		Leaving bool `json:"leaving"`
	}{Leaving: true}
	if len(data) > 0 {
		if err := httpserver.Decode(data, &body); err != nil {
			return err
		}
	}
	name := pathvar.Vars(r)["name"]
	update, ok := a.Loop.Update(registry.ServerKey(name))
	if !ok {
		return errs.New(errs.NotFound, "list the servers to see the names there are", "no server %q is on the platform's list", name)
	}
	var server registry.Server
	if err := json.Unmarshal(update.Value, &server); err != nil {
		return err
	}
	server.Leaving = body.Leaving
	if err := a.broadcastServers([]registry.Server{server}); err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, server)
}
