package roles

import (
	"tuliprudder/internal/daemon/effects"
	"tuliprudder/internal/daemon/host"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/daemon/metrics"
)

// Edge holds the parts of an edge daemon. The state machine must only be read within
// Loop.WithMachine.
type Edge struct {
	*machines.Edge
	Executor *effects.Executor
}

// NewEdge makes an edge daemon.
func NewEdge(d *host.Daemon, settings machines.EdgeSettings) *Edge {
	edge := machines.NewEdge(d.Identity.ID, settings, int64(d.Identity.Incarnation))
	executor := effects.New(d.Loop.Now, d.Loop.Notify)
	d.Loop.SetMachine(edge, nil)
	d.Loop.SetExecutor(executor.Execute)
	d.SetRequestPath(edge.Scheduling, edge.Reader, edge.Decisions)
	d.Admin.Metrics.Register(metrics.NewModule(edgeMetrics, func() edgeSample { return sampleEdge(d.Loop, edge) }))
	return &Edge{Edge: edge, Executor: executor}
}
