package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Maximum lengths of strings in bytes.
const (
	maxNameBytes  = 64
	maxLabelBytes = 128
)

// namePunctuation is allowed in names, besides ASCII letters and digits.
const namePunctuation = "-_."

// object reads the fields of one JSON object of a document. Its methods take a field's name,
// return the value or a default, and add a fault for each error they find.
type object struct {
	parser *parser
	path   string
	fields map[string]any // JSON of unknown shape: each field may have any type
}

// object checks that a value is an object with known fields only. It returns false if the value
// is not an object.
func (p *parser) object(path string, value any, known []string) (object, bool) {
	fields, ok := value.(map[string]any)
	if !ok {
		p.addFault(path, "must be an object", "")
		return object{}, false
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if !slices.Contains(known, name) {
			p.addFault(path+"."+name, "unknown field", fmt.Sprintf("remove it (known fields: %v)", known))
		}
	}
	return object{parser: p, path: path, fields: fields}, true
}

func (o object) pathOf(field string) string { return o.path + "." + field }

func (o object) has(field string) bool { return o.fields[field] != nil }

func (o object) addFault(field, problem, remedy string) {
	o.parser.addFault(o.pathOf(field), problem, remedy)
}

// require adds a fault if the field is missing.
func (o object) require(field, remedy string) {
	if !o.has(field) {
		o.addFault(field, "is missing", remedy)
	}
}

// objects calls read for each object of a list of at most limit entries.
func (o object) objects(field string, limit int, known []string, read func(element object)) {
	for i, value := range o.list(field, limit) {
		path := fmt.Sprintf("%s[%d]", o.pathOf(field), i)
		if element, ok := o.parser.object(path, value, known); ok {
			read(element)
		}
	}
}

func (o object) list(field string, limit int) []any {
	if !o.has(field) {
		return nil
	}
	list, ok := o.fields[field].([]any)
	if !ok {
		o.addFault(field, "must be a list", "")
	}
	if len(list) > limit {
		o.addFault(field, fmt.Sprintf("has %d entries", len(list)), fmt.Sprintf("keep to at most %d", limit))
	}
	return list
}

// text reads an optional string; "" if it is missing.
func (o object) text(field string, maxBytes int) string {
	if !o.has(field) {
		return ""
	}
	return o.parser.text(o.pathOf(field), o.fields[field], false, maxBytes)
}

// requiredText reads a string that must be neither missing nor empty.
func (o object) requiredText(field string, maxBytes int) string {
	if !o.has(field) {
		o.addFault(field, "is missing", "give a string")
		return ""
	}
	return o.parser.text(o.pathOf(field), o.fields[field], true, maxBytes)
}

func (p *parser) text(path string, value any, required bool, maxBytes int) string {
	text, ok := value.(string)
	switch {
	case !ok && value == nil:
		p.addFault(path, "is missing", "give a string")
	case !ok:
		p.addFault(path, "must be a string", "")
	case required && text == "":
		p.addFault(path, "is empty", "give a string")
	case len(text) > maxBytes:
		p.addFault(path, fmt.Sprintf("is longer than %d bytes", maxBytes), "shorten it")
	}
	return text
}

// name reads a required string that consists of characters allowed in names.
func (o object) name(field string) string {
	text := o.requiredText(field, maxNameBytes)
	if strings.ContainsFunc(text, func(r rune) bool { return !isNameRune(r) }) {
		o.addFault(field, fmt.Sprintf("%q has a character that is not allowed in names", text), "use letters, digits, - _ .")
	}
	return text
}

func isNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	default:
		return strings.ContainsRune(namePunctuation, r)
	}
}

// integerRange is the range of an integer field, with its default.
type integerRange struct {
	min, max     int64
	defaultValue int64 // if the field is missing or not an integer
}

func (o object) integer(field string, allowed integerRange) int64 {
	if !o.has(field) {
		return allowed.defaultValue
	}
	number, ok := o.fields[field].(float64)
	if !ok || number != float64(int64(number)) {
		o.addFault(field, fmt.Sprintf("must be a whole number from %d to %d", allowed.min, allowed.max), "")
		return allowed.defaultValue
	}
	integer := int64(number)
	if integer < allowed.min || integer > allowed.max {
		o.addFault(field, fmt.Sprintf("is %d", integer), fmt.Sprintf("give a whole number from %d to %d", allowed.min, allowed.max))
	}
	return integer
}

func (o object) labels(field string) Labels {
	if !o.has(field) {
		return Labels{}
	}
	fields, ok := o.fields[field].(map[string]any)
	if !ok {
		o.addFault(field, "must be an object of strings", "")
		return nil
	}
	out := Labels{}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		out[name] = o.parser.text(o.pathOf(field)+"."+name, fields[name], true, maxLabelBytes)
	}
	return out
}

// selector reads a required selector; nil if it is missing or not an object.
func (o object) selector(field string) Selector {
	if !o.has(field) {
		o.addFault(field, "is missing", "give labels to match, or {} for all")
		return nil
	}
	fields, ok := o.fields[field].(map[string]any)
	if !ok {
		o.addFault(field, "must be an object: label names with a string or a list of strings", "")
		return nil
	}
	out := Selector{}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if values := o.parser.selectorValues(o.pathOf(field)+"."+name, fields[name]); len(values) > 0 {
			out[name] = values
		}
	}
	return out
}

// selectorValues reads the values that one label may have: a string or a list of strings.
func (p *parser) selectorValues(path string, value any) []string {
	switch values := value.(type) {
	case string:
		return []string{values}
	case []any:
		if len(values) == 0 {
			p.addFault(path, "is empty and matches nothing", "give at least one value")
		}
		var out []string
		for i, element := range values {
			out = append(out, p.text(fmt.Sprintf("%s[%d]", path, i), element, true, maxLabelBytes))
		}
		return out
	default:
		p.addFault(path, "must be a string or a list of strings", "")
		return nil
	}
}
