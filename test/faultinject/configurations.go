package faultinject

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"sync"
	"time"

	"tuliprudder/internal/controlplane/state"
	"tuliprudder/test/localfleet"
	"tuliprudder/test/verify"
)

// configurationPutter puts whole configurations for as long as callers call, and checks how they come
// into force.
type configurationPutter struct {
	fleet      *localfleet.Fleet
	mu         sync.Mutex
	guarantee  verify.Guarantee
	confirmed  map[uint64]string // documents by version
	newestSeen map[string]uint64 // the newest version seen, by edge
}

const (
	putInterval = 700 * time.Millisecond  // between two configurations
	applyBound  = 2500 * time.Millisecond // "2 s", with a grace
	// readBackBound is how long a version may take to be read back.
	readBackBound = 15 * time.Second
)

// startConfigurationPuts puts whole configurations all the while, now and then two at once, and watches
// that each is in force everywhere within 2 s and that nobody goes back. The
// returned function ends it and gives the verdict.
func startConfigurationPuts(ctx context.Context, c *localfleet.Fleet) func() verify.Guarantee {
	ctx, cancel := context.WithCancel(ctx)
	p := &configurationPutter{fleet: c, confirmed: map[uint64]string{}, newestSeen: map[string]uint64{},
		guarantee: verify.Guarantee{Name: "a confirmed plan is in force within 2 s, never slips back, reads back", IsTimeBound: true}}
	done := make(chan struct{})
	go func() { defer close(done); p.run(ctx) }()
	return func() verify.Guarantee {
		cancel()
		<-done
		p.readBack()
		return p.guarantee
	}
}

func (p *configurationPutter) addViolation(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.guarantee.Violations = append(p.guarantee.Violations, fmt.Sprintf(format, args...))
}

func (p *configurationPutter) run(ctx context.Context) {
	random := rand.New(rand.NewSource(5))
	for number := 1; ctx.Err() == nil; number += 2 {
		edges := p.fleet.Names("edge")
		newest := p.putConcurrently(number, 1+random.Intn(2), edges, random)
		confirmed := time.Now()
		for _, edge := range edges {
			p.awaitInForce(ctx, edge, newest, confirmed)
		}
		p.mu.Lock()
		p.guarantee.Checked++
		p.mu.Unlock()
		select {
		case <-time.After(putInterval):
		case <-ctx.Done():
		}
	}
}

// putConcurrently puts configurations at the same time, and returns the newest version confirmed.
func (p *configurationPutter) putConcurrently(number, count int, edges []string, random *rand.Rand) uint64 {
	versions := make(chan uint64, count)
	for i := range count {
		edge := edges[random.Intn(len(edges))]
		go func() { versions <- p.put(number+i, edge) }()
	}
	newest := uint64(0)
	for range count {
		newest = max(newest, <-versions)
	}
	return newest
}

// put puts a configuration at an edge and returns its version; 0 where it was not confirmed.
func (p *configurationPutter) put(number int, edge string) uint64 {
	var configuration map[string]any
	data, err := os.ReadFile(p.fleet.Spec.ConfigurationFile)
	if err != nil || json.Unmarshal(data, &configuration) != nil {
		return 0
	}
	configuration["judges"] = map[string]any{"speed": 1 + float64(number)/1000}
	body, _ := json.Marshal(configuration)
	var got struct {
		Version uint64 `json:"version"`
	}
	if p.fleet.Call(edge, http.MethodPut, "/v1/operator/plan", body, &got) != nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, taken := p.confirmed[got.Version]; taken && known != string(body) {
		p.guarantee.Violations = append(p.guarantee.Violations, fmt.Sprintf("version %d was confirmed for two plans", got.Version))
	}
	p.confirmed[got.Version] = string(body)
	return got.Version
}

// awaitInForce waits until an edge has a version in force. An edge that is out of
// reach has no configuration in force to judge.
func (p *configurationPutter) awaitInForce(ctx context.Context, edge string, newest uint64, confirmed time.Time) {
	for newest > 0 && ctx.Err() == nil {
		version := p.versionInForce(edge)
		if version >= newest || version == 0 {
			return
		}
		if time.Since(confirmed) > applyBound {
			if p.fleet.Call(edge, http.MethodGet, "/ready", nil, nil) == nil {
				p.addViolation("%s had plan %d in force %v after %d was confirmed", edge, version, time.Since(confirmed), newest)
			}
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// versionInForce is the version in force at an edge, which may never go back; 0 where the
// edge is out of reach.
func (p *configurationPutter) versionInForce(edge string) uint64 {
	var got struct {
		Version uint64 `json:"version"`
	}
	if p.fleet.Call(edge, http.MethodGet, "/v1/operator/plan", nil, &got) != nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if got.Version < p.newestSeen[edge] {
		p.guarantee.Violations = append(p.guarantee.Violations, fmt.Sprintf("%s went back from plan %d to %d", edge, p.newestSeen[edge], got.Version))
	}
	p.newestSeen[edge] = got.Version
	return got.Version
}

// configurationList is what an edge lists of the configurations: the versions whose documents can be read
// back, and the orders that are recognised by the digest of theirs.
type configurationList struct {
	Configurations []struct {
		Version uint64 `json:"version"`
	} `json:"plans"`
	Requests []struct {
		Version uint64 `json:"version"`
		Digest  string `json:"digest"`
	} `json:"orders"`
}

// readBack reads every confirmed version back; one whose document gave way to newer ones
// has to stand in the list under the digest of that very document.
func (p *configurationPutter) readBack() {
	edge := p.fleet.Names("edge")[0]
	var list configurationList
	err := localfleet.WaitUntil(readBackBound, func() error {
		list = configurationList{}
		return p.fleet.Call(edge, http.MethodGet, "/v1/operator/plans", nil, &list)
	})
	if err != nil {
		p.addViolation("the plans can't be listed: %v", err)
	}
	kept, digests := map[uint64]bool{}, map[uint64]string{}
	for _, configuration := range list.Configurations {
		kept[configuration.Version] = true
	}
	for _, request := range list.Requests {
		digests[request.Version] = request.Digest
	}
	for version, body := range p.confirmed {
		if kept[version] {
			p.readDocumentBack(edge, version, body)
		} else if digest, err := state.DigestOf([]byte(body)); err != nil || digests[version] != digest.String() {
			p.addViolation("plan %d is neither kept nor known by its digest: %v", version, err)
		}
		p.guarantee.Checked++
	}
}

// readDocumentBack reads one version's document back.
func (p *configurationPutter) readDocumentBack(edge string, version uint64, body string) {
	var got struct {
		Configuration json.RawMessage `json:"plan"`
	}
	err := localfleet.WaitUntil(readBackBound, func() error {
		return p.fleet.Call(edge, http.MethodGet, fmt.Sprintf("/v1/operator/plans/%d", version), nil, &got)
	})
	if err != nil || string(got.Configuration) != body {
		p.addViolation("plan %d does not read back: %v", version, err)
	}
}

// startQuotaAudit adds up what waits of each tenant over all daemons.
func startQuotaAudit(ctx context.Context, c *localfleet.Fleet) func() verify.Guarantee {
	ctx, cancel := context.WithCancel(ctx)
	p := verify.Guarantee{Name: "a customer's waiting work stays within its allowance, by about a tenth"}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			waiting, quota := map[string]int64{}, map[string]int64{}
			for _, name := range append(c.Names("edge"), c.Names("store")...) {
				var got struct {
					Shares map[string]struct {
						Waiting int64 `json:"held"`
					} `json:"shares"`
					Accounts map[string]struct {
						Quota int64 `json:"allowance"`
					} `json:"accounts"`
				}
				if c.Call(name, http.MethodGet, "/v1/operator/purse", nil, &got) != nil {
					continue
				}
				for tenant, share := range got.Shares {
					waiting[tenant] += share.Waiting
				}
				for tenant, account := range got.Accounts {
					quota[tenant] = max(quota[tenant], account.Quota)
				}
			}
			for tenant, limit := range quota {
				if limit == 0 {
					continue
				}
				p.Checked++
				if waiting[tenant]*10 > limit*11 {
					p.Violations = append(p.Violations, fmt.Sprintf("%d of %s wait; its allowance is %d", waiting[tenant], tenant, limit))
				}
			}
			select {
			case <-time.After(150 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	}()
	return func() verify.Guarantee { cancel(); <-done; return p }
}
