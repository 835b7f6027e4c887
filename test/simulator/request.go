package simulator

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/errs"
	"tuliprudder/test/modelcontent"
)

// Request is one live request as its caller saw it, with the servers' log of it.
type Request struct {
	Input, Kind, Tenant string
	Route               string
	Key                 string
	SentAt, AnsweredAt  clock.Micros
	Outcome             string // outcomeOK ...; "" while it is open
	Reason              errs.Kind
	Output              string
	Complete            bool // its answer is complete
	Edge                string
	Starts              []modelcontent.Start
	disconnect          func() // the caller closes its connection
	Forwarded           bool   // sent to a server unchanged
}

// The outcomes of a request as its caller saw them.
const (
	outcomeOK       = "ok"
	outcomeRejected = "refused"
	outcomeUnknown  = "unknown"
	outcomeFailed   = "failed" // a server's own failure was forwarded
)

// runsOnlyOnce says whether the request may run no more than once. A stream may not run
// again either where it is forwarded: the edge could not join its events.
func (req *Request) runsOnlyOnce() bool {
	return req.Kind == config.OneShot || req.Forwarded && req.Kind == config.Stream
}

// callerTimeout is how long a caller waits before it closes its connection.
const callerTimeout = 15 * clock.Second

// addRequest records a request before it is sent, so that the servers' reports of it are
// known.
func (v *Workload) addRequest(req *Request) {
	v.Requests = append(v.Requests, req)
	v.requestByInput[req.Input] = req
}
