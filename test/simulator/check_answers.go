package simulator

import (
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/test/modelcontent"
)

// requestStarted records a server's report that a request has started there.
func (v *Workload) requestStarted(start modelcontent.Start) {
	v.RequestsStarted++
	v.checkDraining(start)
	if batch, _, ok := strings.Cut(start.Input, "#"); ok {
		v.itemStarted(batch, start)
		return
	}
	req := v.requestByInput[start.Input]
	if req == nil {
		v.reportViolation(answerIntact, "%s runs a request that nobody sent: %s", start.Server, start.Input)
		return
	}
	req.Starts = append(req.Starts, start)
	v.countCheck(runsAtMostOnce)
	if req.runsOnlyOnce() && len(req.Starts) > 1 {
		v.reportViolation(runsAtMostOnce, "%s request %s runs a second time, on %s", req.Kind, req.Input, start.Server)
	}
	if req.Outcome == outcomeRejected {
		v.reportViolation(runsAtMostOnce, "request %s was rejected (%s) %d us ago, and runs on %s", req.Input, req.Reason, start.At-req.AnsweredAt, start.Server)
	}
	v.checkStartInForce(req, start)
}

// answerCompleted records a server's report that an answer is complete.
func (v *Workload) answerCompleted(input string) {
	if batch, item, ok := strings.Cut(input, "#"); ok {
		v.itemCompleted(batch, item)
	}
}

// checkAnswer checks a request's outcome and output as its caller saw them.
func (v *Workload) checkAnswer(req *Request) {
	want := modelcontent.Answer(req.Input, chunksPerAnswer)
	v.countCheck(streamIntact)
	if !strings.HasPrefix(want, req.Output) {
		v.reportViolation(streamIntact, "%s request %s: chunks dropped, repeated or joined: %q of %q", req.Kind, req.Input, req.Output, want)
	}
	if req.Complete {
		v.countCheck(answerIntact)
		if req.Output != want {
			v.reportViolation(answerIntact, "%s request %s: %q looks complete, and is not %q", req.Kind, req.Input, req.Output, want)
		}
		v.LastServed[req.Edge+" "+req.Route] = v.world.Now
	}
	if req.Outcome == outcomeRejected && len(req.Starts) > 0 && req.Key == "" {
		v.reportViolation(runsAtMostOnce, "request %s was rejected (%s) and ran on %s", req.Input, req.Reason, req.Starts[0].Server)
	}
	v.OutcomeCounts[req.Outcome]++
}

// answerGrace is the grace beyond a forwarded request's deadline.
const answerGrace = 300 * clock.Millisecond

// checkAnswerTime checks that a caller was answered or rejected by the deadline of its
// request, where its edge had no fault meanwhile.
func (v *Workload) checkAnswerTime(e *exchange) {
	req := e.request
	if e.callerLeft || !e.node.healthySince(req.SentAt) {
		return
	}
	v.countCheck(answeredByDeadline)
	if elapsed := req.AnsweredAt - req.SentAt; elapsed > forwardTimeout+answerGrace {
		v.reportViolation(answeredByDeadline, "%s request %s had its answer from %s only after %d us", req.Kind, req.Input, req.Edge, elapsed)
	}
}
