package roles

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil/promlint"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/daemon/host"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/httpserver"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/settings"
	"tuliprudder/test/goldenjson"
)

// testPeer is an address that nothing listens on: these tests make daemons but don't start them.
const testPeer = "127.0.0.1:1"

func newDaemon(t *testing.T, kind, dataDir string) *host.Daemon {
	t.Helper()
	common := settings.Common{Zone: "zone-a", Peer: testPeer, HTTP: testPeer, Seeds: []string{testPeer}, DataDir: dataDir}
	d, err := host.New(membership.Role(kind), kind, common, host.Limits{MaxOpenRequests: 1, MaxBodyBytes: 1})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func newEdgeDaemon(t *testing.T) *host.Daemon {
	t.Helper()
	d := newDaemon(t, membership.Edge, "")
	NewEdge(d, machines.EdgeDefaults())
	return d
}

func newStoreDaemon(t *testing.T) *host.Daemon {
	t.Helper()
	d := newDaemon(t, membership.Store, t.TempDir())
	if _, err := NewStore(d, batchstore.Defaults()); err != nil {
		t.Fatal(err)
	}
	return d
}

func newCoreDaemon(t *testing.T) (*host.Daemon, *controlplane.Core) {
	t.Helper()
	d := newDaemon(t, membership.Core, t.TempDir())
	cfg := controlplane.Defaults()
	cfg.Bootstrap, cfg.Founders, cfg.Tolerance = true, 1, 0
	cfg.Usage.Interval = clock.Second
	core, err := NewCore(d, cfg, nil)
	if err != nil {
		t.Fatal(err)
	}
	return d, core
}

// bootstrapSingleCore lets the only core of a cluster form it and become primary, in simulated
// time that ends at the daemon's current time. Writes are durable at once.
func bootstrapSingleCore(t *testing.T, d *host.Daemon, core *controlplane.Core) {
	t.Helper()
	now := d.Loop.Now() - 30*clock.Second
	var execute func(effects []machine.Effect)
	execute = func(effects []machine.Effect) {
		for _, effect := range effects {
			switch e := effect.(type) {
			case machine.Persist:
				execute(core.Do(controlplane.Persisted{Token: e.Token}, now))
			case machine.Send:
				if e.To == testPeer {
					execute(core.Do(controlplane.Message{From: testPeer, Body: e.Body}, now))
				}
			}
		}
	}
	for ; now < d.Loop.Now(); now += 20 * clock.Millisecond {
		execute(core.Do(controlplane.FreshnessAdvanced{At: now}, now))
		execute(core.Do(controlplane.Tick{}, now))
	}
	if !core.IsServing() {
		t.Fatal("the only core did not become primary")
	}
}

// handlers holds the handlers of a daemon, by method and path.
type handlers map[string]httpserver.Handler

func (h handlers) Handle(method, path string, handle httpserver.Handler) {
	h[method+" "+path] = handle
}

func get(t *testing.T, d *host.Daemon, path string) *httptest.ResponseRecorder {
	t.Helper()
	routes := handlers{}
	d.Admin.Routes(routes)
	recorder := httptest.NewRecorder()
	if err := routes["GET "+path](recorder, httptest.NewRequest(http.MethodGet, path, nil)); err != nil {
		t.Fatal(err)
	}
	return recorder
}

// counterKeys returns the sorted keys of a daemon's JSON document of counters, one per line.
func counterKeys(t *testing.T, d *host.Daemon) []byte {
	t.Helper()
	var counters map[string]int64
	if err := json.Unmarshal(get(t, d, "/counters").Body.Bytes(), &counters); err != nil {
		t.Fatal(err)
	}
	var keys []string
	for key := range counters {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return []byte(strings.Join(keys, "\n"))
}

// The counter keys of each role must stay the same from release to release: operators' tools
// read them.
func TestCounterKeysPerRole(t *testing.T) {
	for role, newRole := range map[string]func(t *testing.T) *host.Daemon{
		"edge":  newEdgeDaemon,
		"store": newStoreDaemon,
		"core": func(t *testing.T) *host.Daemon {
			d, _ := newCoreDaemon(t)
			return d
		},
		"primary_core": func(t *testing.T) *host.Daemon {
			d, core := newCoreDaemon(t)
			bootstrapSingleCore(t, d, core)
			return d
		},
	} {
		t.Run(role, func(t *testing.T) {
			if err := goldenjson.CheckBytes(filepath.Join("testdata", "counters", role+".txt"), counterKeys(t, newRole(t))); err != nil {
				t.Error(err)
			}
		})
	}
}

// The names in the text format must follow the Prometheus conventions, and the names and types
// of each role must be those of the golden files.
func TestPrometheusMetricsPerRole(t *testing.T) {
	primary, core := newCoreDaemon(t)
	bootstrapSingleCore(t, primary, core)
	for role, d := range map[string]*host.Daemon{"edge": newEdgeDaemon(t), "store": newStoreDaemon(t), "primary_core": primary} {
		t.Run(role, func(t *testing.T) {
			text := get(t, d, "/metrics").Body.String()
			problems, err := promlint.New(strings.NewReader(text)).Lint()
			if err != nil || len(problems) > 0 {
				t.Errorf("lint: error %v, problems %v", err, problems)
			}
			var types []string
			for _, line := range strings.Split(text, "\n") {
				if metric, ok := strings.CutPrefix(line, "# TYPE "); ok {
					types = append(types, metric)
				}
			}
			if err := goldenjson.CheckBytes(filepath.Join("testdata", "metrics", role+".txt"), []byte(strings.Join(types, "\n"))); err != nil {
				t.Error(err)
			}
		})
	}
}
