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

// nilMarker is the encoding of a nil pointer, interface or error.
const nilMarker uint64 = 0x6e6f7468696e6721

// maxDepth limits the nesting of values, so that cyclic values are detected.
const maxDepth = 64

var errorType = reflect.TypeFor[error]()

// encoder appends the encodings of values to out, without the names of types and fields:
//
//   - numbers and booleans as 8 bytes, whatever their size or type
//   - strings and bytes, preceded by their length
//   - slices and arrays, preceded by their length; a nil slice is encoded as an empty one, as
//     it is on the wire
//   - maps likewise, sorted by encoded key
//   - structs as their fields in order without delimiters, so that embedding fields or moving
//     them into a nested struct does not change the encoding
//   - pointers as the value they point to, or as nilMarker
//   - values in an interface, preceded by a number for their type (ordinal)
//   - texts that only explain a decision (explanatoryFields) as a number for each distinct
//     text (ordinal)
//   - errors as their kind, retry delay and number of faults, because their texts may change
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

// ordinal returns a number that identifies a key independently of its name: keys are numbered in the
// order of their first occurrence in a run.
func ordinal[K comparable](known map[K]uint64, key K) uint64 {
	number, seen := known[key]
	if !seen {
		number = uint64(len(known))
		known[key] = number
	}
	return number
}

// value appends a value and everything it contains.
func (e *encoder) value(v reflect.Value, depth int) {
	if depth > maxDepth {
		panic(fmt.Sprintf("%s value is cyclic or nested too deeply", v.Type()))
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

// scalar appends a value that contains no others.
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
		panic(fmt.Sprintf("%s value cannot be part of a digest", v.Type()))
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

// mapEntry is a map entry with its encoded key.
type mapEntry struct {
	key   []byte
	value reflect.Value
}

// entries sorts a map by its keys before it encodes any value, because the ordinals assigned to
// values must not depend on the iteration order of the map.
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

// isError reports whether the static type of a value is an interface or pointer that implements
// error.
func isError(v reflect.Value) bool {
	return (v.Kind() == reflect.Interface || v.Kind() == reflect.Pointer) && v.Type().Implements(errorType)
}

// errorValue appends an error without its message.
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
