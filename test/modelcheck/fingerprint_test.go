package modelcheck

import (
	"reflect"
	"slices"
	"testing"

	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/replication"
)

// If an ignored field were renamed, it would be hashed again and the search would treat equal states
// as different. If two types had a field of that name, one that decisions depend on could be
// ignored.
func TestIgnoredFieldsExist(t *testing.T) {
	owners := map[string][]string{}
	for _, owner := range []reflect.Type{reflect.TypeFor[controlplane.Core](), reflect.TypeFor[replication.Groups]()} {
		collectFields(owner, map[reflect.Type]bool{}, owners)
	}
	for name := range ignoredFields {
		if len(owners[name]) != 1 {
			t.Errorf("the types %v have a field %s, want exactly one type: update ignoredFields if the field was renamed, or rename the field in the other types", owners[name], name)
		}
	}
}

// collectFields adds to owners, by name, the fields of a type and of all types that its values
// contain or point to.
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
