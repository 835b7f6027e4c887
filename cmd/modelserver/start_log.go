package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"tuliprudder/test/modelcontent"
)

// startLog writes the starts and ends of runs, one JSON object per line.
type startLog struct {
	server string
	mu     sync.Mutex // serializes writes to out
	out    io.Writer  // nil: nothing is logged
}

// started logs the start of a request's run; resumed means that the run continues a partial output.
func (l *startLog) started(r *http.Request, input string, resumed bool) {
	l.write(modelcontent.Start{At: time.Now().UnixMicro(), Server: l.server, RequestID: r.Header.Get("X-Request-Id"), Input: input, Resume: resumed})
}

// ended logs that a request's output was sent completely.
func (l *startLog) ended(r *http.Request, input string) {
	l.write(modelcontent.Start{At: time.Now().UnixMicro(), Server: l.server, RequestID: r.Header.Get("X-Request-Id"), Input: input, End: true})
}

func (l *startLog) write(entry modelcontent.Start) {
	if l.out == nil {
		return
	}
	line, _ := json.Marshal(entry)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out.Write(append(line, '\n'))
}
