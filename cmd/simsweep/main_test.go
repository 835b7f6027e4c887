package main

import (
	"slices"
	"testing"
)

func TestFleetShape(t *testing.T) {
	numbers := options{zones: 3, cores: 3, stores: 4, edges: 2, shards: 8, tolerance: 1, coreZones: "2,1", storeZones: "2, 1, 1"}
	size, err := numbers.fleetShape()
	if err != nil || !slices.Equal(size.CoreZones, []int{2, 1}) || !slices.Equal(size.StoreZones, []int{2, 1, 1}) {
		t.Errorf("shape from counts: %+v, error %v", size, err)
	}
	if size, err := (options{shape: "five"}).fleetShape(); err != nil || size.Cores != 5 || size.Tolerance != 2 {
		t.Errorf("shape five: %+v, error %v", size, err)
	}
	for name, bad := range map[string]options{
		"unknown shape":                                {shape: "eleven"},
		"counts that are not numbers":                  {zones: 3, cores: 3, stores: 3, coreZones: "two,one"},
		"zone counts that do not add up to the stores": {zones: 3, cores: 3, stores: 3, storeZones: "1,1"},
	} {
		if _, err := bad.fleetShape(); err == nil {
			t.Errorf("%s: accepted as a shape", name)
		}
	}
}
