package requests

import (
	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/errs"
)

// caller is an authenticated caller, with the configuration that says what it may do.
type caller struct {
	configuration *config.Configuration
	tenant        *config.Tenant
	class         *config.PriorityClass
}

// currentConfiguration is the configuration in force; errs.NotReady before the first one.
func (m *Machine) currentConfiguration() (*config.Configuration, error) {
	configuration := m.scheduler.Configuration()
	if configuration == nil {
		return nil, errs.NewWithRetry(errs.NotReady, clock.Second, "retry; the daemon has just started", "no configuration has arrived yet")
	}
	return configuration, nil
}

// authenticate finds the tenant that an API key belongs to.
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
		return caller{}, errs.New(errs.Unauthorised, "check the key, or have the operators add the tenant to the configuration", "no tenant has this API key")
	}
	class := configuration.ClassOfTenant(tenant.Name)
	if class == nil {
		return caller{}, errs.New(errs.Unauthorised, "have the operators give the tenant a priority class", "the tenant has no priority class, so only forwarding routes are open to it")
	}
	return caller{configuration: configuration, tenant: tenant, class: class}, nil
}

// authorizeRoute finds a route and checks that the caller's priority class may use it, for a
// batch or for a live request.
func (c caller) authorizeRoute(name string, batch bool) (*config.Route, error) {
	route, ok := c.configuration.Route(name)
	if !ok || route.Forward != nil || !route.Classes.Matches(c.class.Labels) {
		return nil, errs.New(errs.UnknownRoute, "name a route that the configuration opens to the tenant's priority class", "no route %q for this tenant", name)
	}
	if batch != (route.Kind == config.Batch) {
		return nil, errs.New(errs.BadInput, "send batches to /bundles of routes of kind bundle, live requests to /orders of the others", "route %q is of kind %s", name, route.Kind)
	}
	return route, nil
}

// batchAccess says which batches of opaque requests a caller may use: its tenant's ("" for none) and
// those of no tenant. Where callers aren't known by keys, it may use all whose ID it knows.
func batchAccess(configuration *config.Configuration, tenant string) batchstore.Access {
	if configuration.BatchAuthentication() == config.AuthenticationNone {
		return batchstore.Access{AnyTenant: true}
	}
	return batchstore.Access{Tenant: tenant, WithoutTenant: true}
}

// authorizeBatchCall is the batchAccess of a caller by the key that it sends, and by the configuration
// in force.
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

// maxIdempotencyKeyBytes bounds a caller's idempotency key, and the ID that a caller gives to a
// batch of opaque requests.
const maxIdempotencyKeyBytes = 256
