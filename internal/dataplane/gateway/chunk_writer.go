package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"tuliprudder/internal/dataplane/requests"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/httpserver"
)

// chunkWriter receives the output of a live request in chunks. It streams them to the caller as
// events, or collects them for a one-shot response.
type chunkWriter struct {
	w          http.ResponseWriter
	requestID  string
	streaming  bool
	started    bool // the response head of the stream has been sent to the caller
	maxBytes   int  // limit of the output over all attempts
	chunkCount int
	text       strings.Builder // all chunks of all attempts
}

// The events of a stream (DESIGN §7). Their names and JSON keys are part of the public API, and the
// fields are declared in the alphabetical order of their keys.
const (
	eventChunk = "piece"
	eventError = "error"
	eventEnd   = "end"
)

type chunkEvent struct {
	Text string `json:"text"`
}

type errorEvent struct {
	Error *errs.Error `json:"error"`
}

type endEvent struct {
	Bytes      int    `json:"bytes"`
	RequestID  string `json:"order"`
	ChunkCount int    `json:"pieces"`
	Server     string `json:"server"`
}

// writeChunk adds the next chunk. It returns errs.TooLarge if the output would exceed maxBytes.
func (c *chunkWriter) writeChunk(text string) error {
	if c.text.Len()+len(text) > c.maxBytes {
		return errs.New(errs.TooLarge, "lower max_tokens", "the output exceeds %d bytes", c.maxBytes)
	}
	c.text.WriteString(text)
	c.chunkCount++
	if !c.streaming {
		return nil
	}
	c.startStream()
	return c.writeEvent(eventChunk, chunkEvent{Text: text})
}

func (c *chunkWriter) startStream() {
	if c.started {
		return
	}
	c.started = true
	c.w.Header().Set("Content-Type", contentTypeEventStream)
	c.w.Header().Set("Cache-Control", "no-store")
	c.w.Header().Set(headerRequestID, c.requestID)
	c.w.WriteHeader(http.StatusOK)
}

func (c *chunkWriter) writeEvent(name string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c.w, "event: %s\ndata: %s\n\n", name, data); err != nil {
		return err
	}
	return http.NewResponseController(c.w).Flush()
}

// complete writes the one-shot response, or the end event, which only a complete stream has.
func (c *chunkWriter) complete(response requests.Response) error {
	if response.Replayed {
		c.w.Header().Set(headerReplayed, "true")
	}
	if !c.streaming {
		return httpserver.WriteJSON(c.w, http.StatusOK, response)
	}
	c.startStream()
	return c.writeEvent(eventEnd, endEvent{
		Bytes:      c.text.Len(),
		RequestID:  response.RequestID,
		ChunkCount: c.chunkCount,
		Server:     response.Server,
	})
}

// writeError ends a stream that has started with an error event, which tells the caller that the
// stream is incomplete. Before the first chunk it returns the error, so that the caller gets an
// ordinary error response.
func (c *chunkWriter) writeError(cause error) error {
	if !c.started {
		return cause
	}
	// A write error means that the caller has disconnected and cannot get the event anyway.
	_ = c.writeEvent(eventError, errorEvent{Error: errs.Of(cause)})
	return nil
}
