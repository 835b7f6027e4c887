package modelcheck

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
)

// Request is a configuration change sent by an operator. Its content is the same each time it is
// sent again.
type Request struct {
	Name    string // as spelled in traces
	Number  uint64
	Base    uint64
	HasBase bool
	Body    string
}

// operatorRequests are the requests of the runs: two documents with the same number, another number
// on the same base, one based on the first number, and one based on the second number.
var operatorRequests = []Request{
	{Name: "A", Number: 1, Base: 0, HasBase: true, Body: `{"doc":"A"}`},
	{Name: "B", Number: 1, Base: 0, HasBase: true, Body: `{"doc":"B"}`},
	{Name: "C", Number: 2, Base: 0, HasBase: true, Body: `{"doc":"C"}`},
	{Name: "D", Number: 2, Base: 1, HasBase: true, Body: `{"doc":"D"}`},
	{Name: "E", Number: 3, Base: 2, HasBase: true, Body: `{"doc":"E"}`},
	{Name: finalRequest, Number: 1000, Body: `{"doc":"final"}`},
}

// finalRequest is submitted once all faults have ended; it has no base, so that it cannot be
// rejected.
const finalRequest = "final"

// requestTimeout is how long an operator's request waits for its reply.
const requestTimeout = 3 * clock.Second

// requestIndex returns the index of a request in operatorRequests, or -1.
func requestIndex(name string) int {
	return slices.IndexFunc(operatorRequests, func(r Request) bool { return r.Name == name })
}

// putConfiguration sends an operator's request to a process; it returns false if it cannot be sent.
func (w *World) putConfiguration(processIndex int, name string) bool {
	index := requestIndex(name)
	if index < 0 || w.processes[processIndex].paused {
		return false
	}
	w.faultsUsed.puts++
	w.submit(processIndex, index)
	return true
}

// submit passes an operator's request, given by its index, to a process.
func (w *World) submit(processIndex, request int) {
	call := w.history.recordCall(request)
	r := operatorRequests[request]
	w.execute(processIndex, controlplane.Call{Number: call, Body: controlplane.PutConfigurationRequest{
		Body:    []byte(r.Body),
		Number:  r.Number,
		Base:    r.Base,
		HasBase: r.HasBase,
		By:      "operator",
		Timeout: requestTimeout,
	}})
}
