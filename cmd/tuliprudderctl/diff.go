package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// document is a configuration decoded as generic JSON, so that fields unknown to this release are
// compared, too.
type document = map[string]any

// entrySections are the configuration sections that are lists of named entries; sectionScorers is
// compared as a whole. The keys are those of the first release.
var entrySections = []string{"classes", "customers", "pools", "routes"}

const sectionScorers = "judges"

// diffDocuments lists the differences between two configurations: + added, - removed, ~ changed,
// the last followed by a line for each changed field.
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

// keyFields are the fields that hold a tenant's API keys, whose values are never printed.
var keyFields = []string{"key", "keys"}

// diffEntries compares two entries of the same name; nil means that the entry does not exist.
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

// entriesByName indexes the entries of a section by name and skips values that are not objects.
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

// unionOfKeys returns the keys that are in either map, sorted and without duplicates.
func unionOfKeys[V any](a, b map[string]V) []string {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(keys)
	return slices.Compact(keys)
}
