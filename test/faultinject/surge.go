package faultinject

import "time"

const (
	surgeBatches     = 200
	surgeMaxAttempts = 3
	surgeSeedOffset  = 7_000_000
)

// surge submits many batches at all edges at once.
func (s *scenario) surge() error {
	workload := s.settings.Workload(s.edgeAddresses)
	workload.Seed = s.settings.Seed + surgeSeedOffset
	workload.LiveWorkers = 0
	workload.Batches = surgeBatches
	workload.BatchInterval = 0
	workload.MaxAttempts = surgeMaxAttempts
	workload.Run(s.ctx)
	s.workloads = append(s.workloads, workload)
	return nil
}

// surgeWithEdgeCrashes submits a surge while the edges, the owners of quotas among them, are
// killed and started one after the other.
func (s *scenario) surgeWithEdgeCrashes() error {
	surge := make(chan error, 1)
	go func() { surge <- s.surge() }()
	for _, name := range s.fleet.Names("edge") {
		s.wait(500 * time.Millisecond)
		s.fleet.Kill(name)
		if err := s.fleet.StartDaemon(name); err != nil {
			return err
		}
	}
	return <-surge
}
