package config

import "tuliprudder/internal/errs"

// IsAuthenticated tells whether the callers of a forwarded route are known by tenants' API keys.
func (f *Forward) IsAuthenticated() bool {
	return f.Authentication == AuthenticationRequired || f.Authentication == AuthenticationOptional
}

// Authenticate gives the name of the tenant whose API key a request to a forwarded route carries;
// apiKey is "" where it carries none, and the name is "" where it belongs to no tenant. The error, of kind
// errs.Unauthorised, is that no tenant has the key, or that the route requires one.
func (c *Configuration) Authenticate(forward *Forward, apiKey string) (tenant string, err error) {
	return c.authenticate(forward.Authentication, apiKey)
}

// AuthenticateBatchCall does so for calls on batches of opaque requests, which name no route, by
// BatchAuthentication.
func (c *Configuration) AuthenticateBatchCall(apiKey string) (tenant string, err error) {
	return c.authenticate(c.BatchAuthentication(), apiKey)
}

// BatchAuthentication is the authentication of calls on batches of opaque requests: none where no
// route has any; otherwise a key is required, unless a route for batches lets callers submit without one.
func (c *Configuration) BatchAuthentication() string {
	isAuthenticated, hasPublicBatches := false, false
	for _, route := range c.Routes {
		if route.Forward == nil {
			continue
		}
		isAuthenticated = isAuthenticated || route.Forward.IsAuthenticated()
		isPublic := route.Forward.Authentication != AuthenticationRequired
		hasPublicBatches = hasPublicBatches || isPublic && route.Kind == Batch
	}
	switch {
	case !isAuthenticated:
		return AuthenticationNone
	case hasPublicBatches:
		return AuthenticationOptional
	}
	return AuthenticationRequired
}

func (c *Configuration) authenticate(authentication, apiKey string) (tenant string, err error) {
	switch {
	case authentication != AuthenticationRequired && authentication != AuthenticationOptional:
		return "", nil
	case apiKey == "" && authentication == AuthenticationOptional:
		return "", nil
	case apiKey == "":
		return "", errs.New(errs.Unauthorised, "send a tenant's API key with the request", "the request carries no API key")
	}
	found := c.TenantByKey(apiKey)
	if found == nil {
		return "", errs.New(errs.Unauthorised, "check the key, or have the operators add it to the configuration", "no tenant has this API key")
	}
	return found.Name, nil
}
