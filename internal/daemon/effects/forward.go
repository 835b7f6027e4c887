package effects

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"tuliprudder/internal/dataplane/execution"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/dataplane/upstream"
)

// itemAttemptTimeout bounds one attempt of an item.
const itemAttemptTimeout = 30 * time.Second

// maxDiscardedBytes is how much of an unused response body is read, so that its connection can
// be reused.
const maxDiscardedBytes = 64 << 10

// Forwarder forwards items unchanged over a client. It may be used by several goroutines.
type Forwarder struct {
	Client   *upstream.Client
	Executor *Executor
	// IdleTimeout is how long a server may send nothing for an item; 0 means 10 s.
	IdleTimeout time.Duration
}

// Forward forwards an item to its server unchanged (DESIGN §12.5) and collects the events of
// the response; a later attempt resumes after the last one.
func (f Forwarder) Forward(ctx context.Context, attempt execution.Attempt) execution.AttemptResult {
	ctx, cancel := context.WithTimeout(ctx, itemAttemptTimeout)
	defer cancel()
	ctx, idle := withIdleTimeout(ctx, cmp.Or(f.IdleTimeout, itemIdleTimeout))
	defer idle.stop()
	result := execution.AttemptResult{
		AttemptID:   attempt.ID,
		Outcome:     modelclient.Interrupted,
		LastEventID: attempt.ForwardedItem.LastEventID,
	}
	response, err := f.Client.Do(ctx, upstreamRequest(attempt))
	if err != nil {
		result.Reason = failureReason(ctx, err)
		if upstream.DeliveryOf(err) == upstream.NotWritten {
			result.Outcome = modelclient.NotStarted
		}
		return result
	}
	defer response.Close()
	if response.Status == http.StatusOK && !response.NotRun {
		if err := f.collectEvents(attempt, response, idle, &result); err != nil {
			result.Reason = failureReason(ctx, err)
			return result
		}
		result.Outcome = modelclient.Complete
		result.WeightVersion = response.WeightVersion
		return result
	}
	recordFailure(response, &result)
	result.Load = response.Load
	result.WeightVersion = response.WeightVersion
	result.WrongWeights = response.WrongWeights
	// An error here only means that the connection is not reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardedBytes))
	return result
}

// upstreamRequest builds the request of an attempt as it is sent to the server.
func upstreamRequest(attempt execution.Attempt) upstream.Request {
	item := attempt.ForwardedItem
	header := make(http.Header, len(item.Request.Header))
	for name, value := range item.Request.Header {
		header.Set(name, value)
	}
	request := upstream.Request{
		Address:         attempt.Request.Address,
		Instance:        item.Instance,
		Method:          http.MethodPost,
		Target:          item.Request.Target,
		Host:            item.Request.Host,
		ID:              item.ItemID,
		Header:          header,
		Body:            item.Request.Body,
		IsAuthenticated: item.IsAuthenticated,
		Tenant:          item.Tenant,
	}
	if item.LastEventID > 0 {
		request.LastEventID = strconv.Itoa(item.LastEventID)
	}
	return request
}

// recordFailure records a response without events: the server certainly did not run the item,
// rejected it permanently, failed, or responded with another status.
func recordFailure(response *upstream.Response, result *execution.AttemptResult) {
	switch {
	case response.NotRun:
		result.Outcome = modelclient.NotStarted
		result.Reason = "the server did not run it: status " + strconv.Itoa(response.Status)
	case response.Status == http.StatusUnprocessableEntity:
		result.Outcome = modelclient.Rejected
		result.Reason = "the server rejected the item permanently"
	case response.Status == http.StatusInternalServerError:
		result.ServerFailed = true
		result.Reason = "the server failed"
	default:
		result.Reason = "the server responded with status " + strconv.Itoa(response.Status)
	}
}

// collectEvents collects the events of a response into the result. The error says why the response
// is incomplete. An event out of order is an error, since it does not belong to this attempt.
func (f Forwarder) collectEvents(attempt execution.Attempt, response *upstream.Response, idle idleTimer, result *execution.AttemptResult) error {
	events := upstream.NewEventReader(response.Body)
	size := 0
	for {
		event, err := events.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		idle.reset()
		id, err := strconv.Atoi(event.ID)
		if err != nil || id != result.LastEventID+1 {
			return errors.Errorf("event %s follows event %d", event.ID, result.LastEventID)
		}
		if size += len(event.Data); size > attempt.MaxOutputBytes {
			return errors.Errorf("the result exceeds %d bytes", attempt.MaxOutputBytes)
		}
		if len(result.Events) == 0 {
			f.Executor.Notify(execution.AttemptStarted{AttemptID: attempt.ID, Load: response.Load, WeightVersion: response.WeightVersion})
		}
		response.ObserveEvent(event)
		result.LastEventID = id
		result.Events = append(result.Events, event.Data)
	}
}
