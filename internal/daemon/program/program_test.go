package program

import (
	"io"
	"strings"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/mechanism"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/settings"
)

// parse reads a role's settings from args, with valid values for the settings that are required.
func parse(role Role, args ...string) error {
	var common settings.Common
	reader := settings.New(role.Name())
	reader.Warnings = io.Discard
	reader.Common(&common, role.NeedsDisk())
	role.AddSettings(reader, &common)
	needed := []string{"-zone", "a", "-peer", "127.0.0.1:1", "-http", "127.0.0.1:2", "-seeds", "127.0.0.1:3,127.0.0.1:4,127.0.0.1:5"}
	if role.NeedsDisk() {
		needed = append(needed, "-data", "/data")
	}
	return reader.Parse(append(needed, args...))
}

// Each role accepts its own settings, and the error names each setting that is out of bounds.
func TestSettingsOfRoles(t *testing.T) {
	cases := []struct {
		name  string
		role  Role
		args  []string
		fault string // part of the error; "" if the settings are valid
	}{
		{"core with defaults", NewCore(), nil, ""},
		{"core", NewCore(), []string{"-slots", "12", "-tolerance", "2", "-bootstrap"}, ""},
		{"core without shards", NewCore(), []string{"-slots", "0"}, "-slots 0"},
		{"core with a timeout below the minimum", NewCore(), []string{"-core-silent-us", "1"}, "-core-silent-us 1"},
		{"edge with defaults", NewEdge(), nil, ""},
		{"edge with the former name of a setting", NewEdge(), []string{"-scout-every-us", "100000"}, ""},
		{"edge with a data folder", NewEdge(), []string{"-data", "/data"}, "an edge stores nothing on disk"},
		{"edge with an unknown mechanism disabled", NewEdge(), []string{"-disable", "memory"}, `unknown mechanism "memory"`},
		{"store with defaults", NewStore(), nil, ""},
		{"store with an unknown mechanism disabled", NewStore(), []string{"-disable", "batch-memory,"}, `unknown mechanism ""`},
		{"store with zero items", NewStore(), []string{"-most-items", "0"}, "-most-items 0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := parse(c.role, c.args...)
			if c.fault == "" {
				if err != nil {
					t.Fatalf("valid settings were rejected: %v %q", err, errs.Of(err).Faults)
				}
				return
			}
			if err == nil || !strings.Contains(strings.Join(errs.Of(err).Faults, "\n"), c.fault) {
				t.Fatalf("error %v does not contain %q", err, c.fault)
			}
		})
	}
}

// Values given on the command line must reach the settings that the role is assembled with.
func TestParsedSettingsReachTheRole(t *testing.T) {
	edge := NewEdge()
	if err := parse(edge, "-scout-every-us", "100000", "-most-waiting", "7"); err != nil {
		t.Fatal(err)
	}
	if edge.settings.PollInterval != 100*clock.Millisecond || edge.maxQueued != 7 {
		t.Errorf("edge: poll interval %d, maximum queue length %d", edge.settings.PollInterval, edge.maxQueued)
	}
	store := NewStore()
	for role, disabled := range map[Role]*mechanism.Set{edge: &edge.settings.Scheduler.Disabled, store: &store.disabled} {
		if err := parse(role, "-disable", "batch-memory,retry-budget"); err != nil || !disabled.Has(mechanism.BatchMemory) || !disabled.Has(mechanism.RetryBudget) {
			t.Errorf("%s: disabled mechanisms %v, error %v", role.Name(), *disabled, err)
		}
	}
	core := NewCore()
	if err := parse(core, "-slots", "12", "-store-silent-us", "600000", "-bootstrap"); err != nil {
		t.Fatal(err)
	}
	if core.shards != 12 || core.settings.StoreTimeout != 600*clock.Millisecond || !core.settings.Bootstrap {
		t.Errorf("core: %d shards, settings %+v", core.shards, core.settings)
	}
}
