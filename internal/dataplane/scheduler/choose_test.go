package scheduler

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
)

// No request is assigned to a server that is draining, removed, unhealthy, full or in backoff, has
// other weights or is outside the pool, nor to any server while the daemon's updates are stale.
func TestNothingIsAssignedToAnExcludedServer(t *testing.T) {
	for name, change := range map[string]func(*fixture){
		"draining":  func(f *fixture) { s := newServer("s", 4); s.Draining = true; f.SetServer(s) },
		"removed":   func(f *fixture) { s := newServer("s", 4); s.Removed = true; f.SetServer(s) },
		"unhealthy": func(f *fixture) { f.SetLoad("s", 1, endpoints.Load{ReadAt: f.now, Healthy: false}) },
		"full": func(f *fixture) {
			f.SetLoad("s", 1, endpoints.Load{ReadAt: f.now, Healthy: true, Running: 4, Waiting: 2})
		},
		"weights":     func(f *fixture) { s := newServer("s", 4); s.Labels["weights"] = "w2"; f.SetServer(s) },
		"other pool":  func(f *fixture) { s := newServer("s", 4); s.Labels["fleet"] = "other"; f.SetServer(s) },
		"old updates": func(f *fixture) { f.now += 2600 * clock.Millisecond },
		"in backoff":  func(f *fixture) { f.Scheduler.servers["s"].backoffUntil = f.now + 1 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newServer("s", 4))
			change(f)
			f.submit("x", 1, nil)
			f.requireNoAssignment(t, name)
		})
	}
	f := newFixture(t, newServer("s", 4))
	f.submit("x", 1, nil)
	f.Match(f.now)
	if got := <-f.started; got != "x@s" {
		t.Fatalf("with no reason to exclude the server: %s", got)
	}
}

// Neither prefix affinity nor an outdated load report makes all requests go to one server:
// this daemon's own assignments count immediately.
func TestAffinityDoesNotOverloadOneServer(t *testing.T) {
	f := newFixture(t, newServer("s1", 8), newServer("s2", 8), newServer("s3", 8))
	for i := 0; i < 18; i++ {
		f.submit(fmt.Sprint(i), 1, func(r *Request) { r.Prefix = "same" })
	}
	f.Match(f.now)
	got := map[string]int{}
	for i := 0; i < 18; i++ {
		name := <-f.started
		got[name[len(name)-2:]]++
	}
	for name, count := range got {
		if count > 9 {
			t.Fatalf("%s got %d of 18: %v", name, count, got)
		}
	}
	if len(got) != 3 {
		t.Fatalf("the requests went to %v, not to 3 servers", got)
	}
}
