package modelcheck

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
)

// Request is one change of the configuration that an operator sends: the same each time
// it is sent again.
type Request struct {
	Name    string // as traces spell it
	Number  uint64
	Base    uint64
	HasBase bool
	Body    string
}

// operatorRequests are the requests of the runs: two documents under one number, another
// number on the same base, one that builds on the first, and one that builds on the
// second number.
var operatorRequests = []Request{
	{Name: "A", Number: 1, Base: 0, HasBase: true, Body: `{"doc":"A"}`},
	{Name: "B", Number: 1, Base: 0, HasBase: true, Body: `{"doc":"B"}`},
	{Name: "C", Number: 2, Base: 0, HasBase: true, Body: `{"doc":"C"}`},
	{Name: "D", Number: 2, Base: 1, HasBase: true, Body: `{"doc":"D"}`},
	{Name: "E", Number: 3, Base: 2, HasBase: true, Body: `{"doc":"E"}`},
	{Name: finalRequest, Number: 1000, Body: `{"doc":"final"}`},
}

// finalRequest is put once all faults have ended; it gives no base, so that it can't be
// rejected.
const finalRequest = "final"

// requestTimeout is how long an operator's request waits for its reply.
const requestTimeout = 3 * clock.Second

// requestIndex is the index of a request in operatorRequests; -1 where there is none.
func requestIndex(name string) int {
	return slices.IndexFunc(operatorRequests, func(r Request) bool { return r.Name == name })
}

// putConfiguration sends an operator's request to a process; false where it can't be sent.
func (w *World) putConfiguration(processIndex int, name string) bool {
	index := requestIndex(name)
	if index < 0 || w.processes[processIndex].paused {
		return false
	}
	w.faultsUsed.puts++
	w.submit(processIndex, index)
	return true
}

// submit has a process take an operator's request, by its index.
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
