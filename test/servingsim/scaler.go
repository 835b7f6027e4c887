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

// TargetChange is a number of servers that the planner wanted for a zone.
type TargetChange struct {
	After    clock.Micros // the start of the traffic
	Zone     string
	From, To int64
}

const (
	reportInterval = clock.Second             // between two reports of a daemon's load
	callTime       = 150 * clock.Millisecond  // from an act's proposal until the platform has it
	listDelay      = 1800 * clock.Millisecond // until a server's state is known to all daemons
	drainTime      = 4 * clock.Second         // of a server that leaves
)

// scaler is the planner of the servers' numbers, and the platform that starts and ends them.
type scaler struct {
	world   *World
	planner *autoscale.Planner
	table   exclusive.Table
	desired map[string]int64 // by zone, as the platform has it
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

// recordTargetChange records the planner's changes.
func (s *scaler) recordTargetChange(effect machine.Effect) {
	if event, ok := effect.(machine.LogEvent); ok {
		if change, ok := event.Event.(autoscale.TargetChanged); ok {
			s.world.Result.Changes = append(s.world.Result.Changes, TargetChange{After: s.world.now - s.world.startedAt, Zone: change.Zone, From: change.From, To: change.To})
		}
	}
}

// setEndpoint tells the planner a server's entry on the list.
func (s *scaler) setEndpoint(entry endpoints.Server) {
	if entry.Removed {
		s.planner.RemoveServer(entry.Name)
		return
	}
	s.planner.SetServer(autoscale.Server{
		Name: entry.Name, Labels: entry.Labels, Zone: entry.Labels["zone"], Slots: entry.Slots, Serving: !entry.Draining,
	})
}

// startReporting has a daemon startReporting its load, every second from some moment on.
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

// tick has the planner look at the load, and carries its acts out.
func (s *scaler) tick() {
	s.planner.Advance(&s.table, s.world.now)
	for _, act := range s.planner.Due(&s.table) {
		s.table.Apply(exclusive.Update{Grants: []exclusive.Grant{{Subject: act.Subject, Fence: 1, Acts: []exclusive.Act{act}}}})
		s.world.after(callTime, func() { s.perform(act) })
	}
	s.world.after(100*clock.Millisecond, s.tick)
}

// perform is the platform's part of an act.
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

// boot starts a server. It is paid for from now on, and serves later.
func (s *scaler) boot(zone string) {
	w := s.world
	s.added++
	added := w.newServer(fmt.Sprintf("server-added-%03d", s.added), zone)
	w.servers[added.name] = added
	w.after(w.Deployment.Autoscale.BootTime+listDelay, func() { s.publish(added) })
}

// drain has the newest server of a zone leave.
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

// publish tells all daemons a server's state.
func (s *scaler) publish(one *server) {
	entry := one.entry()
	s.setEndpoint(entry)
	s.world.notifyAll([]machine.Update{endpoints.ServerUpdate(entry, machine.Update{}, s.world.now)})
}
