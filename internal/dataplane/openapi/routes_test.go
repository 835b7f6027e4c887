package openapi

import (
	"reflect"
	"testing"
)

func TestRouteNames(t *testing.T) {
	for name, c := range map[string]struct{ operationID, path, want string }{
		"the operation's id":       {"checkTicket", "/tickets/check", "checkTicket"},
		"an id with other letters": {"check ticket!", "/tickets/check", "check-ticket"},
		"no id":                    {"", "/tickets/{id}/check", "tickets-id-check"},
	} {
		if got := routeName(c.operationID, c.path); got != c.want {
			t.Errorf("%s: %q, not %q", name, got, c.want)
		}
	}
}

// An operation's fields go over the file's, and neither is changed.
func TestOperationFieldsOverrideFileDefaults(t *testing.T) {
	r := &routeReader{defaults: document{"kind": "stream", "model": "m1"}}
	fields := document{"model": "m2"}
	got := r.newRoute(fields, "verdict", "/verdicts")
	want := route{name: "verdict", fields: document{"name": "verdict", "kind": "stream", "model": "m2"}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, not %+v", got, want)
	}
	if len(r.defaults) != 2 || r.defaults["model"] != "m1" || len(fields) != 1 {
		t.Errorf("changed %v and %v", r.defaults, fields)
	}
}

// Two imports of a file make the same configuration.
func TestImportIsIdempotent(t *testing.T) {
	existing := []any{document{"name": "a", "kind": "stream"}, document{"name": "b"}}
	routes := []route{{"c", document{"name": "c"}}, {"b", document{"name": "b", "model": "m"}}}
	imported := map[string]route{"b": routes[1], "c": routes[0]}
	once := mergeRoutes(existing, routes, imported)
	want := []any{existing[0], routes[1].fields, routes[0].fields}
	if !reflect.DeepEqual(once, want) {
		t.Errorf("%v, not %v", once, want)
	}
	if twice := mergeRoutes(once, routes, imported); !reflect.DeepEqual(twice, once) {
		t.Errorf("the second time %v, not %v", twice, once)
	}
}
