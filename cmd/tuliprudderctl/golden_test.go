package main

import (
	"testing"

	"tuliprudder/test/goldenjson"
)

// Decoding uses the JSON keys under which the daemons write their responses.
func TestGoldenJSON(t *testing.T) {
	for name, pointer := range map[string]any{
		"daemon.json":            &member{},
		"map.json":               &clusterMap{},
		"version.json":           &configurationVersion{},
		"server.json":            &endpoint{},
		"draining_change.json":   &drainingChange{},
		"retirement.json":        &retirement{},
		"retirement_change.json": &retirementChange{},
		"act_subject.json":       &actSubject{},
	} {
		if err := goldenjson.Check("testdata/golden/"+name, pointer); err != nil {
			t.Errorf("%T: %v", pointer, err)
		}
	}
}
