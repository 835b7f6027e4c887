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

// contention is a load of more requests than the servers have slots for.
type contention struct {
	*bench
	random  *rand.Rand
	waiting map[uint64]contentionRequest
	running map[string]clock.Micros // by request: when it ends
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

// submitTo sends a request to a route, in one of many sessions; a tenth of the requests are
// ten times as large as the others.
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

// step advances the time: what has run completes, and what was queued starts or is rejected.
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

// With 1.5 times as many requests as there are slots for, no kind of request, size or session
// is starved, nor a route that was added later.
func TestNobodyIsStarvedUnderContention(t *testing.T) {
	kinds := []string{config.OneShot, config.Repeatable, config.Stream, config.Resumable}
	var routes []config.Route
	for _, kind := range kinds {
		routes = append(routes, newRoute(kind, 2))
	}
	c := &contention{bench: newBench(t, []string{"a", "a"}, routes...), random: rand.New(rand.NewSource(3)),
		waiting: map[uint64]contentionRequest{}, running: map[string]clock.Micros{}, ratios: map[string]*serviceRatio{}}
	const (
		span  = 5 * millisecond
		steps = 6000
	)
	hosts := kinds
	for step := range steps {
		if step == steps/3 {
			later := newRoute(config.Repeatable, 2)
			later.Name, later.Forward = "r-later", &config.Forward{Host: "later", PathPrefix: "/x/", MaxAttempts: 2, LatencyTarget: later.Forward.LatencyTarget, Priority: later.Forward.Priority}
			configuration := &config.Configuration{Version: 2, ScorerWeights: c.scheduler.Configuration().ScorerWeights, Pools: c.scheduler.Configuration().Pools, Routes: append(append([]config.Route(nil), routes...), later)}
			configuration.Index()
			c.scheduler.SetConfiguration(configuration, c.now)
			hosts = append(append([]string(nil), kinds...), "later")
		}
		if c.random.Intn(100) < 90 {
			c.submitTo(hosts[c.random.Intn(len(hosts))])
		}
		c.step(span)
	}
	all := c.ratios["all"].ratio()
	t.Logf("served %.2f of all, %.2f of the large ones, %.2f on the later route", all, c.ratios["large"].ratio(), c.ratios["route later"].ratio())
	if all > 0.9 || all < 0.4 {
		t.Fatalf("%.2f of the requests are served: there is no contention", all)
	}
	for category, one := range c.ratios {
		minRatio := 0.8 * all
		if len(category) > 7 && category[:7] == "session" {
			minRatio = 0.5 * all // few requests each
		}
		if one.ratio() < minRatio {
			t.Errorf("%s: %d of %d served, of all %.2f", category, one.served, one.requested, all)
		}
	}
}
