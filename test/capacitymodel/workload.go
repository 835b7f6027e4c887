package capacitymodel

import (
	"encoding/json"
	"fmt"
	"strings"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// configurationChanges are changes of the configuration, each until it is in force everywhere.
type configurationChanges struct {
	pending             map[uint64]*configurationChange
	durations           []clock.Micros
	submitted, rejected int
	bytes               int    // of one configuration
	lastError           string // of the last that was rejected or of unknown outcome
}

// configurationChange is one change until all daemons have it in force.
type configurationChange struct {
	submittedAt clock.Micros
	awaiting    map[*daemon]bool
}

// document is a JSON object of a configuration, with the keys that operators write.
type document map[string]any

// configurationDocument is a configuration of the users' size; each number gives another one.
func (f *Fleet) configurationDocument(number int) []byte {
	var classes, tenants, pools, routes []document
	for i := range 5 {
		classes = append(classes, document{"name": fmt.Sprintf("class-%d", i), "rank": 100 * (i + 1), "allowance": 1_000_000, "labels": document{"live": "yes"}})
	}
	for i := range f.Settings.Tenants {
		key := fmt.Sprintf("key-of-tenant-%03d-%x", i, 0x9e3779b97f4a7c15*uint64(i+1))
		tenants = append(tenants, document{"name": fmt.Sprintf("tenant-%03d", i), "key": key, "class": fmt.Sprintf("class-%d", i%5)})
	}
	for i := range modelCount {
		model := fmt.Sprintf("model-%02d", i)
		pools = append(pools, document{"name": fmt.Sprintf("pool-%02d", i), "labels": document{"use": model}, "servers": document{"model": model}})
	}
	for i := range f.Settings.Routes {
		routes = append(routes, routeDocument(i))
	}
	data, err := json.Marshal(document{"classes": classes, "customers": tenants, "pools": pools, "routes": routes, "judges": document{"speed": 1 + float64(number)/1e6}})
	must(err)
	return data
}

func routeDocument(i int64) document {
	kinds := []string{config.OneShot, config.Stream, config.Batch}
	kind, model := kinds[i%3], fmt.Sprintf("model-%02d", i/3%modelCount)
	route := document{
		"name":       fmt.Sprintf("route-%03d", i),
		"kind":       kind,
		"classes":    document{"live": "yes"},
		"pools":      document{"use": model},
		"model":      model,
		"prefix":     strings.Repeat("Answer in one word. ", 10),
		"max_tokens": 256,
	}
	if kind == config.Batch {
		route["most_items"] = 10_000
	} else {
		route["expiry_us"] = 10_000_000
	}
	return route
}

// submitConfiguration puts a configuration at the primary.
func (f *Fleet) submitConfiguration() {
	p := f.primary()
	f.configurations.submitted++
	if p == nil {
		f.configurations.rejected++
		return
	}
	body := f.configurationDocument(f.configurations.submitted)
	f.configurations.bytes = len(body)
	latest, _ := p.core.State().Latest()
	version := latest.Number + 1
	for f.configurations.pending[version] != nil {
		version++
	}
	change := &configurationChange{submittedAt: f.Now, awaiting: map[*daemon]bool{}}
	for _, d := range f.daemons {
		if d.up {
			change.awaiting[d] = true
		}
	}
	if f.configurations.pending == nil {
		f.configurations.pending = map[uint64]*configurationChange{}
	}
	f.configurations.pending[version] = change
	p.runStep(func() {
		p.call(controlplane.PutConfigurationRequest{Body: body, By: "hollow", Timeout: 2 * clock.Second}, func(reply machine.Reply) {
			if reply.Err != nil {
				f.configurations.rejected++
				f.configurations.lastError = reply.Err.Error()
			}
		})
	})
}

// versionReached records that a daemon has a version in force.
func (p *configurationChanges) versionReached(f *Fleet, d *daemon, version uint64) {
	for number, change := range p.pending {
		if number > version {
			continue
		}
		delete(change.awaiting, d)
		for other := range change.awaiting {
			if !other.up {
				delete(change.awaiting, other)
			}
		}
		if len(change.awaiting) == 0 {
			delete(p.pending, number)
			if !f.warmingUp {
				p.durations = append(p.durations, f.Now-change.submittedAt)
			}
		}
	}
}

// batchSubmissions counts the batches that were submitted.
type batchSubmissions struct {
	submitted, rejected int64
	// warmupSubmitted and warmupRejected are those of the warm-up, which don't count.
	warmupSubmitted, warmupRejected int64
}

// endWarmup starts the count.
func (b *batchSubmissions) endWarmup() {
	b.warmupSubmitted, b.warmupRejected = b.submitted, b.rejected
}

// counted is what was submitted and rejected since the warm-up.
func (b *batchSubmissions) counted() (submitted, rejected int64) {
	return b.submitted - b.warmupSubmitted, b.rejected - b.warmupRejected
}

// Texts of an item, as long as those of the users.
const (
	itemInput  = "the text of one item, as long as a short note that a customer has written about something"
	itemOutput = "a label and two sentences that say why it was given, about as long as an answer"
)

// submitBatch submits one batch to the store that owns its shard, as an edge would.
func (f *Fleet) submitBatch() {
	f.batches.submitted++
	primary := f.primary()
	if primary == nil || len(primary.core.State().Shards) == 0 {
		f.batches.rejected++
		return
	}
	shards := primary.core.State().Shards
	id := fmt.Sprintf("bundle-%d-%d", f.Settings.Seed, f.batches.submitted)
	shardIndex := shard.ShardOf(id, len(shards))
	owner, edge := f.pickStoreAndEdge(shards[shardIndex].Primary.ID)
	if owner == nil || edge == nil {
		f.batches.rejected++
		return
	}
	request := batchstore.SubmitRequest{Shard: shardIndex, Batch: f.newBatch(id), Timeout: 2 * clock.Second}
	edge.runStep(func() {
		f.request(edge, owner.peer, request, 3*clock.Second, func(_ any, err error) {
			if err != nil {
				f.batches.rejected++
			}
		})
	})
}

// pickStoreAndEdge are the store of an identity and an edge at random; nil where it is down.
func (f *Fleet) pickStoreAndEdge(storeID string) (store, edge *daemon) {
	for _, d := range f.daemons {
		if d.id == storeID && d.up {
			store = d
		}
		if d.kind == membership.Edge && d.up && (edge == nil || f.rng.Intn(4) == 0) {
			edge = d
		}
	}
	return store, edge
}

func (f *Fleet) newBatch(id string) shard.Batch {
	tenant := f.rng.Int63n(f.Settings.Tenants)
	route := 2 + 3*f.rng.Int63n(max(1, f.Settings.Routes/3)) // every third is one for batches
	batch := shard.Batch{ID: id, Tenant: fmt.Sprintf("tenant-%03d", tenant), Key: "key of " + id, Hash: id, Route: fmt.Sprintf("route-%03d", route)}
	for i := range f.Settings.BatchItems {
		batch.Items = append(batch.Items, shard.Item{ID: fmt.Sprintf("item-%d", i), Input: itemInput})
	}
	return batch
}
