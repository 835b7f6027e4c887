package config

import (
	"slices"
	"strings"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

// withPool returns a document with one pool that has the given additional fields.
func withPool(fields string) []byte {
	return []byte(`{"classes":[{"name":"c","rank":1,"allowance":1}],"pools":[{"name":"p","labels":{"u":"x"},"servers":{"s":"1"}` + fields + `}],"routes":[]}`)
}

func TestParseAutoscale(t *testing.T) {
	for fields, want := range map[string]Autoscale{
		``: {},
		`,"autoscale":{"min":2,"max":9,"boot_us":4000000}`: {Min: 2, Max: 9, BootTime: 4 * clock.Second},
		`,"autoscale":{"min":3,"max":3}`:                   {Min: 3, Max: 3},
	} {
		configuration, err := Parse(withPool(fields))
		if err != nil {
			t.Fatalf("%s: %v", fields, errs.Of(err).Faults)
		}
		if got := configuration.Pools[0].Autoscale; got != want || got.IsEnabled() != (want.Max > 0) {
			t.Errorf("%s: parsed as %+v", fields, got)
		}
	}
	for fields, fault := range map[string]string{
		`,"autoscale":3`:                              "$.pools[0].autoscale: must be an object",
		`,"autoscale":{"max":3}`:                      "$.pools[0].autoscale.min: is missing",
		`,"autoscale":{"min":3}`:                      "$.pools[0].autoscale.max: is missing",
		`,"autoscale":{"min":4,"max":3}`:              "$.pools[0].autoscale.max: is less than min",
		`,"autoscale":{"min":0,"max":3}`:              "$.pools[0].autoscale.min: is 0",
		`,"autoscale":{"min":1,"max":3,"boot":1}`:     "$.pools[0].autoscale.boot: unknown field",
		`,"autoscale":{"min":1,"max":3,"boot_us":-1}`: "$.pools[0].autoscale.boot_us: is -1",
	} {
		_, err := Parse(withPool(fields))
		if err == nil || !strings.Contains(strings.Join(errs.Of(err).Faults, "\n"), fault) {
			t.Errorf("%s: reported %v", fields, err)
		}
	}
	if got := (Autoscale{Min: 2, Max: 5}); got.Clamp(1) != 2 || got.Clamp(3) != 3 || got.Clamp(9) != 5 {
		t.Error("Clamp does not return the nearest number within the bounds")
	}
}

func TestScaledPoolsOfRoutesAndServers(t *testing.T) {
	bounds := Autoscale{Min: 1, Max: 2}
	c := &Configuration{
		Pools: []Pool{
			{Name: "big", Labels: Labels{"u": "big"}, Servers: Selector{"s": {"big"}}, Autoscale: bounds},
			{Name: "small", Labels: Labels{"u": "small"}, Servers: Selector{"s": {"small"}}, Autoscale: bounds},
			{Name: "fixed", Labels: Labels{"u": "fixed"}, Servers: Selector{"s": {"fixed"}}},
		},
		Routes: []Route{
			{Name: "all", Pools: Selector{}},
			{Name: "one", Pools: Selector{"u": {"small", "fixed"}}},
			{Name: "split", Forward: &Forward{Split: []WeightedPools{{Pools: Selector{"u": {"big"}}, Weight: 1}, {Pools: Selector{"u": {"small"}}}}}},
		},
	}
	c.Index()
	for route, want := range map[string][]string{"all": {"big", "small"}, "one": {"small"}, "split": {"big"}} {
		entry, _ := c.Route(route)
		if got := c.ScaledPools(entry, nil); !slices.Equal(got, want) {
			t.Errorf("route %s: scaled pools are %q", route, got)
		}
		if got := c.ScaledPools(entry, Selector{"u": {"small"}}); !slices.Equal(got, []string{"small"}) {
			t.Errorf("route %s with a selector for pool small: scaled pools are %q", route, got)
		}
	}
	for label, want := range map[string]string{"big": "big", "fixed": "", "other": ""} {
		if got := c.ScaledPoolOf(Labels{"s": label}); got != want {
			t.Errorf("server with label %s: scaled pool is %q", label, got)
		}
	}
}
