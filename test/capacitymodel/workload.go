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
	bytes               int
	lastError           string // of the last that was not put, or not known to be
}

type configurationChange struct {
	submittedAt clock.Micros
	awaiting    map[*daemon]bool
}

// configurationDocument is a configuration of the users' size; each number makes another.
func (f *Fleet) configurationDocument(number int) []byte {
	classes, tenants, pools, routes := []any{}, []any{}, []any{}, []any{}
	for i := range 5 {
		classes = append(classes, map[string]any{"name": fmt.Sprintf("class-%d", i), "rank": 100 * (i + 1), "allowance": 1_000_000, "labels": map[string]any{"live": "yes"}})
	}
	for i := range f.Settings.Tenants {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant-%03d", i), "key": fmt.Sprintf("key-of-tenant-%03d-%x", i, 0x9e3779b97f4a7c15*uint64(i+1)), "class": fmt.Sprintf("class-%d", i%5)})
	}
	kinds := []string{config.OneShot, config.Stream, config.Batch}
	for i := range 20 {
		pools = append(pools, map[string]any{"name": fmt.Sprintf("pool-%02d", i), "labels": map[string]any{"use": fmt.Sprintf("model-%02d", i)}, "servers": map[string]any{"model": fmt.Sprintf("model-%02d", i)}})
	}
	for i := range f.Settings.Routes {
		kind := kinds[i%3]
		route := map[string]any{"name": fmt.Sprintf("route-%03d", i), "kind": kind, "classes": map[string]any{"live": "yes"}, "pools": map[string]any{"use": fmt.Sprintf("model-%02d", i/3%20)},
			"model": fmt.Sprintf("model-%02d", i/3%20), "prefix": strings.Repeat("Answer in one word. ", 10), "max_tokens": 256}
		if kind == config.Batch {
			route["most_items"] = 10_000
		} else {
			route["expiry_us"] = 10_000_000
		}
		routes = append(routes, route)
	}
	data, err := json.Marshal(map[string]any{"classes": classes, "customers": tenants, "pools": pools, "routes": routes, "judges": map[string]any{"speed": 1 + float64(number)/1e6}})
	must(err)
	return data
}

// submitConfiguration hands a configuration to the primary.
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
	round := &configurationChange{submittedAt: f.Now, awaiting: map[*daemon]bool{}}
	for _, d := range f.daemons {
		if d.up {
			round.awaiting[d] = true
		}
	}
	if f.configurations.pending == nil {
		f.configurations.pending = map[uint64]*configurationChange{}
	}
	f.configurations.pending[version] = round
	p.runStep(func() {
		p.call(controlplane.PutConfigurationRequest{Body: body, By: "hollow", Timeout: 2 * clock.Second}, func(a machine.Reply) {
			if a.Err != nil {
				f.configurations.rejected++
				f.configurations.lastError = a.Err.Error()
			}
		})
	})
}

// versionReached notes that a daemon has come as far as a version.
func (p *configurationChanges) versionReached(f *Fleet, d *daemon, version uint64) {
	for number, round := range p.pending {
		if number > version {
			continue
		}
		delete(round.awaiting, d)
		for other := range round.awaiting {
			if !other.up {
				delete(round.awaiting, other)
			}
		}
		if len(round.awaiting) == 0 {
			delete(p.pending, number)
			if !f.warmingUp {
				p.durations = append(p.durations, f.Now-round.submittedAt)
			}
		}
	}
}

// batchSubmissions hand batches in at a steady pace.
type batchSubmissions struct {
	submitted, rejected int64
	// warmupSubmitted and warmupRejected are those of the warm-up, which don't count.
	warmupSubmitted, warmupRejected int64
}

// endWarmup ends the warm-up.
func (b *batchSubmissions) endWarmup() { b.warmupSubmitted, b.warmupRejected = b.submitted, b.rejected }

// counted is what was handed in and refused since the warm-up.
func (b *batchSubmissions) counted() (submitted, rejected int64) {
	return b.submitted - b.warmupSubmitted, b.rejected - b.warmupRejected
}

const itemOutput = "a label and two sentences that say why it was given, about as long as an answer"

// submitBatch hands one batch in at the store that owns its slot, as an edge would.
func (f *Fleet) submitBatch() {
	p := f.primary()
	f.batches.submitted++
	if p == nil || len(p.core.State().Shards) == 0 {
		f.batches.rejected++
		return
	}
	shards := p.core.State().Shards
	id := fmt.Sprintf("bundle-%d-%d", f.Settings.Seed, f.batches.submitted)
	shardIndex := shard.ShardOf(id, len(shards))
	var owner, edge *daemon
	for _, d := range f.daemons {
		if d.id == shards[shardIndex].Primary.ID && d.up {
			owner = d
		}
		if d.kind == membership.Edge && d.up && (edge == nil || f.rng.Intn(4) == 0) {
			edge = d
		}
	}
	if owner == nil || edge == nil {
		f.batches.rejected++
		return
	}
	tenant := f.rng.Int63n(f.Settings.Tenants)
	batch := shard.Batch{ID: id, Tenant: fmt.Sprintf("tenant-%03d", tenant), Key: id, Hash: id, Route: fmt.Sprintf("route-%03d", 2+3*f.rng.Int63n(max(1, f.Settings.Routes/3)))}
	for i := range f.Settings.BatchItems {
		batch.Items = append(batch.Items, shard.Item{ID: fmt.Sprintf("item-%d", i), Input: "the text of one item, as long as a short note that a customer has written about something"})
	}
	edge.runStep(func() {
		f.request(edge, owner.peer, batchstore.SubmitRequest{Shard: shardIndex, Batch: batch, Timeout: 2 * clock.Second}, 3*clock.Second, func(_ any, err error) {
			if err != nil {
				f.batches.rejected++
			}
		})
	})
}
