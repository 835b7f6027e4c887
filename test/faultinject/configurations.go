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

	"github.com/pkg/errors"

	"tuliprudder/internal/controlplane/state"
	"tuliprudder/test/localfleet"
	"tuliprudder/test/verify"
)

// configurationPutter puts configurations for as long as the callers call, and checks how they
// come into force.
type configurationPutter struct {
	fleet *localfleet.Fleet

	mu         sync.Mutex // guards what follows
	guarantee  verify.Guarantee
	confirmed  map[uint64]string // documents by version
	newestSeen map[string]uint64 // newest version seen, by edge
}

const (
	// putInterval is the time between two configurations.
	putInterval = 700 * time.Millisecond
	// applyBound is within which a confirmed configuration has to be in force: 2 s, with a grace.
	applyBound = 2500 * time.Millisecond
	// readBackBound is how long a version may take to be read back.
	readBackBound = 15 * time.Second
)

// startConfigurationPuts puts configurations until it is finished, now and then two at once, and
// checks that each is in force everywhere within 2 s and that no edge goes back. The
// returned function ends it and returns the verdict.
func startConfigurationPuts(ctx context.Context, fleet *localfleet.Fleet) (finish func() verify.Guarantee) {
	ctx, cancel := context.WithCancel(ctx)
	p := &configurationPutter{
		fleet:      fleet,
		confirmed:  map[uint64]string{},
		newestSeen: map[string]uint64{},
		guarantee:  verify.Guarantee{Name: "a confirmed configuration is in force within 2 s, never goes back, reads back", IsTimeBound: true},
	}
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

// run puts configurations until ctx ends.
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
	body, err := p.document(number)
	if err != nil {
		return 0
	}
	var got struct {
		Version uint64 `json:"version"`
	}
	if p.fleet.Call(edge, http.MethodPut, "/v1/operator/plan", body, &got) != nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, confirmed := p.confirmed[got.Version]; confirmed && known != string(body) {
		p.guarantee.Violations = append(p.guarantee.Violations, fmt.Sprintf("version %d was confirmed for two documents", got.Version))
	}
	p.confirmed[got.Version] = string(body)
	return got.Version
}

// document is the deployment's configuration with a scoring weight that tells it from others.
func (p *configurationPutter) document(number int) ([]byte, error) {
	data, err := os.ReadFile(p.fleet.Spec.ConfigurationFile)
	if err != nil {
		return nil, errors.Wrap(err, "reading the configuration")
	}
	var configuration map[string]any
	if err := json.Unmarshal(data, &configuration); err != nil {
		return nil, errors.Wrap(err, "decoding the configuration")
	}
	configuration["judges"] = map[string]float64{"speed": 1 + float64(number)/1000}
	return json.Marshal(configuration)
}

// awaitInForce waits until an edge has a version in force. An edge that can't be reached is
// not checked.
func (p *configurationPutter) awaitInForce(ctx context.Context, edge string, newest uint64, confirmed time.Time) {
	for newest > 0 && ctx.Err() == nil {
		version := p.versionInForce(edge)
		if version >= newest || version == 0 {
			return
		}
		if time.Since(confirmed) > applyBound {
			if p.fleet.Call(edge, http.MethodGet, "/ready", nil, nil) == nil {
				p.addViolation("%s had configuration %d in force %v after %d was confirmed", edge, version, time.Since(confirmed), newest)
			}
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// versionInForce is the version in force at an edge, which may never go back; 0 where the
// edge can't be reached.
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
		p.guarantee.Violations = append(p.guarantee.Violations, fmt.Sprintf("%s went back from configuration %d to %d", edge, p.newestSeen[edge], got.Version))
	}
	p.newestSeen[edge] = got.Version
	return got.Version
}

// configurationList is an edge's list of the configurations: the versions whose documents can
// be read back, and those whose documents are recognised by their digest.
type configurationList struct {
	Configurations []struct {
		Version uint64 `json:"version"`
	} `json:"plans"`
	Requests []struct {
		Version uint64 `json:"version"`
		Digest  string `json:"digest"`
	} `json:"orders"`
}

// readBack reads every confirmed version back; one whose document gave way to newer ones has to
// be listed under the digest of that very document.
func (p *configurationPutter) readBack() {
	edge := p.fleet.Names("edge")[0]
	var list configurationList
	err := localfleet.WaitUntil(readBackBound, func() error {
		list = configurationList{}
		return p.fleet.Call(edge, http.MethodGet, "/v1/operator/plans", nil, &list)
	})
	if err != nil {
		p.addViolation("the configurations can't be listed: %v", err)
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
			p.addViolation("configuration %d is neither kept nor known by its digest: %v", version, err)
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
		p.addViolation("configuration %d does not read back: %v", version, err)
	}
}

// readConfigurationsBack reads every configuration that an edge lists at the end of the run.
func readConfigurationsBack(fleet *localfleet.Fleet) error {
	edge := fleet.Names("edge")[0]
	return localfleet.WaitUntil(15*time.Second, func() error {
		var list configurationList
		if err := fleet.Call(edge, http.MethodGet, "/v1/operator/plans", nil, &list); err != nil {
			return err
		}
		for _, configuration := range list.Configurations {
			if err := fleet.Call(edge, http.MethodGet, fmt.Sprintf("/v1/operator/plans/%d", configuration.Version), nil, nil); err != nil {
				return err
			}
		}
		if len(list.Configurations) == 0 {
			return errors.New("no configuration can be read back")
		}
		return nil
	})
}
