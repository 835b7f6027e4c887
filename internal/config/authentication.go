package config

import "tuliprudder/internal/errs"

// IsAuthenticated reports whether a forwarded route identifies its callers by tenants' API keys.
func (f *Forward) IsAuthenticated() bool {
	return f.Authentication == AuthenticationRequired || f.Authentication == AuthenticationOptional
}

// Authenticate returns the name of the tenant whose API key a request to a forwarded route carries.
// apiKey is "" if the request carries none; the name is "" if the request belongs to no tenant. It
// returns an error of kind errs.Unauthorised if no tenant has the key, or if the key is missing and
// the route requires one.
func (c *Configuration) Authenticate(forward *Forward, apiKey string) (tenant string, err error) {
	return c.authenticate(forward.Authentication, apiKey)
}

// AuthenticateBatchCall is Authenticate for calls on batches of opaque requests. These name no route;
// BatchAuthentication applies to them instead.
func (c *Configuration) AuthenticateBatchCall(apiKey string) (tenant string, err error) {
	return c.authenticate(c.BatchAuthentication(), apiKey)
}

// BatchAuthentication returns the authentication mode for calls on batches of opaque requests: none if
// no route has any; otherwise a key is required, unless a batch route lets callers submit without one.
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
	owner := c.TenantByKey(apiKey)
	if owner == nil {
		return "", errs.New(errs.Unauthorised, "check the key, or ask the operators to add it to the configuration", "no tenant has this API key")
	}
	return owner.Name, nil
}
