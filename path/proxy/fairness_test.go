package proxy

import (
	"fmt"
	"math/rand"
	"testing"

	"tuliprudder/core/config"
	"tuliprudder/kernel/clock"
)

// share counts how many of the requests of one sort were served.
type share struct{ asked, served int }

func (s share) part() float64 { return float64(s.served) / float64(max(1, s.asked)) }

// crowd is more requests than the servers have places for.
type crowd struct {
	*bench
	chance  *rand.Rand
	waiting map[uint64]crowdRequest
	running map[string]clock.Micros // by order: when it ends
	shares  map[string]*share
	next    int
}

type crowdRequest struct {
	order string
	size  int64
	sorts []string
}

func (c *crowd) count(sorts []string, served bool) {
	for _, sort := range sorts {
		if c.shares[sort] == nil {
			c.shares[sort] = &share{}
		}
		if served {
			c.shares[sort].served++
		} else {
			c.shares[sort].asked++
		}
	}
}

// arrive has a request come by a route, in one of many sessions; a tenth of them are
// ten times as large as the others.
func (c *crowd) arriveBy(route string) {
	c.next++
	order, size, sizeSort := fmt.Sprint(c.next), int64(200), "small"
	if c.chance.Intn(10) == 0 {
		size, sizeSort = 2000, "large"
	}
	session := fmt.Sprint("session ", c.chance.Intn(60))
	request := crowdRequest{order, size, []string{"all", "route " + route, sizeSort, session}}
	c.count(request.sorts, false)
	call := c.call(Arrive{Order: order, Host: route, Path: "/x/y", Prompt: size, Parts: []Part{{ID: "shared", Tokens: 50}, {ID: session, Tokens: size - 50}}})
	c.waiting[call] = request
}

// step lets a moment pass: what has run is done, and what waited starts or is refused.
func (c *crowd) step(span clock.Micros) {
	c.wait(span)
	for order, end := range c.running {
		if end <= c.now {
			delete(c.running, order)
			c.call(Ran{Order: order, Outcome: Whole, Began: true})
		}
	}
	for call, request := range c.waiting {
		switch c.word(call) {
		case "waits":
			continue
		case "again":
			c.count(request.sorts, true)
			c.running[request.order] = c.now + 60*millisecond + clock.Micros(request.size)*100
		}
		delete(c.waiting, call)
	}
}

// With half as many requests again as there are places for, no kind of request, size or
// session is left out, nor a route that was added later.
func TestNobodyIsStarvedInACrowd(t *testing.T) {
	kinds := []string{config.OneShot, config.Repeatable, config.Stream, config.Resumable}
	var routes []config.Route
	for _, kind := range kinds {
		routes = append(routes, route(kind, 2))
	}
	c := &crowd{bench: newBench(t, []string{"a", "a"}, routes...), chance: rand.New(rand.NewSource(3)),
		waiting: map[uint64]crowdRequest{}, running: map[string]clock.Micros{}, shares: map[string]*share{}}
	const (
		span    = 5 * millisecond
		moments = 6000
	)
	hosts := kinds
	for moment := range moments {
		if moment == moments/3 {
			later := route(config.Repeatable, 2)
			later.Name, later.Forward = "r-later", &config.Forward{Host: "later", PathPrefix: "/x/", Tries: 2, Aim: later.Forward.Aim}
			plan := &config.Plan{Version: 2, Judges: c.d.Plan().Judges, Pools: c.d.Plan().Pools, Routes: append(append([]config.Route(nil), routes...), later)}
			named(plan)
			c.d.SetPlan(plan, c.now)
			hosts = append(append([]string(nil), kinds...), "later")
		}
		if c.chance.Intn(100) < 90 {
			c.arriveBy(hosts[c.chance.Intn(len(hosts))])
		}
		c.step(span)
	}
	all := c.shares["all"].part()
	t.Logf("served %.2f of all, %.2f of the large ones, %.2f on the later route", all, c.shares["large"].part(), c.shares["route later"].part())
	if all > 0.9 || all < 0.4 {
		t.Fatalf("%.2f of the requests are served: this is no crowd", all)
	}
	for sort, one := range c.shares {
		least := 0.8 * all
		if len(sort) > 7 && sort[:7] == "session" {
			least = 0.5 * all // few requests each
		}
		if one.part() < least {
			t.Errorf("%s: %d of %d served, of all %.2f", sort, one.served, one.asked, all)
		}
	}
}
