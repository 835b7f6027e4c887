package capacitymodel

import (
	"tuliprudder/internal/clock"
)

// partition isolates some daemons from all others for a span.
type partition struct {
	name     string
	start    clock.Micros // after counting began
	duration clock.Micros // 0: none
	isInside func(d *daemon) bool
}

// schedulePartitions isolates the last region and, after it, the last zone.
func (r *run) schedulePartitions() {
	settings := r.fleet.Settings
	regionDuration := settings.RegionPartitionSeconds * clock.Second
	lastRegion, lastZone := int(settings.Regions-1), int(settings.Zones-1)
	r.schedulePartition(partition{"a region", 3 * clock.Second, regionDuration,
		func(d *daemon) bool { return d.regionIndex == lastRegion }})
	r.schedulePartition(partition{"a zone", 8*clock.Second + regionDuration, settings.ZonePartitionSeconds * clock.Second,
		func(d *daemon) bool { return d.zoneIndex == lastZone }})
}

func (r *run) schedulePartition(p partition) {
	if p.duration <= 0 {
		return
	}
	f := r.fleet
	f.After(p.start, func() {
		r.logf("%s is isolated", p.name)
		f.isPartitioned = func(from, to *daemon) bool { return p.isInside(from) != p.isInside(to) }
	})
	f.After(p.start+p.duration, func() {
		stale, all := f.countStale(func(d *daemon) bool { return !p.isInside(d) })
		r.logf("%s is connected again; of the others %d of %d had stale updates", p.name, stale, all)
		f.isPartitioned = func(_, _ *daemon) bool { return false }
	})
}

// countStale counts the daemons among some whose updates are stale.
func (f *Fleet) countStale(include func(d *daemon) bool) (stale, all int) {
	for _, d := range f.daemons {
		if !d.up || !include(d) {
			continue
		}
		all++
		if f.Now-d.gossip.FreshUntil() > staleAfter {
			stale++
		}
	}
	return stale, all
}
