package machines

import (
	"encoding/json"
	"fmt"
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/dataplane/quota"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// receiveLimit makes a store receive a configuration with another limit for the route "r".
func receiveLimit(s *Store, version uint64, limit int64, now clock.Micros) []machine.Effect {
	return receiveLimitOn(s, version, 0, limit, now)
}

// receiveLimitOn is receiveLimit with a configuration that names its previous version, base.
func receiveLimitOn(s *Store, version, base uint64, limit int64, now clock.Micros) []machine.Effect {
	s.ParseConfiguration = func([]byte) (*config.Configuration, error) {
		configuration := &config.Configuration{Routes: []config.Route{{Name: "r", Kind: config.Batch, Forward: &config.Forward{MaxQueuedTokens: limit}}}}
		configuration.Index()
		return configuration, nil
	}
	value, _ := json.Marshal(state.Version{Number: version, Base: base})
	return s.UpdateReceived(machine.Update{Key: state.ConfigurationKey, Seq: version, Value: value}, now)
}

// tenantOwnedElsewhere gives "store" a map in which "other" serves one more shard, and returns a tenant of
// the route "r" whose account that shard's primary owns.
func (p *replicaPair) tenantOwnedElsewhere(t *testing.T) (tenant string) {
	t.Helper()
	var m state.Map
	update := mapUpdate(9, true)
	if err := json.Unmarshal(update.Value, &m); err != nil {
		t.Fatal(err)
	}
	m.Shards = append(m.Shards, replication.Assignment{Epoch: 1, Primary: replication.Member{ID: "other", Incarnation: 1}})
	update.Value, _ = json.Marshal(m)
	p.do("store", batchstore.UpdateReceived{Update: update})
	s := newTestStoreOf(p.stores["store"], config.Forward{})
	for i := range 100 {
		tenant = fmt.Sprint("tenant-", i)
		if s.Quota.OwnerOf(shard.AccountName{Tenant: tenant, Route: "r"}) == "other" {
			return tenant
		}
	}
	t.Fatal("no tenant's account is owned elsewhere")
	return ""
}

// submitForTenant makes "store" accept a tenant's batch of one forwarded item.
func (p *replicaPair) submitForTenant(tenant string, tokens int64) {
	p.do("store", batchstore.Call{Number: 1, Body: batchstore.SubmitRequest{
		Timeout: clock.Second,
		Batch:   shard.Batch{ID: "b", Tenant: tenant, Key: "b", Route: "r", Items: []shard.Item{forwardedItem(tokens)}},
	}})
}

// pendingReports lists the reports of pending batches among effects, by receiving daemon.
func pendingReports(effects []machine.Effect) map[string][]quota.LeaseRequest {
	out := map[string][]quota.LeaseRequest{}
	for _, effect := range effects {
		if request, ok := effect.(machine.Request); ok {
			if reports, ok := request.Body.(quota.PendingReports); ok {
				out[request.To] = append(out[request.To], reports.Requests...)
			}
		}
	}
	return out
}

// expectReport checks that exactly one report is sent: to "other", of a tenant's 70 tokens.
func expectReport(t *testing.T, tenant string, effects []machine.Effect) {
	t.Helper()
	want := shard.AccountName{Tenant: tenant, Route: "r"}
	got := pendingReports(effects)
	if len(got) != 1 || len(got["other"]) != 1 || got["other"][0].Name != want || got["other"][0].Report.InUse != 70 || got["other"][0].Quota != 100 {
		t.Errorf("reported %+v", got)
	}
}

// Batches that a store accepted while its configuration set no limit are reported to the account's owner as
// soon as the store has a configuration that sets one, without another submission.
func TestBatchesAcceptedWithoutALimitAreReported(t *testing.T) {
	pair := newReplicaPair()
	tenant := pair.tenantOwnedElsewhere(t)
	s := newTestStoreOf(pair.stores["store"], config.Forward{})
	pair.submitForTenant(tenant, 70)
	if effects := s.Tick(pair.now); len(pendingReports(effects)) != 0 {
		t.Fatalf("without a limit, the effects are %+v", effects)
	}
	expectReport(t, tenant, receiveLimit(s, 2, 100, pair.now))
}

// A store that begins to serve a shard reports the batches that it finds there: the shard's former primary
// may have accepted them without a grant.
func TestBatchesOfANewlyServedShardAreReported(t *testing.T) {
	pair := newReplicaPair()
	tenant := pair.tenantOwnedElsewhere(t)
	pair.submitForTenant(tenant, 70)
	s := newTestStoreOf(pair.stores["store"], config.Forward{MaxQueuedTokens: 100})
	s.Quota.Tick(pair.now) // reports are not repeated this soon
	expectReport(t, tenant, s.Tick(pair.now))
}
