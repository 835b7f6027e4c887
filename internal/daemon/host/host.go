// Package host assembles and runs the services that every daemon has: event loop,
// HTTP server, administration API (DESIGN §2).
package host

import (
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/core/proc"

	"tuliprudder/internal/cleanup"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/daemon/admin"
	"tuliprudder/internal/daemon/eventloop"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/dataplane/decisionlog"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/dataplane/reader"
	"tuliprudder/internal/httpserver"
	"tuliprudder/internal/logging"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/services"
	"tuliprudder/internal/settings"
	"tuliprudder/internal/storage"
)

// Limits limit a daemon's HTTP server: requests open at once, bytes of a body.
type Limits struct{ MaxOpenRequests, MaxBodyBytes int64 }

// Settings adds the HTTP server's bounds to a reader of settings.
func (b *Limits) Settings(r *settings.Reader) {
	r.Int(&b.MaxOpenRequests, "most-open", 4096, 1, 1_000_000, "most requests open at once")
	r.Int(&b.MaxBodyBytes, "most-bytes", 8<<20, 1024, 256<<20, "largest body of a request, in bytes")
}

// Daemon is what every daemon has.
type Daemon struct {
	Services *services.Registry
	Log      zerolog.Logger
	Identity eventloop.Identity
	Loop     *eventloop.Loop
	HTTP     *httpserver.Server
	Admin    *admin.Admin
	Common   settings.Common
	// DrainTimeout is how long a drain may take.
	DrainTimeout clock.Micros
	drainFuncs   []func()
}

// New begins a daemon: its log, identity, event loop and HTTP server. program is its
// name in the log; kind is one of the kinds of package identity.
func New(program, kind string, common settings.Common, limits Limits) (*Daemon, error) {
	var out io.Writer = os.Stderr
	if common.LogFile != "" {
		file, err := os.OpenFile(common.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, errors.Wrap(err, "opening the log")
		}
		out = file
	}
	modelclient.ConfigureDefaultClient()
	proc.SetTimeToForceQuit(time.Hour) // this package drains; go-zero must not end the process first
	var self eventloop.Identity
	var err error
	if common.DataDir != "" {
		err = eventloop.WaitForDisk(logging.New(out, program, ""), time.Sleep, func() error {
			self, err = eventloop.LoadIdentity(common.DataDir, kind)
			return err
		})
		if err != nil {
			return nil, err
		}
	} else {
		self = eventloop.NewIdentity(kind, time.Now().UnixMicro())
	}
	log := logging.New(out, program, self.ID)
	d := &Daemon{Services: services.New(), Log: log, Identity: self, Common: common, DrainTimeout: 8 * clock.Second}
	member := membership.Member{ID: self.ID, Name: common.Name, Kind: kind, Zone: common.Zone, Peer: common.Peer, HTTP: common.HTTP, Incarnation: self.Incarnation, Version: membership.Release}
	d.Loop = eventloop.New(member, append(append([]string(nil), common.Seeds...), d.loadPeers()...), self, log)
	d.Loop.Address = common.PeerListen
	d.HTTP = httpserver.New(common.HTTP, int(limits.MaxOpenRequests), limits.MaxBodyBytes)
	d.Admin = &admin.Admin{Loop: d.Loop, Ready: func() string { return "" }, Counters: func() map[string]int64 { return nil }}
	return d, nil
}

const maxSavedPeers = 64

// loadPeers reads the addresses learnt in earlier runs: the seeds may be dead.
func (d *Daemon) loadPeers() []string {
	if d.Common.DataDir == "" {
		return nil
	}
	data, err := os.ReadFile(d.DataPath(peersFile))
	if err != nil {
		return nil
	}
	var peers []string
	if err := json.Unmarshal(data, &peers); err != nil {
		d.Log.Warn().Err(err).Msg("the learnt addresses can't be read; starting from the seeds alone")
		return nil
	}
	return peers
}

// peerSaver writes the addresses learnt to the data folder whenever they changed.
type peerSaver struct{ d *Daemon }

// Start starts the thread.
func (r peerSaver) Start(_ *services.Registry, ends *cleanup.Stack) error {
	if r.d.Common.DataDir == "" {
		return nil
	}
	last, failed := "", false
	cleanup.Every(ends, 5*time.Second, func() {
		var peers []string
		for _, member := range r.d.Loop.Members() {
			if member.Status == membership.Alive && member.ID != r.d.Identity.ID && len(peers) < maxSavedPeers {
				peers = append(peers, member.Peer)
			}
		}
		data, _ := json.Marshal(peers)
		if len(peers) == 0 || string(data) == last {
			return
		}
		err := storage.WriteFileAtomically(r.d.DataPath(peersFile), data)
		if err != nil && !failed {
			r.d.Log.Warn().Err(err).Msg("the learnt addresses could not be kept; it is tried again")
		}
		if failed = err != nil; !failed {
			last = string(data)
		}
	})
	return nil
}

// OnDrain adds a function that is called when the daemon is asked to stop.
func (d *Daemon) OnDrain(f func()) { d.drainFuncs = append(d.drainFuncs, f) }

type httpService struct{ d *Daemon }

func (f httpService) Start(_ *services.Registry, ends *cleanup.Stack) error {
	f.d.Admin.Routes(f.d.HTTP)
	return f.d.HTTP.Start(ends)
}

// Run starts the services and waits for SIGTERM or SIGINT; then it drains.
func (d *Daemon) Run() error {
	d.Services.Register(eventloop.Name, d.Loop)
	d.Services.Register("http", httpService{d})
	d.Services.Register("peers", peerSaver{d})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := d.Services.Start(); err != nil {
		return err
	}
	d.Log.Info().Str("zone", d.Common.Zone).Str("peer", d.Common.Peer).Str("http", d.Common.HTTP).Uint64("life", d.Identity.Incarnation).Msg("started")
	<-signals
	d.Log.Info().Msg("told to go: draining")
	d.Loop.AnnounceDraining()
	var drains sync.WaitGroup
	for _, f := range d.drainFuncs {
		drains.Add(1)
		go func() { defer drains.Done(); f() }()
	}
	done := make(chan struct{})
	go func() { drains.Wait(); close(done) }()
	select {
	case <-done:
	case <-signals:
	case <-time.After(clock.Duration(d.DrainTimeout)):
		d.Log.Warn().Msg("the drain took too long; going all the same")
	}
	d.Loop.AnnounceLeft()
	time.Sleep(100 * time.Millisecond) // the announcement goes out
	d.Services.Stop()
	d.Log.Info().Msg("gone")
	return nil
}

// SetRequestPath gives the administration API the parts of the request path it shows.
func (d *Daemon) SetRequestPath(scheduling *machines.Scheduling, resultReader *reader.Reader, decisions *decisionlog.Log) {
	d.Admin.Scheduling, d.Admin.Reader, d.Admin.Decisions = scheduling, resultReader, decisions
}

// DataPath is a folder below the data folder.
func (d *Daemon) DataPath(name string) string { return filepath.Join(d.Common.DataDir, name) }

// WaitUntil waits until a condition holds, looking every few milliseconds.
func WaitUntil(timeout clock.Micros, condition func() bool) bool {
	deadline := time.Now().Add(clock.Duration(timeout))
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(10 * time.Millisecond)
	}
	return true
}
