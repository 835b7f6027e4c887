package proxy

import (
	"fmt"
	"math/rand"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
)

// serviceRatio counts how many requests of one category were served.
type serviceRatio struct{ requested, served int }

func (s serviceRatio) ratio() float64 { return float64(s.served) / float64(max(1, s.requested)) }

// contention generates more load than the servers have slots for.
type contention struct {
	*testBench
	random  *rand.Rand
	waiting map[uint64]contentionRequest
	running map[string]clock.Micros // end time by request ID
	ratios  map[string]*serviceRatio
	next    int
}

type contentionRequest struct {
	id         string
	size       int64
	categories []string
}

func (c *contention) count(categories []string, served bool) {
	for _, category := range categories {
		if c.ratios[category] == nil {
			c.ratios[category] = &serviceRatio{}
		}
		if served {
			c.ratios[category].served++
		} else {
			c.ratios[category].requested++
		}
	}
}

// submitTo sends a request to a route, as part of one of 60 sessions; a tenth of the requests are ten
// times as large as the others.
func (c *contention) submitTo(route string) {
	c.next++
	requestID, size, sizeCategory := fmt.Sprint(c.next), int64(200), "small"
	if c.random.Intn(10) == 0 {
		size, sizeCategory = 2000, "large"
	}
	session := fmt.Sprint("session ", c.random.Intn(60))
	request := contentionRequest{requestID, size, []string{"all", "route " + route, sizeCategory, session}}
	c.count(request.categories, false)
	call := c.send(Request{ID: requestID, Host: route, Path: "/x/y", PromptTokens: size, PromptSegments: []PromptSegment{{ID: "shared", Tokens: 50}, {ID: session, Tokens: size - 50}}})
	c.waiting[call] = request
}

// step advances the time, completes the requests that have ended, and records which queued requests have
// started or were rejected.
func (c *contention) step(span clock.Micros) {
	c.advance(span)
	for requestID, end := range c.running {
		if end <= c.now {
			delete(c.running, requestID)
			c.send(AttemptResult{RequestID: requestID, Outcome: Complete, ResponseStarted: true})
		}
	}
	for call, request := range c.waiting {
		switch c.outcomeOf(call) {
		case "waits":
			continue
		case "attempt":
			c.count(request.categories, true)
			c.running[request.id] = c.now + 60*millisecond + clock.Micros(request.size)*100
		}
		delete(c.waiting, call)
	}
}

// With 1.5 times as many requests as there are slots for, no route, request size or session is starved,
// and neither is a route that is added later.
func TestNoCategoryIsStarvedUnderContention(t *testing.T) {
	kinds := []string{config.OneShot, config.Repeatable, config.Stream, config.Resumable}
	var routes []config.Route
	for _, kind := range kinds {
		routes = append(routes, newRoute(kind, 2))
	}
	c := &contention{testBench: newTestBench(t, []string{"a", "a"}, routes...), random: rand.New(rand.NewSource(3)),
		waiting: map[uint64]contentionRequest{}, running: map[string]clock.Micros{}, ratios: map[string]*serviceRatio{}}
	const (
		span  = 5 * millisecond
		steps = 6000
	)
	routeHosts := kinds
	for step := range steps {
		if step == steps/3 {
			later := newRoute(config.Repeatable, 2)
			later.Name, later.Forward = "r-later", &config.Forward{Host: "later", PathPrefix: "/x/", MaxAttempts: 2, LatencyTarget: later.Forward.LatencyTarget, Priority: later.Forward.Priority}
			configuration := &config.Configuration{Version: 2, ScorerWeights: c.scheduler.Configuration().ScorerWeights, Pools: c.scheduler.Configuration().Pools, Routes: append(append([]config.Route(nil), routes...), later)}
			configuration.Index()
			c.scheduler.SetConfiguration(configuration, c.now)
			routeHosts = append(append([]string(nil), kinds...), "later")
		}
		if c.random.Intn(100) < 90 {
			c.submitTo(routeHosts[c.random.Intn(len(routeHosts))])
		}
		c.step(span)
	}
	all := c.ratios["all"].ratio()
	t.Logf("served %.2f of all requests, %.2f of the large ones, %.2f on the route added later", all, c.ratios["large"].ratio(), c.ratios["route later"].ratio())
	if all > 0.9 || all < 0.4 {
		t.Fatalf("%.2f of the requests are served, which is outside the range for contention", all)
	}
	for category, ratio := range c.ratios {
		minRatio := 0.8 * all
		if len(category) > 7 && category[:7] == "session" {
			minRatio = 0.5 * all // a session has few requests, so its ratio varies more
		}
		if ratio.ratio() < minRatio {
			t.Errorf("%s: %d of %d served, overall ratio %.2f", category, ratio.served, ratio.requested, all)
		}
	}
}

// Tenants of the generated load; the first largeTenants of them send more requests than the others.
const (
	loadTenants  = 24
	largeTenants = 3
	largeWeight  = 10 // requests of a large tenant for each request of a small one
)

// tenantsConfiguration returns a configuration with the tenants t0, t1, … and the API keys k0, k1, …. classOf
// returns the class of each tenant, "" for none.
func tenantsConfiguration(route config.Route, classOf func(i int) string) *config.Configuration {
	forward := *route.Forward
	forward.Authentication = config.AuthenticationRequired
	route.Forward = &forward
	configuration := &config.Configuration{Version: 1, ScorerWeights: map[string]float64{"fullness": 1, "spread": 1}, Routes: []config.Route{route},
		Pools:   []config.Pool{{Name: "a", Labels: config.Labels{"u": "a"}, Servers: config.Selector{"pool": {"a"}}}},
		Classes: []config.PriorityClass{{Name: "low", Priority: 4}, {Name: "high", Priority: 6}}}
	for i := range loadTenants {
		configuration.Tenants = append(configuration.Tenants, config.Tenant{Name: fmt.Sprint("t", i), Keys: []config.KeyDigest{config.DigestKey(fmt.Sprint("k", i))}, Class: classOf(i)})
	}
	configuration.Index()
	return configuration
}

// submitAsTenant sends a request as a randomly chosen tenant; large tenants are chosen more often.
func (c *contention) submitAsTenant(route config.Route, classOf func(i int) string) {
	c.next++
	tenant := largeTenants + c.random.Intn(loadTenants-largeTenants)
	if c.random.Intn(largeTenants*largeWeight+loadTenants-largeTenants) < largeTenants*largeWeight {
		tenant = c.random.Intn(largeTenants)
	}
	request := contentionRequest{fmt.Sprint(c.next), 200, []string{"all", fmt.Sprint("tenant ", tenant), "class " + classOf(tenant)}}
	c.count(request.categories, false)
	call := c.send(Request{ID: request.id, Host: route.Forward.Host, Path: "/x/y", APIKey: fmt.Sprint("k", tenant), PromptTokens: request.size})
	c.waiting[call] = request
}

// With more requests than there are slots for, tenants of equal priority are served at similar ratios however
// many requests each sends, and tenants of lower priority are still served.
func TestNoTenantIsStarvedUnderContention(t *testing.T) {
	for name, classOf := range map[string]func(i int) string{
		"one priority":            func(int) string { return "" },
		"large tenants are high":  func(i int) string { return map[bool]string{true: "high", false: "low"}[i < largeTenants] },
		"every other one is high": func(i int) string { return []string{"high", "low"}[i%2] },
	} {
		route := newRoute(config.Stream, 2)
		c := &contention{testBench: newTestBench(t, []string{"a", "a"}), random: rand.New(rand.NewSource(5)),
			waiting: map[uint64]contentionRequest{}, running: map[string]clock.Micros{}, ratios: map[string]*serviceRatio{}}
		c.scheduler.SetConfiguration(tenantsConfiguration(route, classOf), c.now)
		for range 6000 {
			if c.random.Intn(100) < 90 {
				c.submitAsTenant(route, classOf)
			}
			c.step(5 * millisecond)
		}
		all := c.ratios["all"].ratio()
		t.Logf("%s: served %.2f of all requests; class high %.2f, class low %.2f", name, all, c.ratio("class high"), c.ratio("class low"))
		if all > 0.95 || all < 0.4 {
			t.Fatalf("%s: %.2f of the requests are served, which is outside the range for contention", name, all)
		}
		for category, ratio := range c.ratios {
			minRatio := 0.25 * all
			if name == "one priority" {
				minRatio = 0.75 * all
			}
			if ratio.ratio() < minRatio {
				t.Errorf("%s: %s: %d of %d served, overall ratio %.2f", name, category, ratio.served, ratio.requested, all)
			}
		}
	}
}

func (c *contention) ratio(category string) float64 {
	if c.ratios[category] == nil {
		return 0
	}
	return c.ratios[category].ratio()
}
