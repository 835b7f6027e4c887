package config

import "testing"

func TestMaxConnectionsIsTheLeastOfTheServersPools(t *testing.T) {
	c := Configuration{Pools: []Pool{
		{Name: "unlimited", Servers: Selector{"u": {"x", "y"}}},
		{Name: "many", Servers: Selector{"u": {"x"}}, MaxConnections: 9},
		{Name: "few", Servers: Selector{"u": {"x"}}, MaxConnections: 4},
	}}
	for value, want := range map[string]int64{"x": 4, "y": 0, "z": 0} {
		if got := c.MaxConnections(Labels{"u": value}); got != want {
			t.Errorf("%s: %d connections, not %d", value, got, want)
		}
	}
}

func TestTenantsAreFoundWithTheirClass(t *testing.T) {
	c := Configuration{
		Classes: []PriorityClass{{Name: "gold", Priority: 7}},
		Tenants: []Tenant{{Name: "t", Key: "k", Class: "gold"}},
	}
	c.Index()
	tenant, class, ok := c.TenantByKey("k")
	if !ok || tenant.Name != "t" || class.Priority != 7 || c.ClassOfTenant("t") != class {
		t.Errorf("found %+v of class %+v", tenant, class)
	}
	if _, _, ok := c.TenantByKey("t"); ok || c.ClassOfTenant("k") != nil {
		t.Error("a name was taken for a key")
	}
}
