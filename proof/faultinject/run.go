package faultinject

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tuliprudder/proof/localfleet"
	"tuliprudder/proof/verify"
)

// Run lets callers call, causes the failure, and scorers.
func Run(ctx context.Context, c *localfleet.Fleet, set Settings) (verify.Verdict, error) {
	tour := set.Workload(func() []string {
		var out []string
		for _, name := range c.Names("edge") {
			out = append(out, c.Get(name).HTTP)
		}
		return out
	})
	tour.Quiet = set.Fault == "none"
	s := &scenario{ctx: ctx, fleet: c, set: set}
	office := operate(ctx, c)
	accounts := audit(ctx, c)
	done := make(chan struct{})
	go func() { defer close(done); tour.Run(ctx) }()
	var failed error
	if set.Fault != "none" {
		select {
		case <-time.After(2 * time.Second):
			failed = faults[set.Fault](s)
		case <-done:
		}
	}
	<-done
	if failed != nil {
		return verify.Verdict{}, errors.Wrap(failed, "causing the failure")
	}
	if err := readBack(c); err != nil {
		return verify.Verdict{}, err
	}
	var files []string
	for _, name := range c.Names("modelserver") {
		files = append(files, c.StartsFile(name))
	}
	starts, err := verify.ReadStarts(files)
	if err != nil {
		return verify.Verdict{}, err
	}
	verdict := tour.Verdict(starts, s.leaving)
	verdict.Promises = append(verdict.Promises, office(), accounts())
	if set.Workers > 0 && set.Bundles > 8 {
		addUnseen(verdict.Promises, set.Fault)
	}
	for _, other := range s.workloads {
		more := other.Verdict(starts, s.leaving)
		for _, promise := range more.Promises {
			promise.Name = "surge: " + promise.Name
			verdict.Promises = append(verdict.Promises, promise)
		}
		for name, count := range more.Counts {
			verdict.Counts["surge: "+name] = count
		}
	}
	return verdict, nil
}

// mayMiss lists what a run need not put to the test, by the beginning of the
// promise's name; the failure that causes it must.
var mayMiss = map[string]map[string]bool{
	"a leaving server": {"leave-server": true, "roll-servers": true},
}

// addUnseen makes a breach of every promise that the run had to put to the test and
// did not: a verdict of nothing proves nothing.
func addUnseen(promises []verify.Promise, fault string) {
	for i := range promises {
		p := &promises[i]
		must := true
		for name, causes := range mayMiss {
			if strings.HasPrefix(p.Name, name) {
				must = causes[fault]
			}
		}
		if must && p.Checked == 0 {
			p.Breaches = append(p.Breaches, "the run did not put it to the test")
		}
	}
}

// readBack reads every plan version back at the end of the day.
func readBack(c *localfleet.Fleet) error {
	edge := c.Names("edge")[0]
	return localfleet.Until(15*time.Second, func() error {
		var list struct {
			Plans []struct {
				Version uint64 `json:"version"`
			} `json:"plans"`
		}
		if err := c.Ask(edge, http.MethodGet, "/v1/operator/plans", nil, &list); err != nil {
			return err
		}
		for _, plan := range list.Plans {
			if err := c.Ask(edge, http.MethodGet, fmt.Sprintf("/v1/operator/plans/%d", plan.Version), nil, nil); err != nil {
				return err
			}
		}
		if len(list.Plans) == 0 {
			return errors.New("no plan can be read back")
		}
		return nil
	})
}
