package openapi

import (
	"reflect"
	"testing"
)

func TestRouteNames(t *testing.T) {
	for name, c := range map[string]struct{ operationID, path, want string }{
		"the operation's ID":            {"checkTicket", "/tickets/check", "checkTicket"},
		"an id with invalid characters": {"check ticket!", "/tickets/check", "check-ticket"},
		"no ID":                         {"", "/tickets/{id}/check", "tickets-id-check"},
	} {
		if got := routeName(c.operationID, c.path); got != c.want {
			t.Errorf("%s: got %q, want %q", name, got, c.want)
		}
	}
}

// An operation's fields override the file's defaults, and neither map is modified.
func TestOperationFieldsOverrideFileDefaults(t *testing.T) {
	r := &routeReader{defaults: document{"kind": "stream", "model": "m1"}}
	fields := document{"model": "m2"}
	got := r.newRoute(fields, "verdict", "/verdicts")
	want := route{name: "verdict", fields: document{"name": "verdict", "kind": "stream", "model": "m2"}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if len(r.defaults) != 2 || r.defaults["model"] != "m1" || len(fields) != 1 {
		t.Errorf("inputs were modified: %v and %v", r.defaults, fields)
	}
}

// Importing a file twice yields the same configuration as importing it once.
func TestImportIsIdempotent(t *testing.T) {
	existing := []any{document{"name": "a", "kind": "stream"}, document{"name": "b"}}
	routes := []route{{"c", document{"name": "c"}}, {"b", document{"name": "b", "model": "m"}}}
	imported := map[string]route{"b": routes[1], "c": routes[0]}
	once := mergeRoutes(existing, routes, imported)
	want := []any{existing[0], routes[1].fields, routes[0].fields}
	if !reflect.DeepEqual(once, want) {
		t.Errorf("got %v, want %v", once, want)
	}
	if twice := mergeRoutes(once, routes, imported); !reflect.DeepEqual(twice, once) {
		t.Errorf("the second import yields %v, want %v", twice, once)
	}
}
