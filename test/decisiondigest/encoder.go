package decisiondigest

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"reflect"
	"slices"

	"tuliprudder/internal/errs"
)

// nilMarker stands for a nil pointer or interface.
const nilMarker uint64 = 0x6e6f7468696e6721

// maxDepth is how far values may be nested; a value that points back at itself is deeper.
const maxDepth = 64

var errorType = reflect.TypeFor[error]()

// encoder writes values out one after the other, without the names of types and fields:
//
//   - numbers and booleans as 8 bytes, whatever their size or type is
//   - texts and bytes with their length before them
//   - slices and arrays with their length before them; a nil slice is an empty one, as it
//     is on the wire
//   - maps likewise, sorted by their encoded keys
//   - structs as their fields in order with nothing around them: to embed fields, or to
//     put them into a struct of their own, changes nothing
//   - pointers as what they point to, or as nilNumber
//   - values in an interface with a number for their type before them (ordinal)
//   - texts that only restate a decision as a number for each different text (ordinal)
//   - errors by their kind, by when to retry and by how many faults they list: their
//     texts may change
type encoder struct {
	out         []byte
	explanatory textFields
	types       map[reflect.Type]uint64
	texts       map[string]uint64
}

func newEncoder(explanatory textFields) encoder {
	return encoder{explanatory: explanatory, types: map[reflect.Type]uint64{}, texts: map[string]uint64{}}
}

func (e *encoder) number(n uint64) { e.out = binary.LittleEndian.AppendUint64(e.out, n) }

func (e *encoder) text(text string) {
	e.number(uint64(len(text)))
	e.out = append(e.out, text...)
}

// ordinal distinguishes keys without their names: they are numbered in the order in which they
// first come up in a run.
func ordinal[K comparable](known map[K]uint64, key K) uint64 {
	number, seen := known[key]
	if !seen {
		number = uint64(len(known))
		known[key] = number
	}
	return number
}

// value appends a value with all that it holds.
func (e *encoder) value(v reflect.Value, depth int) {
	if depth > maxDepth {
		panic(fmt.Sprintf("a %s points back at itself", v.Type()))
	}
	if isError(v) {
		e.errorValue(v)
		return
	}
	switch v.Kind() {
	case reflect.Slice, reflect.Array:
		e.elements(v, depth)
	case reflect.Map:
		e.entries(v, depth)
	case reflect.Struct:
		e.fields(v, depth)
	case reflect.Pointer:
		if v.IsNil() {
			e.number(nilMarker)
			return
		}
		e.value(v.Elem(), depth+1)
	case reflect.Interface:
		if v.IsNil() {
			e.number(nilMarker)
			return
		}
		e.number(ordinal(e.types, v.Elem().Type()))
		e.value(v.Elem(), depth+1)
	default:
		e.scalar(v)
	}
}

// scalar appends a value that holds no other.
func (e *encoder) scalar(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		e.boolean(v.Bool())
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		e.number(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		e.number(v.Uint())
	case reflect.Float32, reflect.Float64:
		e.number(math.Float64bits(v.Float()))
	case reflect.String:
		e.text(v.String())
	default:
		panic(fmt.Sprintf("a %s can't be part of a digest", v.Type()))
	}
}

func (e *encoder) boolean(b bool) {
	if b {
		e.number(1)
	} else {
		e.number(0)
	}
}

func (e *encoder) elements(v reflect.Value, depth int) {
	e.number(uint64(v.Len()))
	if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Uint8 {
		e.out = append(e.out, v.Bytes()...)
		return
	}
	for i := range v.Len() {
		if v.Type().Elem().Kind() == reflect.Uint8 {
			e.out = append(e.out, byte(v.Index(i).Uint()))
			continue
		}
		e.value(v.Index(i), depth+1)
	}
}

func (e *encoder) fields(v reflect.Value, depth int) {
	explanatory := e.explanatory[v.Type()]
	for i := range v.NumField() {
		if slices.Contains(explanatory, i) {
			e.number(ordinal(e.texts, v.Field(i).String()))
			continue
		}
		e.value(v.Field(i), depth+1)
	}
}

// mapEntry is an entry of a map with its key encoded.
type mapEntry struct {
	key   []byte
	value reflect.Value
}

// entries sorts by the keys before it encodes any value: the ordinals given on the way must not
// depend on the order in which Go iterates over a map.
func (e *encoder) entries(v reflect.Value, depth int) {
	entries := make([]mapEntry, 0, v.Len())
	for each := v.MapRange(); each.Next(); {
		key := encoder{}
		key.value(each.Key(), depth+1)
		entries = append(entries, mapEntry{key.out, each.Value()})
	}
	slices.SortFunc(entries, func(a, b mapEntry) int { return bytes.Compare(a.key, b.key) })
	e.number(uint64(len(entries)))
	for _, entry := range entries {
		e.out = append(e.out, entry.key...)
		e.value(entry.value, depth+1)
	}
}

// isError says whether a value is an error, or an interface that holds one.
func isError(v reflect.Value) bool {
	return (v.Kind() == reflect.Interface || v.Kind() == reflect.Pointer) && v.Type().Implements(errorType)
}

// errorValue appends an error without its text.
func (e *encoder) errorValue(v reflect.Value) {
	if v.IsNil() {
		e.number(nilMarker)
		return
	}
	typed := errs.Of(v.Interface().(error))
	e.text(string(typed.Kind))
	e.number(uint64(typed.RetryAfterUS))
	e.number(uint64(len(typed.Faults)))
}
