package faultinject

import (
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

func (s *scenario) crash(choose chooseDaemon, downtime time.Duration, wipe bool) error {
	name, err := choose()
	if err != nil {
		return err
	}
	s.fleet.Kill(name)
	if wipe {
		if err := s.fleet.Wipe(name); err != nil {
			return err
		}
	}
	s.wait(downtime)
	return s.fleet.StartDaemon(name)
}

func (s *scenario) pause(choose chooseDaemon, span time.Duration) error {
	name, err := choose()
	if err != nil {
		return err
	}
	s.fleet.Pause(name)
	s.wait(span)
	s.fleet.Resume(name)
	return nil
}

func (s *scenario) drain(choose chooseDaemon) error {
	name, err := choose()
	if err != nil {
		return err
	}
	s.fleet.Drain(name)
	s.wait(time.Second)
	return s.fleet.StartDaemon(name)
}

func (s *scenario) replace(choose chooseDaemon) error {
	name, err := choose()
	if err != nil {
		return err
	}
	s.fleet.Kill(name)
	if err := s.fleet.Wipe(name); err != nil {
		return err
	}
	_, err = s.fleet.Replace(name, name+"b")
	return err
}

func (s *scenario) partition(choose chooseDaemon, span time.Duration) error {
	name, err := choose()
	if err != nil {
		return err
	}
	s.fleet.SetIsolated(name, true)
	s.wait(span)
	s.fleet.SetIsolated(name, false)
	return nil
}

// restartAll kills all daemons of a kind at once and starts them again.
func (s *scenario) restartAll(kind string) error {
	names := s.fleet.Names(kind)
	for _, name := range names {
		s.fleet.Kill(name)
	}
	s.wait(time.Second)
	return s.startAll(names)
}

func (s *scenario) restartAllCores() error { return s.restartAll("core") }

func (s *scenario) restartAllStores() error { return s.restartAll("store") }

// stallDisk has the disk of the busiest store sync nothing for a span: its build looks for a
// file of this name.
func (s *scenario) stallDisk(span time.Duration) error {
	name, err := s.busiestStore()
	if err != nil {
		return err
	}
	stallFile := filepath.Join(s.fleet.Get(name).Data, "STALL")
	if err := os.WriteFile(stallFile, nil, 0o644); err != nil {
		return errors.Wrap(err, "stalling a disk")
	}
	s.wait(span)
	return errors.Wrap(os.Remove(stallFile), "ending the stall of a disk")
}

// rollingRestart drains and starts every daemon in turn, as a release of them does; each has to
// be ready before the next one drains.
func (s *scenario) rollingRestart() error {
	for _, kind := range []string{"store", "core", "edge"} {
		for _, name := range s.fleet.Names(kind) {
			s.fleet.Drain(name)
			if err := s.fleet.StartDaemon(name); err != nil {
				return err
			}
			if err := s.awaitReady(name); err != nil {
				return errors.Wrap(err, name)
			}
			s.wait(time.Second)
		}
	}
	return nil
}
