package requests

import (
	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/reader"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// submitBatch submits a tenant's batch. The store acknowledges it once all of it is durable on two
// disks.
func (m *Machine) submitBatch(call uint64, request SubmitBatchRequest, now clock.Micros) {
	batch, err := m.newBatch(request)
	if err != nil {
		m.replyError(call, err)
		return
	}
	m.submit(call, batch, batchstore.Access{Tenant: batch.Tenant}, 0, now)
}

// newBatch validates a tenant's batch and derives its ID from its idempotency key.
func (m *Machine) newBatch(request SubmitBatchRequest) (shard.Batch, error) {
	c, err := m.authenticate(request.APIKey)
	if err != nil {
		return shard.Batch{}, err
	}
	route, err := c.authorizeRoute(request.Route, true)
	if err != nil {
		return shard.Batch{}, err
	}
	if request.IdempotencyKey == "" || len(request.IdempotencyKey) > maxIdempotencyKeyBytes {
		return shard.Batch{}, errs.New(errs.BadInput, "use a key of at most 256 bytes", "the idempotency key is missing or too long")
	}
	if err := validateItems(request.Items, int(route.MaxItems), false); err != nil {
		return shard.Batch{}, err
	}
	if int64(len(request.Items)) > c.class.Quota {
		return shard.Batch{}, errs.New(errs.OverQuota, "send a smaller batch, or ask the operators to raise the quota", "%d items exceed the total quota of %d", len(request.Items), c.class.Quota)
	}
	return shard.Batch{
		ID:                   shard.BatchID(c.tenant.Name, request.IdempotencyKey),
		Tenant:               c.tenant.Name,
		Key:                  request.IdempotencyKey,
		Hash:                 shard.HashItems(route.Name, request.Items),
		Route:                route.Name,
		ConfigurationVersion: c.configuration.Version,
		Items:                request.Items,
	}, nil
}

// submitForwardedBatch submits a batch of opaque requests; submitBatch is for batches of inputs.
func (m *Machine) submitForwardedBatch(call uint64, request SubmitForwardedBatchRequest, now clock.Micros) {
	batch, access, err := m.newForwardedBatch(request)
	if err != nil {
		m.replyError(call, err)
		return
	}
	m.submit(call, batch, access, request.Deadline, now)
}

// newForwardedBatch validates a batch of opaque requests. It checks the route before the caller's key.
func (m *Machine) newForwardedBatch(request SubmitForwardedBatchRequest) (batch shard.Batch, access batchstore.Access, err error) {
	configuration, err := m.currentConfiguration()
	if err != nil {
		return batch, access, err
	}
	route := configuration.RouteByID(request.Route)
	if route == nil || route.Forward == nil || route.Kind != config.Batch {
		return batch, access, errs.New(errs.UnknownRoute, "use a route of the current configuration that forwards batches", "the configuration has no route %q that forwards batches", request.Route)
	}
	tenant, err := configuration.Authenticate(route.Forward, request.APIKey)
	if err != nil {
		return batch, access, err
	}
	if err := checkBatchID(request.ID); err != nil {
		return batch, access, err
	}
	if err := validateItems(request.Items, int(route.MaxItems), true); err != nil {
		return batch, access, err
	}
	batch = forwardedBatch(request.ID, routeIdentity{route.Name, route.ID()}, tenant, configuration, request.Items)
	return batch, batchAccess(configuration, tenant), nil
}

func checkBatchID(id string) error {
	if id == "" || len(id) > maxIdempotencyKeyBytes {
		return errs.New(errs.BadInput, "use an ID of at most 256 bytes", "the batch's ID is missing or too long")
	}
	return nil
}

// submit sends a batch to its store for acceptance by the deadline; 0 means the default timeout.
func (m *Machine) submit(call uint64, batch shard.Batch, access batchstore.Access, deadline, now clock.Micros) {
	m.commit(&commitCall{
		id: batch.ID,
		newRequest: func(shardIndex int, timeout clock.Micros) any {
			return batchstore.SubmitRequest{Shard: shardIndex, Timeout: timeout, Batch: batch, By: access}
		},
		deadline: deadline,
		callback: m.relayReply(call),
	}, now)
}

// batchStatus reads the status of a tenant's batch or cancels the batch.
func (m *Machine) batchStatus(call uint64, request BatchStatusRequest, now clock.Micros) {
	c, err := m.authenticate(request.APIKey)
	if err != nil {
		m.replyError(call, err)
		return
	}
	access := batchstore.Access{Tenant: c.tenant.Name}
	if request.Cancel {
		m.cancelBatch(call, request.Batch, access, 0, now)
		return
	}
	m.readStatus(request.Batch, access, now, m.relayReply(call))
}

// forwardedBatchStatus reads the status of a batch of opaque requests or cancels the batch.
func (m *Machine) forwardedBatchStatus(call uint64, request ForwardedBatchStatusRequest, now clock.Micros) {
	access, err := m.authorizeBatchCall(request.APIKey)
	if err != nil {
		m.replyError(call, err)
		return
	}
	if request.Cancel {
		m.cancelBatch(call, request.Batch, access, request.Deadline, now)
		return
	}
	m.readStatus(request.Batch, access, now, m.relayStatus(call))
}

// cancelBatch ends a batch by the deadline; 0 means the default timeout.
func (m *Machine) cancelBatch(call uint64, batch string, access batchstore.Access, deadline, now clock.Micros) {
	m.commit(&commitCall{
		id: batch,
		newRequest: func(shardIndex int, timeout clock.Micros) any {
			return batchstore.EndRequest{Shard: shardIndex, Batch: batch, By: access, Timeout: timeout}
		},
		deadline: deadline,
		callback: m.relayReply(call),
	}, now)
}

func (m *Machine) readStatus(batch string, access batchstore.Access, now clock.Micros, callback machine.Callback) {
	newRequest := func(shardIndex int) any {
		return batchstore.BatchStatusRequest{Shard: shardIndex, Batch: batch, By: access}
	}
	m.callStore(batch, newRequest, statusTimeout, now, callback)
}

// readPage reads results of one batch of a tenant, or of all its batches.
func (m *Machine) readPage(call uint64, request PageRequest, now clock.Micros) {
	c, err := m.authenticate(request.APIKey)
	if err != nil {
		m.replyError(call, err)
		return
	}
	m.read(call, request.Read, batchstore.Access{Tenant: c.tenant.Name}, now)
}

// readForwardedPage reads results of one batch of opaque requests. A feed over several batches is only
// available per tenant, so the batch's ID is required.
func (m *Machine) readForwardedPage(call uint64, request ForwardedPageRequest, now clock.Micros) {
	if err := checkBatchID(request.Read.BatchID); err != nil {
		m.replyError(call, err)
		return
	}
	if request.Read.FromIndex < 0 {
		m.replyError(call, errs.New(errs.BadInput, "count from 0", "there is no result %d", request.Read.FromIndex))
		return
	}
	access, err := m.authorizeBatchCall(request.APIKey)
	if err != nil {
		m.replyError(call, err)
		return
	}
	m.read(call, request.Read, access, now)
}

func (m *Machine) read(call uint64, request reader.Request, access batchstore.Access, now clock.Micros) {
	request.Access = access
	m.reader.Start(request, now, func(page reader.Page, err error, _ clock.Micros) { m.relay(call, page, err) })
}

// readItemBody reads the body of an item that has no result yet, in a batch of opaque requests.
func (m *Machine) readItemBody(call uint64, request ItemBodyRequest, now clock.Micros) {
	access, err := m.authorizeBatchCall(request.APIKey)
	if err != nil {
		m.replyError(call, err)
		return
	}
	newRequest := func(shardIndex int) any {
		return batchstore.ItemBodyRequest{Shard: shardIndex, Batch: request.Batch, Item: request.Item, By: access}
	}
	m.callStore(request.Batch, newRequest, statusTimeout, now, m.relayStatus(call))
}
