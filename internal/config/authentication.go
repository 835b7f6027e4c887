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
	if !forward.IsAuthenticated() {
		return "", nil
	}
	if apiKey == "" {
		if forward.Authentication == AuthenticationOptional {
			return "", nil
		}
		return "", errs.New(errs.Unauthorised, "send a tenant's API key with the request", "the request carries no API key")
	}
	known := c.TenantByKey(apiKey)
	if known == nil {
		return "", errs.New(errs.Unauthorised, "check the key, or have the operators add it to the configuration", "no tenant has this API key")
	}
	return known.Name, nil
}
