package faultinject

import (
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"tuliprudder/proof/localfleet"
)

func (s *scenario) crash(who chooseDaemon, down time.Duration, wipe bool) error {
	name, err := who()
	if err != nil {
		return err
	}
	s.fleet.Kill(name)
	if wipe {
		if err := s.fleet.Wipe(name); err != nil {
			return err
		}
	}
	s.wait(down)
	return s.fleet.Run(name)
}

func (s *scenario) freeze(who chooseDaemon, span time.Duration) error {
	name, err := who()
	if err != nil {
		return err
	}
	s.fleet.Freeze(name)
	s.wait(span)
	s.fleet.Thaw(name)
	return nil
}

func (s *scenario) drain(who chooseDaemon) error {
	name, err := who()
	if err != nil {
		return err
	}
	s.fleet.Drain(name)
	s.wait(time.Second)
	return s.fleet.Run(name)
}

func (s *scenario) replace(who chooseDaemon) error {
	name, err := who()
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

func (s *scenario) cut(who chooseDaemon, span time.Duration) error {
	name, err := who()
	if err != nil {
		return err
	}
	s.fleet.CutOff(name, true)
	s.wait(span)
	s.fleet.CutOff(name, false)
	return nil
}

func (s *scenario) allOf(kind string) error {
	names := s.fleet.Names(kind)
	for _, name := range names {
		s.fleet.Kill(name)
	}
	s.wait(time.Second)
	for _, name := range names {
		if err := s.fleet.Run(name); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) allCores() error { return s.allOf("core") }

func (s *scenario) allStores() error { return s.allOf("store") }

// stallDisk holds back every write of the busiest store's disk for a span.
func (s *scenario) stallDisk(span time.Duration) error {
	name, err := s.busiest()
	if err != nil {
		return err
	}
	mark := filepath.Join(s.fleet.Get(name).Data, "STALL")
	if err := os.WriteFile(mark, nil, 0o644); err != nil {
		return errors.Wrap(err, "stalling a disk")
	}
	s.wait(span)
	return errors.Wrap(os.Remove(mark), "letting a disk go on")
}

// rollDaemons drains and starts every daemon in turn, as a release of them does;
// each has to be ready before the next one goes.
func (s *scenario) rollDaemons() error {
	for _, kind := range []string{"store", "core", "edge"} {
		for _, name := range s.fleet.Names(kind) {
			s.fleet.Drain(name)
			if err := s.fleet.Run(name); err != nil {
				return err
			}
			if err := localfleet.Until(60*time.Second, func() error { return s.fleet.Ask(name, http.MethodGet, "/ready", nil, nil) }); err != nil {
				return errors.Wrap(err, name)
			}
			s.wait(time.Second)
		}
	}
	return nil
}
