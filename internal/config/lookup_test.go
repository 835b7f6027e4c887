package config

import "testing"

func TestMaxConnectionsIsLowestOfPools(t *testing.T) {
	c := Configuration{Pools: []Pool{
		{Name: "unlimited", Servers: Selector{"u": {"x", "y"}}},
		{Name: "many", Servers: Selector{"u": {"x"}}, MaxConnections: 9},
		{Name: "few", Servers: Selector{"u": {"x"}}, MaxConnections: 4},
	}}
	for value, want := range map[string]int64{"x": 4, "y": 0, "z": 0} {
		if got := c.MaxConnections(Labels{"u": value}); got != want {
			t.Errorf("%s: got %d connections, want %d", value, got, want)
		}
	}
}

func TestLookupOfTenantsAndTheirClasses(t *testing.T) {
	c := Configuration{
		Classes: []PriorityClass{{Name: "gold", Priority: 7}},
		Tenants: []Tenant{{Name: "t", Keys: []KeyDigest{DigestKey("k"), DigestKey("l")}, Class: "gold"}, {Name: "u"}},
	}
	c.Index()
	for _, key := range []string{"k", "l"} {
		tenant, class := c.TenantByKey(key), c.ClassOfTenant("t")
		if tenant == nil || tenant.Name != "t" || class == nil || class.Priority != 7 {
			t.Errorf("key %s: found %+v of class %+v", key, tenant, class)
		}
	}
	if c.TenantByKey("t") != nil || c.TenantByKey("") != nil || c.ClassOfTenant("k") != nil || c.ClassOfTenant("u") != nil {
		t.Error("a tenant was found by its name as a key or by an empty key, or a class by a key or for a tenant without one")
	}
}

// A forwarded request gets the priority of its tenant's class, or of its route if there is no class.
func TestPriorityOfForwardedRequests(t *testing.T) {
	c := Configuration{
		Classes: []PriorityClass{{Name: "gold", Priority: 7}},
		Tenants: []Tenant{{Name: "t", Class: "gold"}, {Name: "u"}},
	}
	c.Index()
	route := &Forward{Priority: 4}
	for tenant, want := range map[string]int64{"t": 7, "u": 4, "": 4, "unknown": 4} {
		if got := c.PriorityOf(route, tenant); got != want {
			t.Errorf("%q: got priority %d, want %d", tenant, got, want)
		}
	}
}
