package requests

import (
	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/errs"
)

// resubmitBatch handles the submission of a batch of opaque requests whose route this edge does not
// know: its caller may have missed the acknowledgement of an earlier submission, and the route was
// removed since. The batch's shard alone determines whether the batch was accepted, and stores which
// route it has, so edges keep no removed routes and the reply does not depend on when this edge
// started.
func (m *Machine) resubmitBatch(call uint64, request ResubmitForwardedBatchRequest, now clock.Micros) {
	if err := checkBatchID(request.ID); err != nil {
		m.replyError(call, err)
		return
	}
	if err := validateItems(request.Items, len(request.Items), true); err != nil {
		m.replyError(call, err)
		return
	}
	access, err := m.authorizeBatchCall(request.APIKey)
	if errs.Is(err, errs.Unauthorised) {
		err = unknownRouteAndBatchError(request.ID) // the route is checked before the key
	}
	if err != nil {
		m.replyError(call, err)
		return
	}
	m.readStatus(request.ID, access, now, func(body any, err error, now clock.Micros) {
		status, isStatus := body.(batchstore.BatchStatus)
		switch {
		case errs.Is(err, errs.NotFound):
			m.replyError(call, unknownRouteAndBatchError(request.ID))
		case err != nil:
			m.relayStatus(call)(body, err, now)
		case !isStatus:
			m.replyError(call, unexpectedReplyError(body))
		default:
			m.submitAcceptedBatch(call, routeIdentity{status.Route, status.RouteID}, access, request, now)
		}
	})
}

// submitAcceptedBatch submits a batch that its shard already has: the store compares the content with
// that of the accepted batch. If the batch has been removed in the meantime, the store does not find
// its route either and rejects it.
func (m *Machine) submitAcceptedBatch(call uint64, route routeIdentity, access batchstore.Access, request ResubmitForwardedBatchRequest, now clock.Micros) {
	configuration, err := m.currentConfiguration()
	if err != nil {
		m.replyError(call, err)
		return
	}
	m.submit(call, forwardedBatch(request.ID, route, access.Tenant, configuration, request.Items), access, request.Deadline, now)
}

func unknownRouteAndBatchError(batch string) error {
	return errs.New(errs.UnknownRoute, "correct the host and path, or ask the operators to add a route", "there is no route for batch %q and no batch with this ID", batch)
}

// routeIdentity is how a stored batch of opaque requests knows its route.
type routeIdentity struct {
	name string // when the batch was submitted
	id   config.RouteID
}

// forwardedBatch returns a batch of opaque requests. If the batch belongs to no tenant, its Tenant field
// holds the name of its route and its Key is empty.
func forwardedBatch(id string, route routeIdentity, tenant string, configuration *config.Configuration, items []shard.Item) shard.Batch {
	key := id
	if tenant == "" {
		tenant, key = route.name, ""
	}
	return shard.Batch{
		ID:                   id,
		Tenant:               tenant,
		Key:                  key,
		Hash:                 shard.HashItems(route.name, items),
		Route:                route.name,
		RouteID:              route.id,
		ConfigurationVersion: configuration.Version,
		Items:                items,
	}
}
