package faultinject

import (
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tuliprudder/internal/controlplane/state"
	"tuliprudder/test/localfleet"
)

// surge hands many batches in at every edge at the same moment.
func (s *scenario) surge() error {
	workload := s.settings.Workload(func() []string {
		var out []string
		for _, name := range s.fleet.Names("edge") {
			out = append(out, s.fleet.Get(name).HTTP)
		}
		return out
	})
	workload.Seed, workload.LiveWorkers, workload.BatchInterval, workload.Batches, workload.MaxAttempts = s.settings.Seed+7_000_000, 0, 0, 200, 3
	workload.Run(s.ctx)
	s.workloads = append(s.workloads, workload)
	return nil
}

// addStore starts one more store and waits until slots have moved to it; its seeds
// are edges and a store, no core.
func (s *scenario) addStore() error {
	edges := s.fleet.Names("edge")
	if err := s.fleet.Add("store", "store-new", "zone-1", []string{edges[0], edges[len(edges)-1], s.fleet.Names("store")[0]}); err != nil {
		return err
	}
	peer := s.fleet.Get("store-new").Peer
	return localfleet.WaitUntil(60*time.Second, func() error {
		var m state.Map
		if err := s.get("/v1/operator/map", &m); err != nil {
			return err
		}
		owned := 0
		for _, assignment := range m.Shards {
			if m.Stores[assignment.Primary.ID].Peer == peer && assignment.Complete {
				owned++
			}
		}
		if owned < 2 {
			return errors.Errorf("the new store owns %d slots", owned)
		}
		return nil
	})
}

// retireStore empties the busiest store, waits until nothing depends on it, and ends
// it. Then retiring another has to be refused if the rest would be in one zone.
func (s *scenario) retireStore() error {
	name, err := s.busiestStore()
	if err != nil {
		return err
	}
	var m state.Map
	if err := s.get("/v1/operator/map", &m); err != nil {
		return err
	}
	byName := map[string]string{}
	for id, store := range m.Stores {
		if found, err := s.nameByPeer(store.Peer); err == nil {
			byName[found] = id
		}
	}
	edge := s.fleet.Names("edge")[0]
	retire := func(id string) error {
		var got struct {
			Retired    bool `json:"retired"`
			ShardsLeft int  `json:"slots_left"`
		}
		if err := s.fleet.Call(edge, http.MethodPost, "/v1/operator/stores/"+id+"/retire", nil, &got); err != nil {
			return err
		}
		if !got.Retired {
			return errors.Errorf("%d slots depend on it", got.ShardsLeft)
		}
		return nil
	}
	if err := localfleet.WaitUntil(60*time.Second, func() error { return retire(byName[name]) }); err != nil {
		return err
	}
	s.fleet.Kill(name)
	if err := s.fleet.Call(edge, http.MethodPost, "/v1/operator/stores/nobody/retire", nil, nil); err == nil || !strings.Contains(err.Error(), "not_found") {
		return errors.Errorf("an unknown store was retired: %v", err)
	}
	if len(s.fleet.Names("store")) == 3 {
		for other, id := range byName {
			if other == name {
				continue
			}
			if err := s.fleet.Call(edge, http.MethodPost, "/v1/operator/stores/"+id+"/retire", nil, nil); err == nil || !strings.Contains(err.Error(), "turned_away") {
				return errors.Errorf("the last but one store was retired: %v", err)
			}
		}
	}
	return nil
}

// replaceAllCores replaces all three cores by empty ones at new addresses, one after
// the other, so that every seed that was ever given is dead. Then a store comes
// back with its old seeds, by the addresses it learnt, and an edge with new ones.
func (s *scenario) replaceAllCores() error {
	for _, old := range s.fleet.Names("core") {
		s.fleet.Kill(old)
		if err := s.fleet.Wipe(old); err != nil {
			return err
		}
		replacement, err := s.fleet.Replace(old, old+"x")
		if err != nil {
			return err
		}
		if err := localfleet.WaitUntil(60*time.Second, func() error {
			var core state.CoreUpdate
			if err := s.get("/v1/operator/core", &core); err != nil {
				return err
			}
			for _, peer := range core.VoterPeers {
				if peer == replacement.Peer {
					return nil
				}
			}
			return errors.Errorf("%s has no seat yet", replacement.Name)
		}); err != nil {
			return err
		}
		s.wait(time.Second)
	}
	store := s.fleet.Names("store")[0]
	s.fleet.Kill(store)
	if err := s.fleet.StartDaemon(store); err != nil {
		return err
	}
	edges := s.fleet.Names("edge")
	s.fleet.Kill(edges[0])
	s.fleet.SetSeeds(edges[0], s.fleet.Names("core"))
	if err := s.fleet.StartDaemon(edges[0]); err != nil {
		return err
	}
	if err := localfleet.WaitUntil(60*time.Second, func() error { return s.fleet.Call(store, http.MethodGet, "/ready", nil, nil) }); err != nil {
		return errors.Wrap(err, "the store with its old seeds")
	}
	return localfleet.WaitUntil(60*time.Second, func() error { return s.fleet.Call(edges[0], http.MethodGet, "/ready", nil, nil) })
}

// surgeWithEdgeCrashes sends a surge of callers while edges, the holders of accounts among them,
// are killed and come back one after the other.
func (s *scenario) surgeWithEdgeCrashes() error {
	surge := make(chan error, 1)
	go func() { surge <- s.surge() }()
	for _, name := range s.fleet.Names("edge") {
		s.wait(500 * time.Millisecond)
		s.fleet.Kill(name)
		if err := s.fleet.StartDaemon(name); err != nil {
			return err
		}
	}
	return <-surge
}
