package scheduler

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/errs"
)

// fixture is a scheduler with a configuration of three classes and one route. Each request that
// it submits reports its start or drop on a channel.
type fixture struct {
	*Scheduler
	now     clock.Micros
	started chan string // name@server
	dropped chan string // name:kind of the error
	route   *config.Route
}

func newFixture(t *testing.T, servers ...endpoints.Server) *fixture {
	t.Helper()
	f := &fixture{now: 10_000_000, started: make(chan string, 100), dropped: make(chan string, 100)}
	f.Scheduler = New(Defaults(), 7)
	configuration, err := config.Parse([]byte(`{"classes":[{"name":"a1","rank":1,"allowance":1},{"name":"a5","rank":5,"allowance":1},{"name":"a9","rank":9,"allowance":1}],
	 "customers":[{"name":"c1","key":"k1","class":"a1"},{"name":"c5","key":"k5","class":"a5"},{"name":"c9","key":"k9","class":"a9"}],"pools":[{"name":"p","labels":{"u":"x"},"servers":{"fleet":"main"}}],
	 "routes":[{"name":"r","kind":"one-shot","classes":{},"pools":{"u":"x"},"model":"m","weights":"w1"}],"judges":{"speed":0}}`))
	if err != nil {
		t.Fatal(err, errs.Of(err).Faults)
	}
	configuration.Version = 1
	f.SetConfiguration(configuration, f.now)
	f.route, _ = configuration.Route("r")
	for _, server := range servers {
		f.SetServer(server)
	}
	f.AdvanceFreshness(f.now)
	return f
}

func newServer(name string, slots int) endpoints.Server {
	return endpoints.Server{Name: name, Slots: slots, Labels: map[string]string{"fleet": "main", "weights": "w1"}}
}

func (f *fixture) submit(name string, priority int64, change func(*Request)) *Request {
	r := &Request{ID: name, Tenant: fmt.Sprint("c", priority), Route: f.route, Priority: priority, AvoidedServers: map[string]int{}}
	r.Start = func(assignment *Assignment, _ clock.Micros) { f.started <- name + "@" + assignment.Server.Name }
	r.Drop = func(err error, _ clock.Micros) { f.dropped <- name + ":" + string(errs.Of(err).Kind) }
	if change != nil {
		change(r)
	}
	if err := f.Submit(r, f.now); err != nil {
		f.dropped <- name + ":" + string(errs.Of(err).Kind)
	}
	return r
}

func (f *fixture) requireNoAssignment(t *testing.T, name string) {
	t.Helper()
	f.Match(f.now)
	if f.Assigned != 0 {
		t.Fatalf("%s: a request was assigned", name)
	}
}
