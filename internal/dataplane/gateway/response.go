package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/proxy"
	"tuliprudder/internal/dataplane/upstream"
	"tuliprudder/internal/errs"
)

const contentTypeEventStream = "text/event-stream"

// unknownLength stands for a response whose length is not known before its end.
const unknownLength = -1

// forwardResponse forwards a response to the caller. One that is not an event stream is read
// completely first: of an interrupted one nothing gets out, its head neither.
func (p *proxiedRequest) forwardResponse(response *upstream.Response) error {
	if isEventStream(response) {
		return p.forwardEvents(response)
	}
	if p.responseStarted {
		return errs.New(errs.ServerFault, "have the server resume the stream", "the server resumes an event stream with a response of another type")
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	length := unknownLength
	if response.Length >= 0 {
		length = len(data)
	}
	p.startResponse(response, length)
	_, err = p.w.Write(data)
	return err
}

func isEventStream(response *upstream.Response) bool {
	return response.Status == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), contentTypeEventStream)
}

// startResponse sends the head of a response to the caller. A resumed stream keeps the head
// of the first server's response.
func (p *proxiedRequest) startResponse(response *upstream.Response, length int) {
	if p.responseStarted {
		return
	}
	p.responseStarted = true
	header := p.w.Header()
	for name, values := range endToEndHeaders(response.Header) {
		header[name] = values
	}
	if length != unknownLength {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	p.w.WriteHeader(response.Status)
}

// forwardEvents forwards an event stream, event by event as they arrive. A server that resumes
// a stream has to begin with the event after the last one that was forwarded.
func (p *proxiedRequest) forwardEvents(response *upstream.Response) error {
	reader := upstream.NewEventReader(response.Body)
	resuming := p.responseStarted
	for isFirst := true; ; isFirst = false {
		event, err := reader.Next()
		if err == io.EOF {
			return p.endStream(response, reader)
		}
		if err != nil {
			return err
		}
		if resuming && !isNextEvent(p.lastEventID, event.ID) {
			return errs.New(errs.ServerFault, "have the server resume after the event that the request names", "event %s follows event %s", event.ID, p.lastEventID)
		}
		if isFirst {
			p.forwarder.reportStarted(proxy.AttemptStarted{RequestID: p.requestID, Load: response.Load, WeightVersion: response.WeightVersion})
		}
		response.ObserveEvent(event)
		if err := p.forwardEvent(response, event); err != nil {
			return err
		}
		if event.ID != "" {
			resuming = false
		}
	}
}

func (p *proxiedRequest) forwardEvent(response *upstream.Response, event upstream.Event) error {
	p.startResponse(response, unknownLength)
	if _, err := p.w.Write(event.Raw); err != nil {
		return err
	}
	if err := http.NewResponseController(p.w).Flush(); err != nil {
		return err
	}
	p.observeEventGap(p.forwarder.Now())
	if event.ID != "" {
		p.lastEventID = event.ID
	}
	return nil
}

// observeEventGap notes that an event was forwarded.
func (p *proxiedRequest) observeEventGap(now clock.Micros) {
	if p.lastEventAt > 0 {
		p.longestEventGap = max(p.longestEventGap, now-p.lastEventAt)
	}
	p.lastEventAt = now
}

// endStream forwards what follows the last event.
func (p *proxiedRequest) endStream(response *upstream.Response, reader *upstream.EventReader) error {
	p.startResponse(response, unknownLength)
	_, err := p.w.Write(reader.Trailing())
	return err
}

// isNextEvent tells whether an event is the one after the last that was forwarded. IDs that
// are not numbers can't be compared: then it is taken to be.
func isNextEvent(lastID, id string) bool {
	last, err := strconv.ParseInt(lastID, 10, 64)
	if err != nil || id == "" {
		return true
	}
	next, err := strconv.ParseInt(id, 10, 64)
	return err != nil || next == last+1
}
