package config

import (
	"strings"
	"testing"

	"tuliprudder/internal/errs"
)

// A request is authenticated by its route's mode and its key. An unknown key is rejected even on a
// public route, because the caller meant to identify itself as a tenant.
func TestAuthenticate(t *testing.T) {
	c := Configuration{Tenants: []Tenant{{Name: "t", Keys: []KeyDigest{DigestKey("k"), DigestKey("l")}}, {Name: "u"}}}
	c.Index()
	const unauthorised = "unauthorised"
	for authentication, cases := range map[string]map[string]string{
		"":                     {"": "", "k": "", "secret": ""},
		AuthenticationNone:     {"": "", "k": "", "secret": ""},
		AuthenticationOptional: {"": "", "k": "t", "l": "t", "secret": unauthorised},
		AuthenticationRequired: {"": unauthorised, "k": "t", "l": "t", "t": unauthorised, "u": unauthorised, "secret": unauthorised},
	} {
		for key, want := range cases {
			tenant, err := c.Authenticate(&Forward{Authentication: authentication}, key)
			got := tenant
			if errs.Is(err, errs.Unauthorised) {
				got = unauthorised
			}
			if got != want || err != nil && (got != unauthorised || strings.Contains(err.Error(), "secret")) {
				t.Errorf("authentication %q, key %q: got tenant %q, %v", authentication, key, tenant, err)
			}
		}
	}
}

// Calls on batches name no route, so the modes of all routes decide whether they need a key.
func TestBatchAuthentication(t *testing.T) {
	route := func(kind, authentication string) Route {
		return Route{Kind: kind, Forward: &Forward{Authentication: authentication}}
	}
	chat := Route{Kind: Batch}
	for name, c := range map[string]struct {
		routes []Route
		want   string
	}{
		"no routes":                                {nil, AuthenticationNone},
		"no authentication":                        {[]Route{chat, route(Batch, ""), route(Stream, AuthenticationNone)}, AuthenticationNone},
		"batches require a key":                    {[]Route{chat, route(Batch, AuthenticationRequired), route(Stream, AuthenticationOptional)}, AuthenticationRequired},
		"no batches, live requests require a key":  {[]Route{chat, route(Stream, AuthenticationRequired)}, AuthenticationRequired},
		"some batches are public":                  {[]Route{route(Batch, AuthenticationRequired), route(Batch, AuthenticationOptional)}, AuthenticationOptional},
		"batches without, live requests with keys": {[]Route{route(Batch, AuthenticationNone), route(Stream, AuthenticationRequired)}, AuthenticationOptional},
	} {
		configuration := Configuration{Routes: c.routes}
		if got := configuration.BatchAuthentication(); got != c.want {
			t.Errorf("%s: got authentication %q", name, got)
		}
	}
}
