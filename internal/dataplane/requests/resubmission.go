package requests

import (
	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/errs"
)

// resubmitBatch submits a batch of opaque requests once more whose route this edge doesn't know: its
// caller may have missed the acknowledgement, and the route has been removed since. What the cluster
// has accepted is known from the batch's shard alone, which has the route's name too; so it makes no
// difference when this edge started, and an edge remembers no routes.
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
		err = unknownRouteAndBatchError(request.ID) // the route comes first, whoever calls
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
			m.submitAcceptedBatch(call, status.Route, access, request, now)
		}
	})
}

// submitAcceptedBatch submits a batch that its shard has: the store compares the content with what it
// accepted. If the batch has been forgotten meanwhile, the store finds no such route either.
func (m *Machine) submitAcceptedBatch(call uint64, routeName string, access batchstore.Access, request ResubmitForwardedBatchRequest, now clock.Micros) {
	configuration, err := m.currentConfiguration()
	if err != nil {
		m.replyError(call, err)
		return
	}
	m.submit(call, forwardedBatch(request.ID, routeName, access.Tenant, configuration, request.Items), access, request.Deadline, now)
}

func unknownRouteAndBatchError(batch string) error {
	return errs.New(errs.UnknownRoute, "correct host and path, or have the operators add a route", "no route for batch %q, and no such batch", batch)
}

// forwardedBatch is a batch of opaque requests. Where it belongs to no tenant, its route stands in the
// tenant's place.
func forwardedBatch(id, routeName, tenant string, configuration *config.Configuration, items []shard.Item) shard.Batch {
	key := id
	if tenant == "" {
		tenant, key = routeName, ""
	}
	return shard.Batch{
		ID:                   id,
		Tenant:               tenant,
		Key:                  key,
		Hash:                 hashItems(routeName, items),
		Route:                routeName,
		ConfigurationVersion: configuration.Version,
		Items:                items,
	}
}
