package config

import "testing"

// namedRoutes returns a configuration of forwarded routes, given as name, kind, host and path prefix, and of a plain
// route "plain".
func namedRoutes(version uint64, routes ...[4]string) *Configuration {
	configuration := &Configuration{Version: version, Routes: []Route{{Name: "plain", Kind: Batch}}}
	for _, route := range routes {
		configuration.Routes = append(configuration.Routes, Route{Name: route[0], Kind: route[1], Forward: &Forward{Host: route[2], PathPrefix: route[3]}})
	}
	configuration.Index()
	return configuration
}

// A forwarded route is identified by its host and path prefix, whatever its name is, and a route without a host by
// its name.
func TestRouteIDs(t *testing.T) {
	before := namedRoutes(1, [4]string{"r-1", Batch, "a", "/x/"}, [4]string{"r-2", Batch, "b", "/x/"})
	after := namedRoutes(2, [4]string{"r-1", Batch, "b", "/x/"}, [4]string{"r-2", Batch, "c", "/x/"})
	for id, want := range map[RouteID]string{"plain": "plain", ForwardedRouteID("b", "/x/"): "r-1", ForwardedRouteID("a", "/x/"): "", "r-1": ""} {
		got := ""
		if route := after.RouteByID(id); route != nil {
			got = route.Name
		}
		if got != want {
			t.Errorf("%s is %q, not %q", id, got, want)
		}
	}
	if moved := before.MatchRoute("b", "/x/1"); after.RouteByID(moved.ID()).Name != "r-1" {
		t.Errorf("%s was not found under its new name", moved.ID())
	}
}
