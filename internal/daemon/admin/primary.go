package admin

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

// CallPrimary sends a request to the primary core, or to this daemon's own state machine if it
// is the primary, and waits for the response until the time-out. The error is errs.NotReady
// while this daemon does not know the primary.
func (a *Admin) CallPrimary(request any, timeout clock.Micros) (any, error) {
	core, err := a.coreUpdate()
	if err != nil {
		return nil, err
	}
	if core.Primary == a.Loop.Identity.ID {
		return a.Loop.CallLocal(request)
	}
	return a.Loop.Transport.Call(core.Peer, request, timeout)
}

// callPrimary calls the primary core and returns its response as a T.
func callPrimary[T any](a *Admin, request any, timeout clock.Micros) (T, error) {
	return responseAs[T](a.CallPrimary(request, timeout))
}

// responseAs returns the response of a call as a T. A response of another type comes from a
// daemon of another release; the error is then errs.ServerFault.
func responseAs[T any](response any, err error) (T, error) {
	typed, ok := response.(T)
	if err == nil && !ok {
		err = errs.New(errs.ServerFault, "run the same release on all daemons", "the other daemon responded with the type %T", response)
	}
	return typed, err
}
