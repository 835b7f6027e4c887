package faultinject

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tuliprudder/test/localfleet"
	"tuliprudder/test/verify"
)

const (
	// noFault is the name of the run without a fault.
	noFault = "none"
	// timeBeforeFault is how long the callers call before the fault.
	timeBeforeFault = 2 * time.Second
	// minBatchesForCoverage is from how many batches on a run has to check every guarantee.
	minBatchesForCoverage = 9
)

// Run lets callers call, injects the fault of the settings, and returns the verdict. An error
// means that the fault could not be injected or the records not be read.
func Run(ctx context.Context, fleet *localfleet.Fleet, settings Settings) (verify.Verdict, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the puts and the audit on every path
	s := &scenario{ctx: ctx, fleet: fleet, settings: settings}
	workload := settings.Workload(s.edgeAddresses)
	workload.NoFaults = settings.Fault == noFault
	finishPuts := startConfigurationPuts(ctx, fleet)
	finishAudit := startQuotaAudit(ctx, fleet)
	if err := s.injectDuring(workload); err != nil {
		return verify.Verdict{}, errors.Wrap(err, "injecting the fault")
	}
	if err := readConfigurationsBack(fleet); err != nil {
		return verify.Verdict{}, err
	}
	return s.verdict(workload, func() []verify.Guarantee {
		return []verify.Guarantee{finishPuts(), finishAudit()}
	})
}

// injectDuring runs the workload to its end, and injects the fault meanwhile.
func (s *scenario) injectDuring(workload *verify.Workload) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		workload.Run(s.ctx)
	}()
	var err error
	if s.settings.Fault != noFault {
		select {
		case <-time.After(timeBeforeFault):
			err = faultActions[s.settings.Fault](s)
		case <-done:
		}
	}
	<-done
	return err
}

// verdict checks the records of all workloads, and adds the guarantees that were checked while
// they ran.
func (s *scenario) verdict(workload *verify.Workload, finish func() []verify.Guarantee) (verify.Verdict, error) {
	starts, err := verify.ReadStarts(s.startLogs())
	if err != nil {
		return verify.Verdict{}, err
	}
	verdict := workload.Verdict(starts, s.drainingSpans)
	verdict.Guarantees = append(verdict.Guarantees, finish()...)
	if s.settings.LiveWorkers > 0 && s.settings.Batches >= minBatchesForCoverage {
		addUnchecked(verdict.Guarantees, s.settings.Fault)
	}
	for _, surge := range s.workloads {
		mergeSurge(&verdict, surge.Verdict(starts, s.drainingSpans))
	}
	return verdict, nil
}

func (s *scenario) startLogs() []string {
	var files []string
	for _, name := range s.fleet.Names("modelserver") {
		files = append(files, s.fleet.StartsFile(name))
	}
	return files
}

// mergeSurge adds the verdict of a surge under names of its own.
func mergeSurge(verdict *verify.Verdict, surge verify.Verdict) {
	for _, guarantee := range surge.Guarantees {
		guarantee.Name = "surge: " + guarantee.Name
		verdict.Guarantees = append(verdict.Guarantees, guarantee)
	}
	for name, count := range surge.Counts {
		verdict.Counts["surge: "+name] = count
	}
}

// optionalGuarantees lists what a run need not check, by name; the faults that concern it
// must.
var optionalGuarantees = map[string]map[string]bool{
	verify.DrainingGuarantee: {"leave-server": true, "roll-servers": true},
}

// addUnchecked makes a violation of every guarantee that the run had to check and did not: a
// verdict on nothing proves nothing.
func addUnchecked(guarantees []verify.Guarantee, fault string) {
	for i := range guarantees {
		p := &guarantees[i]
		faults, isOptional := optionalGuarantees[p.Name]
		isMandatory := !isOptional || faults[fault]
		if isMandatory && p.Checked == 0 {
			p.Violations = append(p.Violations, "the run did not check it")
		}
	}
}
