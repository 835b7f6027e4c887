package servingsim

import (
	"fmt"
	"maps"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/autoscale"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/machine"
)

// TargetChange is a change of a zone's target number of servers by the planner.
type TargetChange struct {
	After    clock.Micros // since the start of the traffic
	Zone     string
	From, To int64
}

const (
	reportInterval = clock.Second             // between a daemon's load reports
	callTime       = 150 * clock.Millisecond  // from the proposal of an act until the platform has received it
	listDelay      = 1800 * clock.Millisecond // until all daemons know a server's new state
	drainTime      = 4 * clock.Second         // from when the daemons know that a server drains until it ends
)

// scaler combines the autoscaling planner with a simulated platform that starts and ends servers.
type scaler struct {
	world   *World
	planner *autoscale.Planner
	table   exclusive.Table
	desired map[string]int64 // target number by zone, as known to the platform
	added   int
}

func newScaler(w *World) *scaler {
	s := &scaler{world: w, desired: map[string]int64{}}
	s.planner = autoscale.New(s.recordTargetChange)
	configuration, _ := w.configuration(nil)
	s.planner.SetConfiguration(configuration)
	s.planner.Start(w.now)
	for _, name := range slices.Sorted(maps.Keys(w.servers)) {
		s.desired[w.servers[name].zone]++
		s.setEndpoint(w.servers[name].entry())
	}
	for _, e := range w.edges {
		s.startReporting(e.id, e.zone, e.machine.Scheduler)
	}
	for _, one := range w.stores {
		s.startReporting(one.id, one.zone, one.scheduler)
	}
	s.tick()
	return s
}

// recordTargetChange adds the planner's target changes to the result.
func (s *scaler) recordTargetChange(effect machine.Effect) {
	if event, ok := effect.(machine.LogEvent); ok {
		if change, ok := event.Event.(autoscale.TargetChanged); ok {
			s.world.Result.Changes = append(s.world.Result.Changes, TargetChange{After: s.world.now - s.world.startedAt, Zone: change.Zone, From: change.From, To: change.To})
		}
	}
}

// setEndpoint passes a server's list entry to the planner.
func (s *scaler) setEndpoint(entry endpoints.Server) {
	if entry.Removed {
		s.planner.RemoveServer(entry.Name)
		return
	}
	s.planner.SetServer(autoscale.Server{
		Name: entry.Name, Labels: entry.Labels, Zone: entry.Labels["zone"], Slots: entry.Slots, Serving: !entry.Draining,
	})
}

// startReporting makes a daemon report its load every reportInterval, from a random offset on.
func (s *scaler) startReporting(id, zone string, from *scheduler.Scheduler) {
	w := s.world
	var send func()
	send = func() {
		var loads []autoscale.Load
		for _, load := range from.TakeLoads(w.now) {
			loads = append(loads, autoscale.Load(load))
		}
		w.after(w.oneWay(zone, zoneName(0)), func() {
			s.planner.Receive(autoscale.Reporter{Daemon: id, Incarnation: 1}, loads, w.now)
		})
		w.after(reportInterval, send)
	}
	w.after(clock.Micros(w.random.Int63n(int64(reportInterval))), send)
}

// tick lets the planner evaluate the load, and proposes the acts that are due.
func (s *scaler) tick() {
	s.planner.Advance(&s.table, s.world.now)
	for _, act := range s.planner.Due(&s.table) {
		s.table.Apply(exclusive.Update{Grants: []exclusive.Grant{{Subject: act.Subject, Fence: 1, Acts: []exclusive.Act{act}}}})
		s.world.after(callTime, func() { s.perform(act) })
	}
	s.world.after(100*clock.Millisecond, s.tick)
}

// perform is the platform's side of an act: it starts or drains servers until the target is met.
func (s *scaler) perform(act exclusive.Act) {
	s.table.Apply(exclusive.Update{Settlements: []exclusive.Settlement{{Subject: act.Subject, Numbers: []uint64{act.Number}}}})
	target, err := autoscale.DecodeTarget(act.Content)
	if err != nil {
		panic(err)
	}
	for s.desired[target.Zone] < target.Desired {
		s.desired[target.Zone]++
		s.boot(target.Zone)
	}
	for s.desired[target.Zone] > target.Desired {
		s.desired[target.Zone]--
		s.drain(target.Zone)
	}
}

// boot starts a server. Its cost counts at once; it serves requests only after the boot time.
func (s *scaler) boot(zone string) {
	w := s.world
	s.added++
	added := w.newServer(fmt.Sprintf("server-added-%03d", s.added), zone)
	w.servers[added.name] = added
	w.after(w.Deployment.Autoscale.BootTime+listDelay, func() { s.publish(added) })
}

// drain starts draining the newest server of a zone, which ends later.
func (s *scaler) drain(zone string) {
	w := s.world
	var newest *server
	for _, name := range slices.Sorted(maps.Keys(w.servers)) {
		one := w.servers[name]
		if one.zone == zone && !one.draining && (newest == nil || one.startedAt >= newest.startedAt) {
			newest = one
		}
	}
	newest.draining = true
	w.after(listDelay, func() { s.publish(newest) })
	w.after(listDelay+drainTime, func() {
		newest.endedAt = w.now
		s.publish(newest)
	})
}

// publish announces a server's state to the planner and all daemons.
func (s *scaler) publish(one *server) {
	entry := one.entry()
	s.setEndpoint(entry)
	s.world.notifyAll([]machine.Update{endpoints.ServerUpdate(entry, machine.Update{}, s.world.now)})
}
