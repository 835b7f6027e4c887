package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"tuliprudder/test/modelcontent"
)

// startLog is the file of starts and ends of runs, one JSON object a line.
type startLog struct {
	server string
	mu     sync.Mutex // one line after the other
	out    io.Writer  // nil: none
}

// started logs that a request's run began; resumed says that it goes on with a partial
// output.
func (l *startLog) started(r *http.Request, input string, resumed bool) {
	l.write(modelcontent.Start{At: time.Now().UnixMicro(), Server: l.server, RequestID: r.Header.Get("X-Request-Id"), Input: input, Resume: resumed})
}

// ended logs that a request's output is complete.
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
