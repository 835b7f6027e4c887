package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// document is a configuration as decoded JSON: it is compared field by field, also those
// that this release does not know.
type document = map[string]any

// entrySections are the parts of a configuration that are lists of entries with names;
// sectionScorers is compared as one. The keys are those of the first release.
var entrySections = []string{"classes", "customers", "pools", "routes"}

const sectionScorers = "judges"

// diffDocuments lists what changes from one configuration to another: + added, - removed,
// ~ changed, with a line for each field.
func diffDocuments(from, to document) []string {
	var lines []string
	for _, section := range entrySections {
		before, after := entriesByName(from[section]), entriesByName(to[section])
		for _, name := range unionOfKeys(before, after) {
			lines = append(lines, diffEntries(section+" "+name, before[name], after[name])...)
		}
	}
	if !reflect.DeepEqual(from[sectionScorers], to[sectionScorers]) {
		lines = append(lines, "~ "+sectionScorers)
	}
	return lines
}

// keyFields are the fields with a tenant's keys, which no list or diff shows.
var keyFields = []string{"key", "keys"}

// diffEntries compares two entries of one name; nil is none.
func diffEntries(name string, before, after document) []string {
	switch {
	case before == nil:
		return []string{"+ " + name}
	case after == nil:
		return []string{"- " + name}
	case reflect.DeepEqual(before, after):
		return nil
	}
	lines := []string{"~ " + name}
	for _, field := range unionOfKeys(before, after) {
		if reflect.DeepEqual(before[field], after[field]) {
			continue
		}
		if slices.Contains(keyFields, field) {
			lines = append(lines, "    "+field+" changes")
			continue
		}
		from, _ := json.Marshal(before[field])
		to, _ := json.Marshal(after[field])
		lines = append(lines, fmt.Sprintf("    %s: %s -> %s", field, from, to))
	}
	return lines
}

// entriesByName gives the entries of a section by name; what is no entry is left out.
func entriesByName(section any) map[string]document {
	entries := map[string]document{}
	list, _ := section.([]any)
	for _, entry := range list {
		if fields, ok := entry.(document); ok {
			name, _ := fields["name"].(string)
			entries[name] = fields
		}
	}
	return entries
}

// unionOfKeys is the keys of two maps, sorted.
func unionOfKeys[V any](a, b map[string]V) []string {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(keys)
	return slices.Compact(keys)
}
