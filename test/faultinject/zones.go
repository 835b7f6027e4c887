package faultinject

import "time"

// namesInZone are the daemons and servers of a zone.
func (s *scenario) namesInZone(zone string) []string {
	var names []string
	for _, name := range s.fleet.Names("") {
		if s.fleet.Get(name).Zone == zone {
			names = append(names, name)
		}
	}
	return names
}

// crashZone kills every daemon and server of a zone, and starts them again.
func (s *scenario) crashZone(zone string, downtime time.Duration) error {
	names := s.namesInZone(zone)
	for _, name := range names {
		s.fleet.Kill(name)
	}
	s.wait(downtime)
	return s.startAll(names)
}

// wipeZone does the same, and has the zone's stores lose their disks.
func (s *scenario) wipeZone(zone string, downtime time.Duration) error {
	names := s.namesInZone(zone)
	for _, name := range names {
		s.fleet.Kill(name)
		if s.fleet.Get(name).Kind != "store" {
			continue
		}
		if err := s.fleet.Wipe(name); err != nil {
			return err
		}
	}
	s.wait(downtime)
	return s.startAll(names)
}

func (s *scenario) startAll(names []string) error {
	for _, name := range names {
		if err := s.fleet.StartDaemon(name); err != nil {
			return err
		}
	}
	return nil
}

// partitionZone blocks every link between a zone and the others for a span; its daemons run on.
func (s *scenario) partitionZone(zone string, span time.Duration) error {
	setBlocked := func(blocked bool) {
		for _, one := range s.namesInZone(zone) {
			for _, other := range s.fleet.Names("") {
				if s.fleet.Get(other).Zone != zone {
					s.fleet.SetPartitioned(one, other, blocked)
				}
			}
		}
	}
	setBlocked(true)
	s.wait(span)
	setBlocked(false)
	return nil
}
