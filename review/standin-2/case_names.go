package main

import (
	"fmt"
	"net/http"
	"time"
)

// In these cases the operator names the routes by their position in the configuration: r-1, r-2 and so on.
// A route that is added in front, or removed, changes the names of those behind it; their places and
// services stay.
func init() {
	cases["lot-route-added"] = batchRouteAdded
	cases["lot-route-removed"] = batchRouteRemoved
	cases["lot-sent-again"] = batchSentAgain
	cases["stream-route-added"] = streamRouteAdded
}

// routeKey is a host and a path prefix. It belongs to one service in every configuration that has it.
type routeKey struct{ host, prefix, service string }

var (
	screening = routeKey{"screening.example", "/lohu930/", "svc-screening"}
	labels    = routeKey{"labels.example", "/pufi791/", "svc-labels"}
	alerts    = routeKey{"alerts.example", "/pule252/", "svc-labels"}
)

// newRoute returns a route at a place.
type newRoute func(name string, at routeKey) route

// bulkRoute returns a route for lots.
func bulkRoute(name string, at routeKey) route {
	return route{
		"name": name, "host": at.host, "path-prefix": at.prefix, "kind": "bulk", "deadline-ms": 4000, "target-ms": 400, "prio": 2,
		"svc": at.service, "tries": 3, "due-ms": 8000, "retain-s": 40, "max-queued": 670000, "pin": true, "resumable": true, "token-gap-ms": 150,
	}
}

// streamRoute returns a route for streams that may be resumed.
func streamRoute(name string, at routeKey) route {
	return route{
		"name": name, "host": at.host, "path-prefix": at.prefix, "kind": "stream", "deadline-ms": 8000, "target-ms": 300, "prio": 0,
		"svc": at.service, "tries": 2, "pin": true, "resumable": true, "token-gap-ms": 150,
	}
}

// routesFrom names the routes at places by their position, from a number on.
func routesFrom(first int, newRoute newRoute, places ...routeKey) (routes []route) {
	for i, at := range places {
		routes = append(routes, newRoute(fmt.Sprintf("r-%d", first+i), at))
	}
	return routes
}

// document returns a configuration with the services of all places.
func document(version int, routes []route) map[string]any {
	return configuration(version, []string{screening.service, labels.service}, routes...)
}

// newServer returns a model server of a place's service.
func newServer(id string, at routeKey, zone string, events int, gap time.Duration) *modelServer {
	return &modelServer{id: id, service: at.service, zone: zone, slots: 4, events: events, gap: gap}
}

// begin starts a fleet with model servers and the first configuration.
func (r *run) begin(first map[string]any, servers ...*modelServer) error {
	if err := r.fleet.layOut(2, 3, 3); err != nil {
		return err
	}
	var err error
	if r.fleet.platform, err = r.list.serve(r.fleet.serverAddress()); err != nil {
		return err
	}
	for _, server := range servers {
		if _, err := r.startServer(server); err != nil {
			return err
		}
	}
	if err := r.fleet.startAll(); err != nil {
		return err
	}
	if err := r.configure(0, first); err != nil {
		return err
	}
	for _, edge := range r.fleet.byRole(roleEdge) {
		ready := func() bool {
			return call(r, time.Second, http.MethodGet, edge.ready, edge.ready, "/ready", nil, nil).status == http.StatusOK
		}
		if err := r.waitFor(edge.name+" to be ready", 20*time.Second, ready); err != nil {
			return err
		}
	}
	return nil
}

// addInFront adds the route of the alerts in front of the others; without the disruption it is added
// behind them, so that no name changes.
func (r *run) addInFront(newRoute newRoute) error {
	places := []routeKey{screening, labels, alerts}
	if r.withFault {
		places = []routeKey{alerts, screening, labels}
	}
	return r.configure(1, document(2, routesFrom(1, newRoute, places...)))
}

// checkServices records every run at a service to which no configuration lets the request's place go.
func (r *run) checkServices(servers ...*modelServer) {
	allowed := map[string]string{}
	for _, at := range []routeKey{screening, labels, alerts} {
		allowed[at.host] = at.service
	}
	for _, server := range servers {
		for _, seen := range server.seen() {
			if allowed[seen.host] != server.service {
				r.record.fail("ROUTE: the service %s ran %s for %s%s, which every configuration sends to %s", server.service, seen.id, seen.host, seen.path, allowed[seen.host])
			}
		}
	}
}

// batchRouteAdded adds a route while the items of a lot wait.
func batchRouteAdded(r *run) error {
	one := newServer("i-screening", screening, "zuid", 5, 100*time.Millisecond)
	other := newServer("i-labels", labels, "dok", 5, 100*time.Millisecond)
	if err := r.begin(document(1, routesFrom(1, bulkRoute, screening, labels)), one, other); err != nil {
		return err
	}
	l := newBatch("7c41e09b52d6a3f8", screening, 40)
	if err := r.submitAndStart(l, one); err != nil {
		return err
	}
	if err := r.addInFront(bulkRoute); err != nil {
		return err
	}
	results := r.readAll(l, 30*time.Second)
	r.record.logf("%d of %d items are listed", len(results), len(l.items))
	r.checkServices(one, other)
	return nil
}

// submitAndStart hands a lot in and waits until a server runs its first item.
func (r *run) submitAndStart(l batch, server *modelServer) error {
	if err := r.submit(l); err != nil {
		return err
	}
	return r.waitFor("the first item to run", 10*time.Second, func() bool { return len(server.seen()) > 0 })
}

// removeFirst removes the route of the labels, which is the first; without the disruption the other route
// keeps its name.
func (r *run) removeFirst() error {
	name := 2
	if r.withFault {
		name = 1
	}
	return r.configure(1, document(2, routesFrom(name, bulkRoute, screening)))
}

// batchRouteRemoved removes another route while the items of a lot wait.
func batchRouteRemoved(r *run) error {
	server := newServer("i-screening", screening, "zuid", 5, 100*time.Millisecond)
	if err := r.begin(document(1, routesFrom(1, bulkRoute, labels, screening)), server); err != nil {
		return err
	}
	l := newBatch("7c41e09b52d6a3f8", screening, 40)
	if err := r.submitAndStart(l, server); err != nil {
		return err
	}
	if err := r.removeFirst(); err != nil {
		return err
	}
	results := r.readAll(l, 30*time.Second)
	r.record.logf("%d of %d items are listed", len(results), len(l.items))
	for position, result := range results {
		if result.State != "done" {
			r.record.fail("MIXED: item %s at position %d is %s: no server answered 422 or 500, and the lot and the route at its place have not ended", result.ID, position, result.State)
		}
	}
	return nil
}

const (
	// calmTime is longer than contact-ms and apply-ms.
	calmTime = 3500 * time.Millisecond
	// timesAgain is how often a lot comes again.
	timesAgain = 4
	// refusalsAllowed is how often it may be turned away.
	refusalsAllowed = 2
)

// batchSentAgain sends an accepted lot again, seconds after another route was removed.
func batchSentAgain(r *run) error {
	server := newServer("i-screening", screening, "zuid", 3, 30*time.Millisecond)
	if err := r.begin(document(1, routesFrom(1, bulkRoute, labels, screening)), server); err != nil {
		return err
	}
	l := newBatch("7c41e09b52d6a3f8", screening, 4)
	if err := r.submit(l); err != nil {
		return err
	}
	results := r.readAll(l, 10*time.Second)
	r.record.logf("%d of %d items are listed", len(results), len(l.items))
	if err := r.removeFirst(); err != nil {
		return err
	}
	time.Sleep(calmTime)
	refused := 0
	edges := r.fleet.byRole(roleEdge)
	for attempt := range timesAgain {
		got := r.submitOnce(l, edges[attempt%len(edges)])
		if got.err == nil && got.status/100 == 4 {
			refused++
		}
		time.Sleep(300 * time.Millisecond)
	}
	if refused > refusalsAllowed {
		r.record.fail("LOST: the accepted lot came again %d times in a calm time, and was turned away %d times", timesAgain, refused)
	}
	return nil
}

// streamRouteAdded adds a route while a stream that may be resumed runs. Then its server breaks off.
func streamRouteAdded(r *run) error {
	const gap = 200 * time.Millisecond
	servers := []*modelServer{
		newServer("i-screening-1", screening, "zuid", 12, gap),
		newServer("i-screening-2", screening, "dok", 12, gap),
		newServer("i-labels", labels, "dok", 12, gap),
	}
	mayBreak := make(chan struct{}, 1)
	breakOff := func(*http.Request, int) bool {
		select {
		case <-mayBreak:
			return true
		default:
			return false
		}
	}
	servers[0].breakOff, servers[1].breakOff = breakOff, breakOff
	if err := r.begin(document(1, routesFrom(1, streamRoute, screening, labels)), servers...); err != nil {
		return err
	}
	answers := make(chan answer, 1)
	go func() { answers <- r.stream("9c41d07be2a35f68", screening) }()
	runs := func() (count int) {
		for _, server := range servers {
			count += len(server.seen())
		}
		return count
	}
	if err := r.waitFor("the stream to run", 5*time.Second, func() bool { return runs() > 0 }); err != nil {
		return err
	}
	if err := r.addInFront(streamRoute); err != nil {
		return err
	}
	mayBreak <- struct{}{}
	got := <-answers
	r.record.logf("client: the stream got %d, X-Seal %s, %d bytes, %v:\n%s", got.status, got.header.Get("X-Seal"), len(got.body), got.err, got.body)
	r.checkServices(servers...)
	if runs() < 2 {
		return fmt.Errorf("the stream was not resumed")
	}
	return nil
}

// stream sends a request for a stream as a client does.
func (r *run) stream(id string, at routeKey) answer {
	header := http.Header{
		"X-Request-Id": {id}, "X-Model": {"m"}, "X-Token-Count": {"1460,80"}, "X-Prompt-Prefix": {"5c1e07a2:800,91bd3f06:410"}, "X-Deadline": {"8000"},
	}
	edge := r.fleet.byRole(roleEdge)[0]
	r.record.logf("client: stream %s %s%s at %s", id, at.host, at.prefix, edge.name)
	return call(r, 9*time.Second, http.MethodPost, edge.front, at.host, at.prefix+"2f", header, []byte("prompt"))
}
