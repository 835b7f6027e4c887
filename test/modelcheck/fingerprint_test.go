package modelcheck

import (
	"reflect"
	"slices"
	"testing"

	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/replication"
)

// A field that was renamed would count as state again, and the search would take equal
// states for different ones. A name that two types have would leave a field out that
// decisions depend on.
func TestIgnoredFieldsExist(t *testing.T) {
	owners := map[string][]string{}
	for _, owner := range []reflect.Type{reflect.TypeFor[controlplane.Core](), reflect.TypeFor[replication.Groups]()} {
		collectFields(owner, map[reflect.Type]bool{}, owners)
	}
	for name := range ignoredFields {
		if len(owners[name]) != 1 {
			t.Errorf("the types %v have a field %s, not one of them: follow its new name, or give the others another one", owners[name], name)
		}
	}
}

// collectFields adds, by name, the fields of a struct type and of all that its values are
// made of or point to.
func collectFields(of reflect.Type, seen map[reflect.Type]bool, owners map[string][]string) {
	if seen[of] {
		return
	}
	seen[of] = true
	switch of.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		collectFields(of.Elem(), seen, owners)
	case reflect.Map:
		collectFields(of.Key(), seen, owners)
		collectFields(of.Elem(), seen, owners)
	case reflect.Struct:
		for i := range of.NumField() {
			field := of.Field(i)
			if !slices.Contains(owners[field.Name], of.String()) {
				owners[field.Name] = append(owners[field.Name], of.String())
			}
			collectFields(field.Type, seen, owners)
		}
	}
}
