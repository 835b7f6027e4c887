// Package admin is the operators' and the platform's side of every daemon
// (DESIGN §8): plans, the list of servers, and what the fleet knows of itself.
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

// Admin hangs on a daemon's httpserver.
type Admin struct {
	Porter *eventloop.Loop
	Road   *machines.Road // nil on cores
	Reader *reader.Reader // nil but on edges
	Book   *decisionlog.Book
	// Ready tells why the daemon is not ready; "" when it is.
	Ready func() string
	// Counters adds the daemon's own counts.
	Counters func() map[string]int64
}

// Routes hangs the operators' paths on the httpserver.
func (o *Admin) Routes(p *httpserver.Server) {
	p.Handle(http.MethodGet, "/soundness", o.soundness)
	p.Handle(http.MethodGet, "/ready", o.ready)
	p.Handle(http.MethodGet, "/counters", o.counters)
	p.Handle(http.MethodGet, "/v1/operator/daemons", o.daemons)
	p.Handle(http.MethodGet, "/v1/operator/map", o.chartMap)
	p.Handle(http.MethodGet, "/v1/operator/core", o.core)
	p.Handle(http.MethodGet, "/v1/operator/servers", o.servers)
	p.Handle(http.MethodPut, "/v1/operator/servers", o.putServers)
	p.Handle(http.MethodPost, "/v1/operator/servers/:name/leaving", o.leaving)
	p.Handle(http.MethodGet, "/v1/operator/plan", o.plan)
	p.Handle(http.MethodPut, "/v1/operator/plan", o.putPlan)
	p.Handle(http.MethodGet, "/v1/operator/plans", o.plans)
	p.Handle(http.MethodGet, "/v1/operator/plans/:version", o.plans)
	p.Handle(http.MethodGet, "/v1/operator/stores/:id", o.store)
	p.Handle(http.MethodPost, "/v1/operator/stores/:id/retire", o.retire)
	p.Handle(http.MethodGet, "/v1/operator/purse", o.purse)
	p.Handle(http.MethodGet, "/v1/operator/orders", o.order)
	p.Handle(http.MethodGet, "/v1/operator/bundles/:bundle", o.bundle)
}

func (o *Admin) soundness(w http.ResponseWriter, r *http.Request) error {
	return httpserver.WriteJSON(w, http.StatusOK, map[string]any{"id": o.Porter.Who.ID, "life": o.Porter.Who.Life, "zone": o.Porter.Zone, "sound": true, "now_us": o.Porter.Now()})
}

func (o *Admin) ready(w http.ResponseWriter, r *http.Request) error {
	if why := o.Ready(); why != "" {
		return errs.Later(errs.NotReady, clock.Second, "wait; it becomes ready by itself", "%s", why)
	}
	return httpserver.WriteJSON(w, http.StatusOK, map[string]any{"ready": true})
}

func (o *Admin) counters(w http.ResponseWriter, r *http.Request) error {
	out := o.Porter.Counters()
	for name, value := range o.Counters() {
		out[name] = value
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	out["heap_bytes"], out["goroutines"] = int64(memory.HeapInuse), int64(runtime.NumGoroutine())
	return httpserver.WriteJSON(w, http.StatusOK, out)
}

func (o *Admin) daemons(w http.ResponseWriter, r *http.Request) error {
	out := []map[string]any{}
	for _, p := range o.Porter.Members() {
		out = append(out, map[string]any{"id": p.ID, "kind": p.Kind, "zone": p.Zone, "peer": p.Peer, "http": p.HTTP,
			"incarnation": p.Incarnation, "standing": p.Status.String(), "draining": p.Draining})
	}
	return httpserver.WriteJSON(w, http.StatusOK, map[string]any{"daemons": out})
}

func (o *Admin) news(key string, into any, what string) error {
	update, ok := o.Porter.Update(key)
	if !ok {
		return errs.Later(errs.NotReady, clock.Second, "ask again; the daemon has just started, or none was ever put", "no %s has arrived yet", what)
	}
	return json.Unmarshal(update.Value, into)
}

func (o *Admin) chartMap(w http.ResponseWriter, r *http.Request) error {
	var m state.Map
	if err := o.news(state.MapKey, &m, "map of the stores"); err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, m)
}

func (o *Admin) core(w http.ResponseWriter, r *http.Request) error {
	var c state.CoreNews
	if err := o.news(state.CoreKey, &c, "word of the cores"); err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, c)
}

func (o *Admin) plan(w http.ResponseWriter, r *http.Request) error {
	var version state.Version
	if err := o.news(state.PlanKey, &version, "plan"); err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, version)
}

func (o *Admin) primary() (state.CoreNews, error) {
	var c state.CoreNews
	err := o.news(state.CoreKey, &c, "word of the cores")
	return c, err
}

// AskPrimary asks the primary core, or this daemon's own machine if that is it.
func (o *Admin) AskPrimary(body any, expiry clock.Micros) (any, error) {
	core, err := o.primary()
	if err != nil {
		return nil, err
	}
	if core.Primary == o.Porter.Who.ID {
		return o.Porter.AskHere(body)
	}
	return o.Porter.Transport.Ask(core.Peer, body, expiry)
}

const planExpiry = 5 * clock.Second

func (o *Admin) putPlan(w http.ResponseWriter, r *http.Request) error {
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
	got, err := o.AskPrimary(ask, planExpiry+clock.Second)
	if err != nil {
		return err
	}
	receipt, ok := got.(control.PlanReceipt)
	if !ok {
		return errs.New(errs.ServerFault, "run the same release on all daemons", "the core answered %T", got)
	}
	return httpserver.WriteJSON(w, http.StatusOK, map[string]any{"version": receipt.Version})
}

func (o *Admin) plans(w http.ResponseWriter, r *http.Request) error {
	var ask control.PlansAsk
	if text := pathvar.Vars(r)["version"]; text != "" {
		version, err := strconv.ParseUint(text, 10, 64)
		if err != nil || version == 0 {
			return errs.New(errs.BadInput, "give a version from the list of plans", "%q is no version", text)
		}
		ask.Version = version
	}
	got, err := o.AskPrimary(ask, 3*clock.Second)
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
	out := []map[string]any{}
	for _, version := range plans.Versions {
		out = append(out, map[string]any{"version": version.Number, "by": version.By, "at_us": version.At})
	}
	return httpserver.WriteJSON(w, http.StatusOK, map[string]any{"plans": out})
}

func (o *Admin) store(w http.ResponseWriter, r *http.Request) error {
	id := pathvar.Vars(r)["id"]
	for _, member := range o.Porter.Members() {
		if member.ID != id {
			continue
		}
		var got any
		var err error
		if id == o.Porter.Who.ID {
			got, err = o.Porter.AskHere(store.ShowAsk{})
		} else {
			got, err = o.Porter.Transport.Ask(member.Peer, store.ShowAsk{}, 2*clock.Second)
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
func (o *Admin) retire(w http.ResponseWriter, r *http.Request) error {
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
	got, err := o.AskPrimary(control.RetireAsk{ID: pathvar.Vars(r)["id"], Back: body.Back, Expiry: planExpiry}, planExpiry+clock.Second)
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
func (o *Admin) purse(w http.ResponseWriter, r *http.Request) error {
	if o.Road == nil {
		return errs.New(errs.NotFound, "ask an edge or a store", "this daemon holds no shares")
	}
	var view map[string]any
	o.Porter.WithMachine(func(now clock.Micros) { view = o.Road.Purse.View(now) })
	return httpserver.WriteJSON(w, http.StatusOK, view)
}

// order explains an order that this daemon assigned.
func (o *Admin) order(w http.ResponseWriter, r *http.Request) error {
	name := r.URL.Query().Get("order")
	if text := r.URL.Query().Get("slowest"); o.Book != nil && text != "" {
		count, err := strconv.Atoi(text)
		if err != nil || count < 1 || count > 1000 {
			return errs.New(errs.BadInput, "give a whole number from 1 to 1000", "slowest=%q", text)
		}
		return httpserver.WriteJSON(w, http.StatusOK, map[string]any{"orders": o.Book.Slowest(count)})
	}
	if o.Book == nil || name == "" {
		return errs.New(errs.NotFound, "ask an edge or a store, with ?order=NAME", "this daemon assigns no orders, or no order was named")
	}
	story, ok := o.Book.Look(name)
	if !ok {
		return errs.New(errs.NotFound, "ask the daemon that served it; each remembers its latest orders", "no order %q is remembered here", name)
	}
	return httpserver.WriteJSON(w, http.StatusOK, story)
}

// bundle explains a bundle: who keeps it, and which server ran which item.
func (o *Admin) bundle(w http.ResponseWriter, r *http.Request) error {
	if o.Reader == nil {
		return errs.New(errs.NotFound, "ask an edge", "this daemon reads no ledgers")
	}
	id := pathvar.Vars(r)["bundle"]
	var slot int
	var owner token.Owner
	var err error
	o.Porter.WithMachine(func(clock.Micros) { slot, owner, err = o.Reader.Keeper(id) })
	if err != nil {
		return err
	}
	got, err := o.Porter.Transport.Ask(owner.Peer, store.StatusAsk{Slot: slot, Bundle: id, Operator: true}, 2*clock.Second)
	if err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, got)
}

func (o *Admin) servers(w http.ResponseWriter, r *http.Request) error {
	if o.Road == nil {
		return errs.New(errs.NotFound, "ask an edge or a store", "this daemon assigns no orders")
	}
	var servers []scheduler.ServerView
	var waiting map[string]int
	o.Porter.WithMachine(func(clock.Micros) { servers, waiting = o.Road.Dispatch.View() })
	return httpserver.WriteJSON(w, http.StatusOK, map[string]any{"servers": servers, "waiting": waiting})
}

// ServersBody is the platform's whole list.
type ServersBody struct {
	Servers []registry.Server `json:"servers"`
}

// putServers takes the platform's list: what is not on it is gone.
func (o *Admin) putServers(w http.ResponseWriter, r *http.Request) error {
	data, err := httpserver.ReadBody(r)
	if err != nil {
		return err
	}
	var body ServersBody
	if err := httpserver.Decode(data, &body); err != nil {
		return err
	}
	var faults []string
	listed := map[string]bool{}
	for i, server := range body.Servers {
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
		if server.Slots < 1 || server.Slots > 100_000 {
			faults = append(faults, at+".slots: must be from 1 to 100000")
		}
		if server.Gone {
			faults = append(faults, at+".gone: leave the server out of the list instead")
		}
	}
	if len(faults) > 0 {
		return &errs.Error{Kind: errs.BadInput, Message: "the list has faults; the list in force stays", Remedy: "correct each named place and put the list again", Faults: faults}
	}
	words := body.Servers
	for _, known := range o.known() {
		if !listed[known.Name] && !known.Gone {
			known.Gone = true
			words = append(words, known)
		}
	}
	if err := o.tellServers(words); err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, map[string]any{"servers": len(body.Servers)})
}

// known is the platform's list as the updates have it.
func (o *Admin) known() []registry.Server {
	var out []registry.Server
	for _, update := range o.Porter.UpdatesUnder("server/") {
		var server registry.Server
		if json.Unmarshal(update.Value, &server) == nil {
			out = append(out, server)
		}
	}
	return out
}

// spreadFor is how long the platform's word may take until most of the fleet
// have heard it.
const spreadFor = 2 * clock.Second

// tellServers spreads the newest words on servers, and waits until most of the
// fleet know each: from then on the promise counts.
func (o *Admin) tellServers(servers []registry.Server) error {
	if err := o.Porter.CheckQuorumContact(); err != nil {
		return err
	}
	words := make(chan error, len(servers))
	for _, server := range servers {
		known, _ := o.Porter.Update(registry.ServerKey(server.Name))
		go func() { words <- o.Porter.Broadcast(registry.Word(server, known, o.Porter.Now()), spreadFor) }()
	}
	var failed error
	for range servers {
		if err := <-words; err != nil {
			failed = err
		}
	}
	return failed
}

// leaving marks a server as leaving, or takes the mark back.
func (o *Admin) leaving(w http.ResponseWriter, r *http.Request) error {
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
	update, ok := o.Porter.Update(registry.ServerKey(name))
	if !ok {
		return errs.New(errs.NotFound, "list the servers to see the names there are", "no server %q is on the platform's list", name)
	}
	var server registry.Server
	if err := json.Unmarshal(update.Value, &server); err != nil {
		return err
	}
	server.Leaving = body.Leaving
	if err := o.tellServers([]registry.Server{server}); err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, server)
}
