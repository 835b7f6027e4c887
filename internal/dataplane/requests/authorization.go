package requests

import (
	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/errs"
)

// caller is an authenticated caller, with the configuration that determines its permissions.
type caller struct {
	configuration *config.Configuration
	tenant        *config.Tenant
	class         *config.PriorityClass
}

// currentConfiguration returns the current configuration, or errs.NotReady before the first one arrives.
func (m *Machine) currentConfiguration() (*config.Configuration, error) {
	configuration := m.scheduler.Configuration()
	if configuration == nil {
		return nil, errs.NewWithRetry(errs.NotReady, clock.Second, "retry; the daemon has just started", "no configuration has arrived yet")
	}
	return configuration, nil
}

// authenticate returns the caller whose tenant an API key belongs to.
func (m *Machine) authenticate(apiKey string) (caller, error) {
	configuration, err := m.currentConfiguration()
	if err != nil {
		return caller{}, err
	}
	if apiKey == "" {
		return caller{}, errs.New(errs.Unauthorised, "send the header Authorization: Bearer KEY", "the request carries no API key")
	}
	tenant := configuration.TenantByKey(apiKey)
	if tenant == nil {
		return caller{}, errs.New(errs.Unauthorised, "check the key, or ask the operators to add the tenant to the configuration", "no tenant has this API key")
	}
	class := configuration.ClassOfTenant(tenant.Name)
	if class == nil {
		return caller{}, errs.New(errs.Unauthorised, "ask the operators to assign the tenant a priority class", "the tenant has no priority class, so it may use forwarding routes only")
	}
	return caller{configuration: configuration, tenant: tenant, class: class}, nil
}

// authorizeRoute returns a route after checking that the caller's priority class may use it for a
// batch or for a live request.
func (c caller) authorizeRoute(name string, batch bool) (*config.Route, error) {
	route, ok := c.configuration.Route(name)
	if !ok || route.Forward != nil || !route.Classes.Matches(c.class.Labels) {
		return nil, errs.New(errs.UnknownRoute, "use a route that the configuration allows for the tenant's priority class", "no route %q for this tenant", name)
	}
	if batch != (route.Kind == config.Batch) {
		return nil, errs.New(errs.BadInput, "send batches to /bundles on routes of kind bundle, and live requests to /orders on other routes", "route %q is of kind %s", name, route.Kind)
	}
	return route, nil
}

// batchAccess returns which batches of opaque requests a caller may use: those of its tenant ("" for
// none) and those without a tenant. Where callers are not identified by keys, a caller may use every
// batch whose ID it knows.
func batchAccess(configuration *config.Configuration, tenant string) batchstore.Access {
	if configuration.BatchAuthentication() == config.AuthenticationNone {
		return batchstore.Access{AnyTenant: true}
	}
	return batchstore.Access{Tenant: tenant, WithoutTenant: true}
}

// authorizeBatchCall returns the batchAccess of the caller with the given key under the current
// configuration.
func (m *Machine) authorizeBatchCall(apiKey string) (batchstore.Access, error) {
	configuration, err := m.currentConfiguration()
	if err != nil {
		return batchstore.Access{}, err
	}
	tenant, err := configuration.AuthenticateBatchCall(apiKey)
	if err != nil {
		return batchstore.Access{}, err
	}
	return batchAccess(configuration, tenant), nil
}

// maxIdempotencyKeyBytes is the maximum length of an idempotency key, and of the ID that a caller
// assigns to a batch of opaque requests.
const maxIdempotencyKeyBytes = 256
