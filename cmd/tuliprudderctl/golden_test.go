package main

import (
	"testing"

	"tuliprudder/test/goldenjson"
)

// The answers of the daemons are read by the keys that they are written under.
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
