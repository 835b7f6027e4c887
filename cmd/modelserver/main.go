// Program modelserver is a fake model server for tests and fault drills (DESIGN §9). It answers chat
// completions with text derived deterministically from the input, streamed in chunks with a delay
// before each. It has a limited number of concurrency slots, a prefix cache, and faults that can be
// set at run time. It logs the start and end of every run so that checkers can count them.
//
// HTTP: POST /v1/chat/completions (a stream of events), GET /health, GET /metrics, and
// POST /control, which sets a fault.
package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"tuliprudder/internal/cleanup"
	"tuliprudder/internal/httpserver"
	"tuliprudder/internal/logging"
	"tuliprudder/internal/settings"
)

const (
	maxOpenRequests = 100_000
	maxBodyBytes    = 16 << 20
)

// options are the program's settings; durations are in microseconds.
type options struct {
	listen, name, startLogPath   string
	slots, queueLimit            int64
	chunkUS, prefillUS           int64
	maxCachedPrefixes, maxChunks int64
}

func readOptions(args []string) options {
	var opts options
	r := settings.New("modelserver")
	r.Flags.StringVar(&opts.listen, "listen", "", "address to serve on, IP:port")
	r.Flags.StringVar(&opts.name, "name", "modelserver", "server name in the logs")
	r.Flags.StringVar(&opts.startLogPath, "starts", "", "file to append the start and end of every run to; empty: no file")
	r.Int(&opts.slots, "slots", 8, 1, 10_000, "maximum number of concurrent requests")
	r.Int(&opts.queueLimit, "queue", 64, 0, 100_000, "requests that may wait for a slot, in addition to as many as there are slots; further ones are rejected")
	r.Int(&opts.chunkUS, "piece-us", 4000, 0, 10_000_000, "microseconds per output chunk")
	r.Int(&opts.prefillUS, "prefill-us", 20_000, 0, 10_000_000, "microseconds before the first chunk if the prompt's prefix is not cached")
	r.Int(&opts.maxCachedPrefixes, "prefixes", 4, 0, 10_000, "capacity of the prefix cache; the least recently used prefix is evicted first")
	r.Int(&opts.maxChunks, "pieces", 6, 1, 10_000, "maximum number of chunks in an output")
	r.AddCheck(func() { r.CheckAddress("listen", opts.listen) })
	r.MustParse(args)
	return opts
}

func main() {
	opts := readOptions(os.Args[1:])
	logging.New(os.Stderr, "modelserver", opts.name)
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, "modelserver:", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT.
func run(opts options) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	s := newServer(opts)
	if opts.startLogPath != "" {
		file, err := os.OpenFile(opts.startLogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer file.Close()
		s.startLog.out = file
	}
	httpServer := httpserver.New(opts.listen, maxOpenRequests, maxBodyBytes)
	httpServer.Handle(http.MethodPost, "/v1/chat/completions", s.chatCompletion)
	httpServer.Handle(http.MethodGet, "/health", s.health)
	httpServer.Handle(http.MethodGet, "/metrics", s.metrics)
	httpServer.Handle(http.MethodPost, "/control", s.setFault)
	var cleanups cleanup.Stack
	defer cleanups.Run()
	if err := httpServer.Start(&cleanups); err != nil {
		return err
	}
	<-signals
	return nil
}
