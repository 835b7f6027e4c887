package scheduler

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

// Each of these errors means that the request did not run and will not.

func errDraining() error {
	return errs.NewWithRetry(errs.NotReady, clock.Second, "send the request to another daemon", "this daemon is draining")
}

func errQueueFull(retryAfter clock.Micros) error {
	return errs.NewWithRetry(errs.Busy, retryAfter, "retry after the time given", "the queue is full")
}

func errStale() error {
	return errs.NewWithRetry(errs.NotReady, clock.Second, "send the request to another daemon, or retry",
		"this daemon's updates are too old for it to choose a server; the request did not run and will not")
}

func errDeadlineExceeded(retryAfter clock.Micros) error {
	return errs.NewWithRetry(errs.DeadlineExceeded, retryAfter, "retry with a later deadline, or when the system is less busy",
		"the deadline passed in the queue; the request did not run and will not")
}

func errNotPermitted() error {
	return errs.New(errs.Rejected, "none needed: another store runs the request, or it has ended", "the request may not be started here")
}

func errRouteRemoved(route string) error {
	return errs.New(errs.UnknownRoute, "name a route that the configuration opens to this tenant's class",
		"the configuration in force no longer has a route %q for this tenant; the request did not run and will not", route)
}
