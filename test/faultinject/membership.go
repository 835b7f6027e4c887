package faultinject

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tuliprudder/internal/controlplane/state"
	"tuliprudder/test/localfleet"
)

// changeTimeout is how long a change of the fleet may take.
const changeTimeout = 60 * time.Second

// addStore starts one more store and waits until shards have moved to it; its seeds are edges
// and a store, no core.
func (s *scenario) addStore() error {
	edges := s.fleet.Names("edge")
	if err := s.fleet.Add("store", "store-new", "zone-1", []string{edges[0], edges[len(edges)-1], s.fleet.Names("store")[0]}); err != nil {
		return err
	}
	peer := s.fleet.Get("store-new").Peer
	return localfleet.WaitUntil(changeTimeout, func() error {
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
			return errors.Errorf("the new store owns %d shards", owned)
		}
		return nil
	})
}

// retireStore retires the busiest store, waits until no shard depends on it, and kills it.
// Requests to retire that have to be rejected are tried then.
func (s *scenario) retireStore() error {
	name, err := s.busiestStore()
	if err != nil {
		return err
	}
	ids, err := s.storeIDs()
	if err != nil {
		return err
	}
	if err := localfleet.WaitUntil(changeTimeout, func() error { return s.retire(ids[name]) }); err != nil {
		return err
	}
	s.fleet.Kill(name)
	delete(ids, name)
	return s.checkRetireRejections(ids)
}

// storeIDs are the identities of the stores by the names of their daemons.
func (s *scenario) storeIDs() (map[string]string, error) {
	var m state.Map
	if err := s.get("/v1/operator/map", &m); err != nil {
		return nil, err
	}
	ids := map[string]string{}
	for id, store := range m.Stores {
		if name, err := s.nameByPeer(store.Peer); err == nil {
			ids[name] = id
		}
	}
	return ids, nil
}

// retire requests that a store retires; an error until it has.
func (s *scenario) retire(id string) error {
	var got struct {
		Retired         bool `json:"retired"`
		RemainingShards int  `json:"slots_left"`
	}
	edge := s.fleet.Names("edge")[0]
	if err := s.fleet.Call(edge, http.MethodPost, "/v1/operator/stores/"+id+"/retire", nil, &got); err != nil {
		return err
	}
	if !got.Retired {
		return errors.Errorf("%d shards depend on it", got.RemainingShards)
	}
	return nil
}

// checkRetireRejections checks that an unknown store can't be retired, nor one more where the
// others would be in one zone.
func (s *scenario) checkRetireRejections(others map[string]string) error {
	if err := s.retire("nobody"); err == nil || !strings.Contains(err.Error(), "not_found") {
		return errors.Errorf("an unknown store was retired: %v", err)
	}
	if len(s.fleet.Names("store")) != 3 {
		return nil
	}
	for _, id := range others {
		if err := s.retire(id); err == nil || !strings.Contains(err.Error(), "turned_away") {
			return errors.Errorf("the last but one store was retired: %v", err)
		}
	}
	return nil
}

// replaceAllCores replaces the cores by empty ones at new addresses, one after the other, so
// that no seed that was ever given is left. Then a store restarts with its old seeds, by the
// addresses that it has learnt, and an edge with new ones.
func (s *scenario) replaceAllCores() error {
	for _, old := range s.fleet.Names("core") {
		if err := s.replaceCore(old); err != nil {
			return err
		}
		s.wait(time.Second)
	}
	store, edge := s.fleet.Names("store")[0], s.fleet.Names("edge")[0]
	s.fleet.Kill(store)
	if err := s.fleet.StartDaemon(store); err != nil {
		return err
	}
	s.fleet.Kill(edge)
	s.fleet.SetSeeds(edge, s.fleet.Names("core"))
	if err := s.fleet.StartDaemon(edge); err != nil {
		return err
	}
	if err := s.awaitReady(store); err != nil {
		return errors.Wrap(err, "the store with its old seeds")
	}
	return s.awaitReady(edge)
}

// replaceCore replaces a core, and waits until the new one is a voter.
func (s *scenario) replaceCore(old string) error {
	s.fleet.Kill(old)
	if err := s.fleet.Wipe(old); err != nil {
		return err
	}
	replacement, err := s.fleet.Replace(old, old+"x")
	if err != nil {
		return err
	}
	return localfleet.WaitUntil(changeTimeout, func() error {
		var core state.CoreUpdate
		if err := s.get("/v1/operator/core", &core); err != nil {
			return err
		}
		if !slices.Contains(core.VoterPeers, replacement.Peer) {
			return errors.Errorf("%s is no voter yet", replacement.Name)
		}
		return nil
	})
}

// awaitReady waits until a daemon is ready.
func (s *scenario) awaitReady(name string) error {
	return localfleet.WaitUntil(changeTimeout, func() error { return s.fleet.Call(name, http.MethodGet, "/ready", nil, nil) })
}
