package faultinject

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tuliprudder/test/localfleet"
	"tuliprudder/test/verify"
)

// Run lets callers call, causes the failure, and scorers.
func Run(ctx context.Context, c *localfleet.Fleet, set Settings) (verify.Verdict, error) {
	workload := set.Workload(func() []string {
		var out []string
		for _, name := range c.Names("edge") {
			out = append(out, c.Get(name).HTTP)
		}
		return out
	})
	workload.NoFaults = set.Fault == "none"
	s := &scenario{ctx: ctx, fleet: c, settings: set}
	finishPuts := startConfigurationPuts(ctx, c)
	finishAudit := startQuotaAudit(ctx, c)
	done := make(chan struct{})
	go func() { defer close(done); workload.Run(ctx) }()
	var failed error
	if set.Fault != "none" {
		select {
		case <-time.After(2 * time.Second):
			failed = faultActions[set.Fault](s)
		case <-done:
		}
	}
	<-done
	if failed != nil {
		return verify.Verdict{}, errors.Wrap(failed, "causing the failure")
	}
	if err := readConfigurationsBack(c); err != nil {
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
	verdict := workload.Verdict(starts, s.drainingSpans)
	verdict.Guarantees = append(verdict.Guarantees, finishPuts(), finishAudit())
	if set.LiveWorkers > 0 && set.Batches > 8 {
		addUnchecked(verdict.Guarantees, set.Fault)
	}
	for _, other := range s.workloads {
		more := other.Verdict(starts, s.drainingSpans)
		for _, guarantee := range more.Guarantees {
			guarantee.Name = "surge: " + guarantee.Name
			verdict.Guarantees = append(verdict.Guarantees, guarantee)
		}
		for name, count := range more.Counts {
			verdict.Counts["surge: "+name] = count
		}
	}
	return verdict, nil
}

// optionalGuarantees lists what a run need not put to the test, by the beginning of the
// promise's name; the failure that causes it must.
var optionalGuarantees = map[string]map[string]bool{
	"a leaving server": {"leave-server": true, "roll-servers": true},
}

// addUnchecked makes a breach of every promise that the run had to put to the test and
// did not: a verdict of nothing proves nothing.
func addUnchecked(guarantees []verify.Guarantee, fault string) {
	for i := range guarantees {
		p := &guarantees[i]
		mandatory := true
		for name, causes := range optionalGuarantees {
			if strings.HasPrefix(p.Name, name) {
				mandatory = causes[fault]
			}
		}
		if mandatory && p.Checked == 0 {
			p.Violations = append(p.Violations, "the run did not put it to the test")
		}
	}
}

// readConfigurationsBack reads every configuration version back at the end of the day.
func readConfigurationsBack(c *localfleet.Fleet) error {
	edge := c.Names("edge")[0]
	return localfleet.WaitUntil(15*time.Second, func() error {
		var list struct {
			Configurations []struct {
				Version uint64 `json:"version"`
			} `json:"plans"`
		}
		if err := c.Call(edge, http.MethodGet, "/v1/operator/plans", nil, &list); err != nil {
			return err
		}
		for _, configuration := range list.Configurations {
			if err := c.Call(edge, http.MethodGet, fmt.Sprintf("/v1/operator/plans/%d", configuration.Version), nil, nil); err != nil {
				return err
			}
		}
		if len(list.Configurations) == 0 {
			return errors.New("no plan can be read back")
		}
		return nil
	})
}
