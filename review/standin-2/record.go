package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu        sync.Mutex
	file      *os.File
	startedAt time.Time
	broken    int
}

func openRecord(name string) (*record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{file: file, startedAt: time.Now()}, nil
}

func (r *record) close() { _ = r.file.Close() }

// logf writes a line with the time since the start.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(entry)
	fmt.Print(entry)
}

// fail writes a line that says how the rule was broken.
func (r *record) fail(format string, args ...any) {
	r.mu.Lock()
	r.broken++
	r.mu.Unlock()
	r.logf("BROKEN: "+format, args...)
}

func (r *record) breaks() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}
