package httpserver

import "net/http"

// responseWriter writes the response to one request. If the server is draining when the head is
// written, the head tells the caller to use another connection for the next request.
type responseWriter struct {
	http.ResponseWriter
	server *RawServer
}

// WriteHeader writes the head of the response.
func (w *responseWriter) WriteHeader(status int) {
	w.announceClose()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, and before the first part the head.
func (w *responseWriter) Write(data []byte) (int, error) {
	w.announceClose()
	return w.ResponseWriter.Write(data)
}

// FlushError sends what was written, and before the first part of the body the head.
func (w *responseWriter) FlushError() error {
	w.announceClose()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// announceClose has no effect once the head has been written.
func (w *responseWriter) announceClose() {
	if w.server.isDraining.Load() {
		w.Header().Set("Connection", "close")
	}
}

// LimitBody makes reading more than limit bytes of a request's body fail with a
// *http.MaxBytesError, after which the connection is closed.
func LimitBody(w http.ResponseWriter, r *http.Request, limit int64) {
	if wrapped, ok := w.(*responseWriter); ok {
		w = wrapped.ResponseWriter // http.MaxBytesReader closes the connection of net/http's own writer only
	}
	r.Body = http.MaxBytesReader(w, r.Body, limit)
}
