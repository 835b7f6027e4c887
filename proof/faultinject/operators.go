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

	"tuliprudder/core/state"
	"tuliprudder/proof/localfleet"
	"tuliprudder/proof/verify"
)

// planPutter puts whole plans for as long as callers call, and checks how they come
// into force.
type planPutter struct {
	fleet     *localfleet.Fleet
	mu        sync.Mutex
	promise   verify.Promise
	confirmed map[uint64]string // documents by version
	seen      map[string]uint64 // the newest version seen, by edge
}

const (
	planPause    = 700 * time.Millisecond  // between two plans
	inForceBound = 2500 * time.Millisecond // "2 s", with a grace
	// readBackBound is how long a version may take to be read back.
	readBackBound = 15 * time.Second
)

// operate puts whole plans all the while, now and then two at once, and watches
// that each is in force everywhere within 2 s and that nobody goes back. The
// returned function ends it and gives the verdict.
func operate(ctx context.Context, c *localfleet.Fleet) func() verify.Promise {
	ctx, cancel := context.WithCancel(ctx)
	p := &planPutter{fleet: c, confirmed: map[uint64]string{}, seen: map[string]uint64{},
		promise: verify.Promise{Name: "a confirmed plan is in force within 2 s, never slips back, reads back", Timed: true}}
	done := make(chan struct{})
	go func() { defer close(done); p.run(ctx) }()
	return func() verify.Promise {
		cancel()
		<-done
		p.readBack()
		return p.promise
	}
}

func (p *planPutter) breach(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.promise.Breaches = append(p.promise.Breaches, fmt.Sprintf(format, args...))
}

func (p *planPutter) run(ctx context.Context) {
	random := rand.New(rand.NewSource(5))
	for number := 1; ctx.Err() == nil; number += 2 {
		edges := p.fleet.Names("edge")
		newest := p.putSome(number, 1+random.Intn(2), edges, random)
		confirmed := time.Now()
		for _, edge := range edges {
			p.awaitInForce(ctx, edge, newest, confirmed)
		}
		p.mu.Lock()
		p.promise.Checked++
		p.mu.Unlock()
		select {
		case <-time.After(planPause):
		case <-ctx.Done():
		}
	}
}

// putSome puts plans at the same time, and returns the newest version confirmed.
func (p *planPutter) putSome(number, count int, edges []string, random *rand.Rand) uint64 {
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

// put puts a plan at an edge and returns its version; 0 where it was not confirmed.
func (p *planPutter) put(number int, edge string) uint64 {
	var plan map[string]any
	data, err := os.ReadFile(p.fleet.Spec.Plan)
	if err != nil || json.Unmarshal(data, &plan) != nil {
		return 0
	}
	plan["judges"] = map[string]any{"speed": 1 + float64(number)/1000}
	body, _ := json.Marshal(plan)
	var got struct {
		Version uint64 `json:"version"`
	}
	if p.fleet.Ask(edge, http.MethodPut, "/v1/operator/plan", body, &got) != nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, taken := p.confirmed[got.Version]; taken && known != string(body) {
		p.promise.Breaches = append(p.promise.Breaches, fmt.Sprintf("version %d was confirmed for two plans", got.Version))
	}
	p.confirmed[got.Version] = string(body)
	return got.Version
}

// awaitInForce waits until an edge has a version in force. An edge that is out of
// reach has no plan in force to judge.
func (p *planPutter) awaitInForce(ctx context.Context, edge string, newest uint64, confirmed time.Time) {
	for newest > 0 && ctx.Err() == nil {
		version := p.inForce(edge)
		if version >= newest || version == 0 {
			return
		}
		if time.Since(confirmed) > inForceBound {
			if p.fleet.Ask(edge, http.MethodGet, "/ready", nil, nil) == nil {
				p.breach("%s had plan %d in force %v after %d was confirmed", edge, version, time.Since(confirmed), newest)
			}
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// inForce is the version in force at an edge, which may never go back; 0 where the
// edge is out of reach.
func (p *planPutter) inForce(edge string) uint64 {
	var got struct {
		Version uint64 `json:"version"`
	}
	if p.fleet.Ask(edge, http.MethodGet, "/v1/operator/plan", nil, &got) != nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if got.Version < p.seen[edge] {
		p.promise.Breaches = append(p.promise.Breaches, fmt.Sprintf("%s went back from plan %d to %d", edge, p.seen[edge], got.Version))
	}
	p.seen[edge] = got.Version
	return got.Version
}

// planList is what an edge lists of the plans: the versions whose documents can be read
// back, and the orders that are recognised by the digest of theirs.
type planList struct {
	Plans []struct {
		Version uint64 `json:"version"`
	} `json:"plans"`
	Orders []struct {
		Version uint64 `json:"version"`
		Digest  string `json:"digest"`
	} `json:"orders"`
}

// readBack reads every confirmed version back; one whose document gave way to newer ones
// has to stand in the list under the digest of that very document.
func (p *planPutter) readBack() {
	edge := p.fleet.Names("edge")[0]
	var list planList
	err := localfleet.Until(readBackBound, func() error {
		list = planList{}
		return p.fleet.Ask(edge, http.MethodGet, "/v1/operator/plans", nil, &list)
	})
	if err != nil {
		p.breach("the plans can't be listed: %v", err)
	}
	kept, digests := map[uint64]bool{}, map[uint64]string{}
	for _, plan := range list.Plans {
		kept[plan.Version] = true
	}
	for _, order := range list.Orders {
		digests[order.Version] = order.Digest
	}
	for version, body := range p.confirmed {
		if kept[version] {
			p.readDocumentBack(edge, version, body)
		} else if digest, err := state.DigestOf([]byte(body)); err != nil || digests[version] != digest.String() {
			p.breach("plan %d is neither kept nor known by its digest: %v", version, err)
		}
		p.promise.Checked++
	}
}

// readDocumentBack reads one version's document back.
func (p *planPutter) readDocumentBack(edge string, version uint64, body string) {
	var got struct {
		Plan json.RawMessage `json:"plan"`
	}
	err := localfleet.Until(readBackBound, func() error {
		return p.fleet.Ask(edge, http.MethodGet, fmt.Sprintf("/v1/operator/plans/%d", version), nil, &got)
	})
	if err != nil || string(got.Plan) != body {
		p.breach("plan %d does not read back: %v", version, err)
	}
}

// audit adds up what waits of each customer over all daemons.
func audit(ctx context.Context, c *localfleet.Fleet) func() verify.Promise {
	ctx, cancel := context.WithCancel(ctx)
	p := verify.Promise{Name: "a customer's waiting work stays within its allowance, by about a tenth"}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			held, allowance := map[string]int64{}, map[string]int64{}
			for _, name := range append(c.Names("edge"), c.Names("store")...) {
				var got struct {
					Shares map[string]struct {
						Held int64 `json:"held"`
					} `json:"shares"`
					Accounts map[string]struct {
						Allowance int64 `json:"allowance"`
					} `json:"accounts"`
				}
				if c.Ask(name, http.MethodGet, "/v1/operator/purse", nil, &got) != nil {
					continue
				}
				for customer, share := range got.Shares {
					held[customer] += share.Held
				}
				for customer, account := range got.Accounts {
					allowance[customer] = max(allowance[customer], account.Allowance)
				}
			}
			for customer, most := range allowance {
				if most == 0 {
					continue
				}
				p.Checked++
				if held[customer]*10 > most*11 {
					p.Breaches = append(p.Breaches, fmt.Sprintf("%d of %s wait; its allowance is %d", held[customer], customer, most))
				}
			}
			select {
			case <-time.After(150 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	}()
	return func() verify.Promise { cancel(); <-done; return p }
}
