package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// clusterMap is the control state's assignment of shards to stores.
type clusterMap struct {
	Fleet  string                 `json:"fleet"`
	Seq    uint64                 `json:"seq"`
	Stores map[string]storeRecord `json:"stores"`
	Shards []shardRecord          `json:"slots"`
}

type storeRecord struct {
	ID       string `json:"id"`
	Writer   int    `json:"writer"`
	Zone     string `json:"zone"`
	Peer     string `json:"peer"`
	Retiring bool   `json:"retiring"`
	Retired  bool   `json:"retired"`
}

type shardRecord struct {
	Epoch    uint64        `json:"epoch"`
	Primary  shardMember   `json:"owner"`
	Replicas []shardMember `json:"replicas"`
	Complete bool          `json:"complete"`
}

type shardMember struct {
	ID string `json:"id"`
}

// listShards lists the shards.
type listShards struct{}

// Apply prints one row per shard.
func (listShards) Apply(ctx context.Context, s *session) error {
	m, err := get[clusterMap](ctx, s.client, pathClusterMap)
	if err != nil {
		return err
	}
	t := table{{s.wording.shardHeader, "EPOCH", "PRIMARY", "REPLICAS", "COPIES"}}
	for number, shard := range m.Shards {
		copies := fmt.Sprint(1 + len(shard.Replicas))
		if !shard.Complete {
			copies += ", copying"
		}
		var replicas []string
		for _, replica := range shard.Replicas {
			replicas = append(replicas, replica.ID)
		}
		t.add(number, shard.Epoch, shard.Primary.ID, strings.Join(replicas, " "), copies)
	}
	s.printTable(t)
	return nil
}

// The stores command kept its name, so it has no former spelling, and its output keeps the terms of
// the previous release.
const (
	headerReplicates = "BACKS" // number of shards that the store replicates
	statusRegistered = "enrolled"
)

// listStores lists the stores.
type listStores struct{}

// Apply prints one row per store.
func (listStores) Apply(ctx context.Context, s *session) error {
	m, err := get[clusterMap](ctx, s.client, pathClusterMap)
	if err != nil {
		return err
	}
	owned, replicated := map[string]int{}, map[string]int{}
	for _, shard := range m.Shards {
		owned[shard.Primary.ID]++
		for _, replica := range shard.Replicas {
			replicated[replica.ID]++
		}
	}
	t := table{{"STORE", "WRITER", "ZONE", "OWNS", headerReplicates, "STATUS"}}
	for _, id := range slices.Sorted(maps.Keys(m.Stores)) {
		store := m.Stores[id]
		t.add(id, store.Writer, store.Zone, owned[id], replicated[id], store.status())
	}
	s.printTable(t)
	return nil
}

func (r storeRecord) status() string {
	switch {
	case r.Retired:
		return "retired"
	case r.Retiring:
		return "retiring"
	}
	return statusRegistered
}
