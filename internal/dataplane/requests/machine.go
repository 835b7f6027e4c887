// Package requests is the way of callers' orders through an edge (DESIGN §7): who
// calls, what the configuration opens to them, the quota, the claim of a key, the
// queue, the tries on servers, and what the caller may be told for certain. It
// is a part of the edge's machine: the sockets are the event loop's.
package requests

import (
	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/decisionlog"
	"tuliprudder/internal/dataplane/quota"
	"tuliprudder/internal/dataplane/reader"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// Settings of the orders; Defaults has the usual values.
type Settings struct {
	MaxAttempts   int
	IdleTimeout   clock.Micros // longest wait for a server's next piece
	CommitTimeout clock.Micros // how long an acknowledgement may take before its outcome is unknown
}

// Defaults are the values used where nothing is set.
func Defaults() Settings {
	return Settings{MaxAttempts: 4, IdleTimeout: 5 * clock.Second, CommitTimeout: 3 * clock.Second}
}

// Machine holds the orders under way.
type Machine struct {
	settings  Settings
	calls     *machine.Calls
	scheduler *scheduler.Scheduler
	quota     *quota.Quota
	reader    *reader.Reader
	decisions *decisionlog.Log
	inFlight  map[string]*activeRequest
	// RetryUnsafely is a fault planted by tests: a one-shot order whose outcome is
	// not known is run again elsewhere.
	RetryUnsafely bool
	// RejectAfterRun is a fault planted by tests: an order that may have run is said
	// to be rejected.
	RejectAfterRun bool
	// RestartResumedStream is a fault planted by tests: a stream that is gone on with begins
	// anew.
	RestartResumedStream bool
	// AcceptInterrupted is a fault planted by tests: an answer that was cut is taken as whole.
	AcceptInterrupted bool
	// SkipIdempotencyClaim is a fault planted by tests: a key is not claimed first.
	SkipIdempotencyClaim bool
}

// New makes the part of an edge's machine that carries orders.
func New(settings Settings, calls *machine.Calls, sched *scheduler.Scheduler, quotas *quota.Quota, r *reader.Reader, decisions *decisionlog.Log) *Machine {
	return &Machine{settings: settings, calls: calls, scheduler: sched, quota: quotas, reader: r, decisions: decisions, inFlight: map[string]*activeRequest{}}
}

// InFlight is how many live orders are under way.
func (m *Machine) InFlight() int { return len(m.inFlight) }

// Call takes what the event loop hands in; false for anything else.
func (m *Machine) Call(call uint64, body any, now clock.Micros) bool {
	switch request := body.(type) {
	case LiveRequest:
		m.admitRequest(call, request, now)
	case AttemptResult:
		m.handleAttemptResult(call, request, now)
	case AttemptStarted:
		if r := m.inFlight[request.RequestID]; r != nil {
			r.releaseQuota(now)
		}
		m.reply(call, nil, nil)
	case CallerDisconnected:
		m.handleDisconnect(request.RequestID, now)
		m.reply(call, nil, nil)
	case SubmitBatchRequest:
		m.submitBatch(call, request, now)
	case BatchStatusRequest:
		m.batchStatus(call, request, now)
	case PageRequest:
		m.readPage(call, request, now)
	case SubmitForwardedBatchRequest:
		m.submitForwardedBatch(call, request, now)
	case ForwardedBatchStatusRequest:
		m.forwardedBatchStatus(call, request, now)
	case ForwardedPageRequest:
		m.readForwardedPage(call, request, now)
	case ItemBodyRequest:
		m.callStore(request.Batch, func(shardIndex int) any {
			return batchstore.ItemBodyRequest{Shard: shardIndex, Batch: request.Batch, Item: request.Item}
		}, statusTimeout, now, m.relayStatus(call))
	default:
		return false
	}
	return true
}

func (m *Machine) reply(call uint64, body any, err error) {
	m.calls.Emit(machine.Reply{Call: call, Body: body, Err: err})
}

// authenticate finds who calls by the key it carries.
func (m *Machine) authenticate(key string) (*config.Configuration, *config.Tenant, *config.PriorityClass, error) {
	configuration := m.scheduler.Configuration()
	if configuration == nil {
		return nil, nil, nil, errs.NewWithRetry(errs.NotReady, clock.Second, "ask again; the daemon has just started", "no plan has arrived yet")
	}
	if key == "" {
		return nil, nil, nil, errs.New(errs.Unauthorised, "send the header Authorization: Bearer KEY", "the order carries no customer key")
	}
	tenant, class, ok := configuration.TenantByKey(key)
	if !ok {
		return nil, nil, nil, errs.New(errs.Unauthorised, "check the key, or have the operators add the customer to the plan", "no customer has this key")
	}
	return configuration, tenant, class, nil
}

// authorizeRoute finds the route and checks that the tenant's class may use it.
func authorizeRoute(configuration *config.Configuration, class *config.PriorityClass, name string, batch bool) (*config.Route, error) {
	route, ok := configuration.Route(name)
	if !ok || route.Forward != nil || !route.Classes.Matches(class.Labels) {
		return nil, errs.New(errs.UnknownRoute, "name a route that the plan opens to this customer's class", "no route %q for this customer", name)
	}
	if batch != (route.Kind == config.Batch) {
		return nil, errs.New(errs.BadInput, "hand bundles to /bundles of bundle routes, live orders to /orders of the others", "route %q is of kind %s", name, route.Kind)
	}
	return route, nil
}
