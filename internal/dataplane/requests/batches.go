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

// submitBatch takes a batch in: whole and on two disks, or not at all.
func (m *Machine) submitBatch(call uint64, request SubmitBatchRequest, now clock.Micros) {
	configuration, tenant, class, route, err := m.authorizeBatch(request)
	if err != nil {
		m.reply(call, nil, err)
		return
	}
	if err := validateItems(request.Items, int(route.MaxItems), false); err != nil {
		m.reply(call, nil, err)
		return
	}
	if int64(len(request.Items)) > class.Quota {
		m.reply(call, nil, errs.New(errs.OverQuota, "send a smaller bundle, or buy a larger allowance", "%d items are more than the whole allowance of %d", len(request.Items), class.Quota))
		return
	}
	hashInputs := []string{route.Name}
	for _, item := range request.Items {
		hashInputs = append(hashInputs, item.ID, item.Input)
	}
	id := shard.BatchID(tenant.Name, request.IdempotencyKey)
	m.callStore(id, func(shardIndex int) any {
		return batchstore.SubmitRequest{Shard: shardIndex, Timeout: m.settings.CommitTimeout, Batch: shard.Batch{ID: id, Tenant: tenant.Name, Key: request.IdempotencyKey, Hash: shard.Hash(hashInputs...), Route: route.Name, ConfigurationVersion: configuration.Version, Items: request.Items}}
	}, m.settings.CommitTimeout+clock.Second, now, m.relayReply(call))
}

func (m *Machine) authorizeBatch(request SubmitBatchRequest) (*config.Configuration, *config.Tenant, *config.PriorityClass, *config.Route, error) {
	configuration, tenant, class, err := m.authenticate(request.APIKey)
	if err != nil {
		return nil, nil, nil, nil, err
	}
	route, err := authorizeRoute(configuration, class, request.Route, true)
	if err == nil && (request.IdempotencyKey == "" || len(request.IdempotencyKey) > 256) {
		err = errs.New(errs.BadInput, "use a key of at most 256 bytes", "the idempotency key is missing or too long")
	}
	return configuration, tenant, class, route, err
}

// relayReply hands a store's answer to who called.
func (m *Machine) relayReply(call uint64) machine.Callback {
	return func(body any, err error, _ clock.Micros) { m.reply(call, body, err) }
}

// statusTimeout is how long a store may take to say how things stand.
const statusTimeout = 2 * clock.Second

// relayStatus hands on the answer to a question that changes nothing: where none
// came, asking again is always safe.
func (m *Machine) relayStatus(call uint64) machine.Callback {
	return func(body any, err error, _ clock.Micros) {
		if err != nil && errs.Of(err).Kind == errs.OutcomeUnknown {
			err = errs.NewWithRetry(errs.NotReady, clock.Second, "ask again; nothing was changed", "the store gave no answer: %v", err)
		}
		m.reply(call, body, err)
	}
}

// submitForwardedBatch takes a batch of requests in, as handIn does one of inputs. Its
// route stands for the tenant.
func (m *Machine) submitForwardedBatch(call uint64, request SubmitForwardedBatchRequest, now clock.Micros) {
	configuration := m.scheduler.Configuration()
	if configuration == nil {
		m.reply(call, nil, errs.NewWithRetry(errs.NotReady, clock.Second, "ask again; the daemon has just started", "no plan has arrived yet"))
		return
	}
	route, _ := configuration.Route(request.Route)
	if route == nil || route.Forward == nil || route.Kind != config.Batch {
		m.reply(call, nil, errs.New(errs.UnknownRoute, "name a route of the plan in force that passes bundles on", "the plan passes no bundles on by a route %q", request.Route))
		return
	}
	err := checkBatchID(request.ID)
	if err == nil {
		err = validateItems(request.Items, int(route.MaxItems), true)
	}
	if err != nil {
		m.reply(call, nil, err)
		return
	}
	hashInputs := []string{route.Name}
	for _, item := range request.Items {
		hashInputs = append(hashInputs, item.ID, string(item.Request.Body))
	}
	m.callStore(request.ID, func(shardIndex int) any {
		return batchstore.SubmitRequest{Shard: shardIndex, Timeout: m.settings.CommitTimeout, Batch: shard.Batch{ID: request.ID, Tenant: route.Name, Hash: shard.Hash(hashInputs...), Route: route.Name, ConfigurationVersion: configuration.Version, Items: request.Items}}
	}, m.settings.CommitTimeout+clock.Second, now, m.relayReply(call))
}

func checkBatchID(batch string) error {
	if batch == "" || len(batch) > 256 {
		return errs.New(errs.BadInput, "use a name of at most 256 bytes", "the bundle's name is missing or too long")
	}
	return nil
}

func (m *Machine) forwardedBatchStatus(call uint64, request ForwardedBatchStatusRequest, now clock.Micros) {
	if request.Cancel {
		m.callStore(request.Batch, func(shardIndex int) any {
			return batchstore.EndRequest{Shard: shardIndex, Batch: request.Batch, AnyTenant: true, Timeout: m.settings.CommitTimeout}
		}, m.settings.CommitTimeout+clock.Second, now, m.relayReply(call))
		return
	}
	m.callStore(request.Batch, func(shardIndex int) any {
		return batchstore.BatchStatusRequest{Shard: shardIndex, Batch: request.Batch, AnyTenant: true}
	}, statusTimeout, now, m.relayStatus(call))
}

// readForwardedPage reads one batch: without a tenant there is no feed.
func (m *Machine) readForwardedPage(call uint64, request ForwardedPageRequest, now clock.Micros) {
	if err := checkBatchID(request.Read.BatchID); err != nil {
		m.reply(call, nil, err)
		return
	}
	if request.Read.FromIndex < 0 {
		m.reply(call, nil, errs.New(errs.BadInput, "count from 0", "the list has no row %d", request.Read.FromIndex))
		return
	}
	request.Read.Tenant, request.Read.AnyTenant = "", true
	m.reader.Start(request.Read, now, func(page reader.Page, err error, _ clock.Micros) { m.reply(call, page, err) })
}

// batchStatus asks a batch's store how it stands, or ends it.
func (m *Machine) batchStatus(call uint64, request BatchStatusRequest, now clock.Micros) {
	_, tenant, _, err := m.authenticate(request.APIKey)
	if err != nil {
		m.reply(call, nil, err)
		return
	}
	if request.Cancel {
		m.callStore(request.Batch, func(shardIndex int) any {
			return batchstore.EndRequest{Shard: shardIndex, Batch: request.Batch, Tenant: tenant.Name, Timeout: m.settings.CommitTimeout}
		}, m.settings.CommitTimeout+clock.Second, now, m.relayReply(call))
		return
	}
	m.callStore(request.Batch, func(shardIndex int) any {
		return batchstore.BatchStatusRequest{Shard: shardIndex, Batch: request.Batch, Tenant: tenant.Name}
	}, statusTimeout, now, m.relayReply(call))
}

func (m *Machine) readPage(call uint64, request PageRequest, now clock.Micros) {
	_, tenant, _, err := m.authenticate(request.APIKey)
	if err != nil {
		m.reply(call, nil, err)
		return
	}
	request.Read.Tenant, request.Read.AnyTenant = tenant.Name, false
	m.reader.Start(request.Read, now, func(page reader.Page, err error, _ clock.Micros) { m.reply(call, page, err) })
}
