package effects

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"tuliprudder/path/execution"
	"tuliprudder/path/modelclient"
	"tuliprudder/path/upstream"
)

// itemExpiry is how long one try of an item may take before it is broken off: a
// server that says nothing for so long is taken for lost.
const itemExpiry = 30 * time.Second

// Forwarder passes opaque items on over a client.
type Forwarder struct {
	Client   *upstream.Client
	Executor *Executor
}

// Forward passes an item on to its server unchanged (DESIGN §12.5) and gathers the
// events of its answer; a later try goes on after the last one.
func (f Forwarder) Forward(ctx context.Context, w execution.Run) (ran execution.Ran) {
	ran = execution.Ran{Token: w.Token, Outcome: modelclient.Cut, LastEvent: w.Forward.Resume}
	ctx, cancel := context.WithTimeout(ctx, itemExpiry)
	defer cancel()
	item := w.Forward.Request
	header := make(http.Header, len(item.Header))
	for name, value := range item.Header {
		header.Set(name, value)
	}
	request := upstream.Request{Address: w.Request.Address, Instance: w.Forward.Instance, Method: http.MethodPost, Target: item.Target, Host: item.Host,
		ID: w.Forward.ID, Header: header, Body: item.Body}
	if w.Forward.Resume > 0 {
		request.LastEvent = strconv.Itoa(w.Forward.Resume)
	}
	answer, err := f.Client.Do(ctx, request)
	if err != nil {
		ran.Why = err.Error()
		if upstream.CertaintyOf(err) == upstream.NotWritten {
			ran.Outcome = modelclient.NotStarted
		}
		return ran
	}
	defer answer.Close()
	switch {
	case answer.NotRun:
		ran.Outcome, ran.Why = modelclient.NotStarted, "the server did not run it: "+strconv.Itoa(answer.Status)
	case answer.Status == http.StatusUnprocessableEntity:
		ran.Outcome, ran.Why = modelclient.Rejected, "the server says that it can never be done"
	case answer.Status == http.StatusInternalServerError:
		ran.Failed, ran.Why = true, "the server failed"
	case answer.Status != http.StatusOK:
		ran.Why = "the server answered " + strconv.Itoa(answer.Status)
	default:
		ran.Outcome, ran.Why = f.gather(w, answer, &ran)
		return ran
	}
	io.Copy(io.Discard, io.LimitReader(answer.Body, 64<<10))
	return ran
}

// gather collects the events of an answer. An event that is out of order belongs to
// no run that was asked for.
func (f Forwarder) gather(w execution.Run, answer *upstream.Answer, ran *execution.Ran) (modelclient.Outcome, string) {
	events := upstream.NewEventReader(answer.Body)
	size := 0
	for {
		event, err := events.Next()
		if err == io.EOF && answer.Delimited {
			return modelclient.Complete, ""
		}
		if err != nil {
			return modelclient.Cut, err.Error()
		}
		id, err := strconv.Atoi(event.ID)
		if err != nil || id != ran.LastEvent+1 {
			return modelclient.Cut, "event " + event.ID + " follows event " + strconv.Itoa(ran.LastEvent)
		}
		if size += len(event.Data); size > w.MostBytes {
			return modelclient.Cut, "the result is over " + strconv.Itoa(w.MostBytes) + " bytes"
		}
		if len(ran.Events) == 0 {
			f.Executor.Notify(execution.Began{Token: w.Token})
		}
		ran.LastEvent = id
		ran.Events = append(ran.Events, event.Data)
	}
}
