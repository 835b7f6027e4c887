package proxy

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/errs"
)

// IsIdempotent reports whether requests of a route may be executed more than once.
func IsIdempotent(route *config.Route) bool {
	return route.Kind == config.Repeatable || route.Kind == config.Resumable
}

// handleRequest matches the route, authenticates the tenant and schedules the first attempt. Without a
// configuration the daemon cannot tell whether a route or a key exists, so it replies NotReady.
func (p *Proxy) handleRequest(call uint64, request Request, now clock.Micros) {
	configuration := p.scheduler.Configuration()
	if configuration == nil {
		p.fail(call, errs.NewWithRetry(errs.NotReady, p.settings.MinRetryAfter, "use another daemon; this one has just started", "no configuration has arrived yet"))
		return
	}
	route := configuration.MatchRoute(request.Host, request.Path)
	if route == nil {
		p.fail(call, errs.New(errs.UnknownRoute, "correct host and path, or have the operators add a route", "no route for host %q and path %q", request.Host, request.Path))
		return
	}
	tenant, err := configuration.Authenticate(route.Forward, request.APIKey)
	if err != nil {
		p.Unauthorised++
		p.fail(call, err)
		return
	}
	if request.AnswerBy > 0 && deadline(request, route, now) > request.AnswerBy {
		p.rejectBeforeStop(call)
		return
	}
	if route.Kind == config.Batch {
		p.decide(call, BatchSubmission{Route: route, Deadline: deadline(request, route, now)})
		return
	}
	r := &activeRequest{
		Request:        request,
		route:          route,
		identity:       Identity{IsAuthenticated: route.Forward.IsAuthenticated(), Tenant: tenant},
		call:           call,
		receivedAt:     receivedAt(request, now),
		deadline:       deadline(request, route, now),
		priority:       configuration.PriorityOf(route.Forward, tenant),
		avoidedServers: map[string]int{},
	}
	p.inFlight[request.ID] = r
	p.scheduleAttempt(r, nil, now)
}

// rejectBeforeStop rejects a request that may take longer than this daemon still runs. If it were passed on, its
// response might be cut, and the caller could not tell whether it has run.
func (p *Proxy) rejectBeforeStop(call uint64) {
	p.Rejected++
	p.fail(call, errs.NewWithRetry(errs.NotReady, p.settings.MinRetryAfter, "use another daemon; this one is stopping", "the daemon may stop before the request is answered"))
}

// deadline returns when a request times out: after the route's or the caller's timeout, whichever
// is shorter, counted from the arrival of the request's head.
func deadline(request Request, route *config.Route, now clock.Micros) clock.Micros {
	timeout := route.Timeout
	if request.CallerTimeout > 0 {
		timeout = min(timeout, request.CallerTimeout)
	}
	return receivedAt(request, now) + timeout
}

// receivedAt returns when the head of a request arrived.
func receivedAt(request Request, now clock.Micros) clock.Micros {
	if request.ReceivedAt > 0 {
		return min(request.ReceivedAt, now)
	}
	return now
}
