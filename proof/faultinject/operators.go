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

	"tuliprudder/proof/localfleet"
	"tuliprudder/proof/verify"
)

// operate puts whole plans all the while, now and then two at once, and watches
// that each is in force everywhere within 2 s and that nobody goes back. The
// returned function ends it and gives the verdict.
func operate(ctx context.Context, c *localfleet.Fleet) func() verify.Promise {
	ctx, cancel := context.WithCancel(ctx)
	p := verify.Promise{Name: "a confirmed plan is in force within 2 s, never slips back, reads back", Timed: true}
	var mu sync.Mutex
	confirmed := map[uint64]string{}
	seen := map[string]uint64{}
	breach := func(format string, args ...any) {
		mu.Lock()
		p.Breaches = append(p.Breaches, fmt.Sprintf(format, args...))
		mu.Unlock()
	}
	look := func(edge string) uint64 {
		var got struct {
			Version uint64 `json:"version"`
		}
		if c.Ask(edge, http.MethodGet, "/v1/operator/plan", nil, &got) != nil {
			return 0
		}
		mu.Lock()
		defer mu.Unlock()
		if got.Version < seen[edge] {
			p.Breaches = append(p.Breaches, fmt.Sprintf("%s went back from plan %d to %d", edge, seen[edge], got.Version))
		}
		seen[edge] = got.Version
		return got.Version
	}
	put := func(number int, edge string) uint64 {
		var plan map[string]any
		data, err := os.ReadFile(c.Spec.Plan)
		if err != nil || json.Unmarshal(data, &plan) != nil {
			return 0
		}
		plan["judges"] = map[string]any{"speed": 1 + float64(number)/1000}
		body, _ := json.Marshal(plan)
		var got struct {
			Version uint64 `json:"version"`
		}
		if c.Ask(edge, http.MethodPut, "/v1/operator/plan", body, &got) != nil {
			return 0
		}
		mu.Lock()
		defer mu.Unlock()
		if known, taken := confirmed[got.Version]; taken && known != string(body) {
			p.Breaches = append(p.Breaches, fmt.Sprintf("version %d was confirmed for two plans", got.Version))
		}
		confirmed[got.Version] = string(body)
		return got.Version
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		chance := rand.New(rand.NewSource(5))
		for number := 1; ctx.Err() == nil; number += 2 {
			edges := c.Names("edge")
			versions := make(chan uint64, 2)
			asked := 1 + chance.Intn(2)
			for i := 0; i < asked; i++ {
				edge := edges[chance.Intn(len(edges))]
				go func() { versions <- put(number+i, edge) }()
			}
			newest := uint64(0)
			for i := 0; i < asked; i++ {
				newest = max(newest, <-versions)
			}
			told := time.Now()
			for _, edge := range edges {
				// An edge that is out of reach has no plan in force to judge.
				for newest > 0 && ctx.Err() == nil {
					version := look(edge)
					if version >= newest || version == 0 {
						break
					}
					if time.Since(told) > 2500*time.Millisecond {
						if c.Ask(edge, http.MethodGet, "/ready", nil, nil) == nil {
							breach("%s had plan %d in force %v after %d was confirmed", edge, version, time.Since(told), newest)
						}
						break
					}
					time.Sleep(20 * time.Millisecond)
				}
			}
			mu.Lock()
			p.Checked++
			mu.Unlock()
			select {
			case <-time.After(700 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	}()
	return func() verify.Promise {
		cancel()
		<-done
		for version, body := range confirmed {
			var got struct {
				Plan json.RawMessage `json:"plan"`
			}
			err := localfleet.Until(15*time.Second, func() error {
				return c.Ask(c.Names("edge")[0], http.MethodGet, fmt.Sprintf("/v1/operator/plans/%d", version), nil, &got)
			})
			if err != nil || string(got.Plan) != body {
				breach("plan %d does not read back: %v", version, err)
			}
			p.Checked++
		}
		return p
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
