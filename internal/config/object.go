package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Lengths of texts in bytes.
const (
	maxNameBytes  = 64
	maxLabelBytes = 128
)

// namePunctuation may stand in names beside ASCII letters and digits.
const namePunctuation = "-_."

// object reads the fields of one JSON object of a document. The readers take a field's
// name, return its value or a default, and add a fault for each thing that is wrong.
type object struct {
	parser *parser
	path   string
	fields map[string]any // JSON of unknown shape: each field may have any type
}

// object checks that a value is an object with known fields only; false where it is
// no object.
func (p *parser) object(path string, value any, known []string) (object, bool) {
	fields, ok := value.(map[string]any)
	if !ok {
		p.addFault(path, "must be an object", "")
		return object{}, false
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if !slices.Contains(known, name) {
			p.addFault(path+"."+name, "unknown field", fmt.Sprintf("leave it out (known here: %v)", known))
		}
	}
	return object{parser: p, path: path, fields: fields}, true
}

func (o object) pathOf(field string) string { return o.path + "." + field }

func (o object) has(field string) bool { return o.fields[field] != nil }

func (o object) addFault(field, problem, remedy string) {
	o.parser.addFault(o.pathOf(field), problem, remedy)
}

// require adds a fault where the field is missing.
func (o object) require(field, remedy string) {
	if !o.has(field) {
		o.addFault(field, "is missing", remedy)
	}
}

// objects calls read for each object of a list of at most so many.
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

// text is an optional text; "" where it is missing.
func (o object) text(field string, maxBytes int) string {
	if !o.has(field) {
		return ""
	}
	return o.parser.text(o.pathOf(field), o.fields[field], false, maxBytes)
}

// requiredText is a text that may be neither missing nor empty.
func (o object) requiredText(field string, maxBytes int) string {
	if !o.has(field) {
		o.addFault(field, "is missing", "give a text")
		return ""
	}
	return o.parser.text(o.pathOf(field), o.fields[field], true, maxBytes)
}

func (p *parser) text(path string, value any, required bool, maxBytes int) string {
	text, ok := value.(string)
	switch {
	case !ok && value == nil:
		p.addFault(path, "is missing", "give a text")
	case !ok:
		p.addFault(path, "must be a text", "")
	case required && text == "":
		p.addFault(path, "is empty", "give a text")
	case len(text) > maxBytes:
		p.addFault(path, fmt.Sprintf("is longer than %d bytes", maxBytes), "shorten it")
	}
	return text
}

// name is a required text of characters that names may have.
func (o object) name(field string) string {
	text := o.requiredText(field, maxNameBytes)
	if strings.ContainsFunc(text, func(r rune) bool { return !isNameRune(r) }) {
		o.addFault(field, fmt.Sprintf("%q has a character that names may not have", text), "use letters, digits, - _ .")
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

// integerRange is what a whole number may be.
type integerRange struct {
	min, max     int64
	defaultValue int64 // where the field is missing
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
		o.addFault(field, "must be an object of texts", "")
		return nil
	}
	out := Labels{}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		out[name] = o.parser.text(o.pathOf(field)+"."+name, fields[name], true, maxLabelBytes)
	}
	return out
}

// selector is a required selector; nil where it is missing or no object.
func (o object) selector(field string) Selector {
	if !o.has(field) {
		o.addFault(field, "is missing", "give labels to match, or {} for all")
		return nil
	}
	fields, ok := o.fields[field].(map[string]any)
	if !ok {
		o.addFault(field, "must be an object: label names with a text or a list of texts", "")
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

// selectorValues reads the values that one label may have: a text or a list of texts.
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
		p.addFault(path, "must be a text or a list of texts", "")
		return nil
	}
}
