package goldenjson

import (
	"reflect"
	"strings"
)

// Key is the key that encoding/json writes a field under; false where it writes none.
func Key(field reflect.StructField) (key string, written bool) {
	tag := field.Tag.Get("json")
	if !field.IsExported() || tag == "-" {
		return "", false
	}
	key, _, _ = strings.Cut(tag, ",")
	if key == "" {
		key = field.Name
	}
	return key, true
}

// WithoutKey lists the fields below a type that encoding/json writes under their Go name,
// because no tag says the key. Fields of embedded structs count as their own.
func WithoutKey(root reflect.Type) []string {
	w := walk{seen: map[reflect.Type]bool{}}
	w.visit(root)
	return w.missing
}

type walk struct {
	seen    map[reflect.Type]bool
	missing []string
}

func (w *walk) visit(t reflect.Type) {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		w.visit(t.Elem())
	case reflect.Struct:
		w.visitStruct(t)
	}
}

func (w *walk) visitStruct(t reflect.Type) {
	if w.seen[t] {
		return
	}
	w.seen[t] = true
	for i := range t.NumField() {
		field := t.Field(i)
		_, written := Key(field)
		if !written {
			continue
		}
		key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if key == "" && !field.Anonymous {
			w.missing = append(w.missing, t.String()+"."+field.Name)
		}
		w.visit(field.Type)
	}
}
