package controlplane

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane/autoscale"
	"tuliprudder/internal/controlplane/primaryreport"
)

// autoscaledCluster returns a cluster with an autoscaled pool of six servers in each of two zones.
func autoscaledCluster(t *testing.T) *testCluster {
	t.Helper()
	settings := smallSettings()
	settings.Autoscale = true
	settings.ParseConfiguration = func([]byte) (*config.Configuration, error) {
		c := &config.Configuration{Pools: []config.Pool{{Name: "p", Servers: config.Selector{}, Autoscale: config.Autoscale{Min: 2, Max: 20}}}}
		c.Index()
		return c, nil
	}
	b := bootstrappedCluster(t, settings)
	for _, core := range b.cores {
		core.Do(ConfigurationInForce{Body: []byte(`{}`)}, b.now)
		for i := range 12 {
			core.Do(EndpointUpdated{Server: autoscale.Server{Name: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%2), Slots: 4, Serving: true}}, b.now)
		}
		core.Do(EndpointUpdated{Server: autoscale.Server{Name: "gone", Zone: "z2", Slots: 4, Serving: true}}, b.now)
		core.Do(EndpointRemoved{Name: "gone"}, b.now)
	}
	return b
}

// targetsForLoad has an edge report the number of busy slots once a second, and returns, by zone,
// the numbers of servers for which permits are granted.
func (b *testCluster) targetsForLoad(t *testing.T, seconds int, busy int64) map[string]int64 {
	t.Helper()
	out := map[string]int64{}
	for range seconds {
		b.call(b.primary(), primaryreport.Report{Daemon: "edge", Incarnation: 1, Loads: []autoscale.Load{{Pool: "p", Busy: busy * 1000}}})
		b.deliverAll()
		b.advance(clock.Second)
		for _, permit := range b.permits(t, nodeA) {
			target, err := autoscale.DecodeTarget(permit.Content)
			if err != nil || permit.Subject != autoscale.Subject(target.Service, target.Zone) {
				t.Fatalf("permit %+v: %v", permit, err)
			}
			out[target.Zone] = target.Desired
		}
	}
	return out
}

func TestSustainedLoadLeadsToScalingPermits(t *testing.T) {
	b := autoscaledCluster(t)
	if got := b.targetsForLoad(t, 10, 24); len(got) != 0 {
		t.Fatalf("scaling permits under normal load: %v, want none", got)
	}
	got := b.targetsForLoad(t, 12, 60)
	if len(got) != 2 || got["z0"] != 9 || got["z1"] != 9 {
		t.Errorf("scaling permits under sustained load: %v, want 9 servers in z0 and z1", got)
	}
}
