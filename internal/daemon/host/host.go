// Package host assembles and runs the services that every daemon has (DESIGN §2): event loop,
// HTTP server, administration API and saved peers. Package roles adds the parts of a role. A
// program calls New, then a function of roles, then Run.
package host

import (
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"tuliprudder/internal/cleanup"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/daemon/admin"
	"tuliprudder/internal/daemon/eventloop"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/daemon/metrics"
	"tuliprudder/internal/dataplane/decisionlog"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/dataplane/reader"
	"tuliprudder/internal/httpserver"
	"tuliprudder/internal/logging"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/services"
	"tuliprudder/internal/settings"
)

// Limits are the limits of a daemon's HTTP server.
type Limits struct {
	MaxOpenRequests int64 // concurrent requests; default 4096
	MaxBodyBytes    int64 // size of one request body; default 8 MiB
}

// Settings adds the limits to a settings reader.
func (l *Limits) Settings(r *settings.Reader) {
	r.Int(&l.MaxOpenRequests, "most-open", 4096, 1, 1_000_000, "maximum number of concurrent requests")
	r.Int(&l.MaxBodyBytes, "most-bytes", 8<<20, 1024, 256<<20, "maximum size of a request body, in bytes")
}

// Daemon holds the parts that every daemon has. One goroutine assembles them before Run.
type Daemon struct {
	Services *services.Registry
	Log      zerolog.Logger
	Identity eventloop.Identity
	Loop     *eventloop.Loop
	HTTP     *httpserver.Server
	Admin    *admin.Admin
	Common   settings.Common
	// DrainTimeout is how long draining may take; default 8 s.
	DrainTimeout clock.Micros
	drainFuncs   []func()
	stops        *stopListener
}

const (
	defaultDrainTimeout = 8 * clock.Second
	// leaveAnnouncementDelay is how long a stopping daemon waits for the announcement that it has
	// left to be sent.
	leaveAnnouncementDelay = 100 * time.Millisecond
)

// New makes a daemon with its log, identity, event loop, HTTP server and administration API.
// program is its name in the log; kind is one of the kinds of package membership. If the daemon
// has a data folder, New blocks until the disk accepts writes.
func New(program, kind string, common settings.Common, limits Limits) (*Daemon, error) {
	out, err := openLog(common.LogFile)
	if err != nil {
		return nil, err
	}
	modelclient.ConfigureDefaultClient()
	stops := newStopListener()
	self, err := loadIdentity(logging.New(out, program, ""), kind, common.DataDir)
	if err != nil {
		return nil, err
	}
	log := logging.New(out, program, self.ID)
	d := &Daemon{
		Services:     services.New(),
		Log:          log,
		Identity:     self,
		HTTP:         httpserver.New(common.HTTP, int(limits.MaxOpenRequests), limits.MaxBodyBytes),
		Common:       common,
		DrainTimeout: defaultDrainTimeout,
		stops:        stops,
	}
	d.Loop = eventloop.New(d.member(), slices.Concat(common.Seeds, d.loadPeers()), self, log)
	d.Loop.Address = common.PeerListen
	d.Admin = &admin.Admin{
		Loop:    d.Loop,
		Metrics: metrics.NewRegistry(),
		Ready:   func() string { return "" },
	}
	d.Admin.Metrics.Register(d.Loop.Metrics())
	d.Admin.Metrics.Register(metrics.Process())
	return d, nil
}

// openLog opens the file that the log is appended to, or returns standard error if name is
// empty. The file stays open for the life of the process.
func openLog(name string) (io.Writer, error) {
	if name == "" {
		return os.Stderr, nil
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "opening the log file")
	}
	return file, nil
}

// loadIdentity reads the identity from the data folder, once the disk accepts writes. A daemon
// without a data folder gets a new identity.
func loadIdentity(log zerolog.Logger, kind, dataDir string) (self eventloop.Identity, err error) {
	if dataDir == "" {
		return eventloop.NewIdentity(kind, time.Now().UnixMicro()), nil
	}
	err = eventloop.WaitForDisk(log, time.Sleep, func() error {
		self, err = eventloop.LoadIdentity(dataDir, kind)
		return err
	})
	return self, err
}

// member returns the daemon's own entry in the member list, which it gossips to the others.
func (d *Daemon) member() membership.Member {
	return membership.Member{
		ID:          d.Identity.ID,
		Name:        d.Common.Name,
		Kind:        d.Identity.Kind,
		Zone:        d.Common.Zone,
		Peer:        d.Common.Peer,
		HTTP:        d.Common.HTTP,
		Incarnation: d.Identity.Incarnation,
		Version:     membership.ProtocolVersion,
	}
}

// OnDrain adds a function that drains a part of the daemon. It is called in a goroutine of
// its own when the daemon is told to stop; after DrainTimeout the daemon stops without waiting
// for it any longer.
func (d *Daemon) OnDrain(f func()) { d.drainFuncs = append(d.drainFuncs, f) }

// httpService implements services.Service for the HTTP server and its administration API.
type httpService struct{ d *Daemon }

// Start serves the administration API until the clean-up functions run.
func (h httpService) Start(_ *services.Registry, cleanups *cleanup.Stack) error {
	h.d.Admin.Routes(h.d.HTTP)
	return h.d.HTTP.Start(cleanups)
}

// Run starts the services and waits for SIGTERM or SIGINT. Then it drains the daemon, announces
// that the daemon has left, and stops the services. A SIGINT ends the draining; a second SIGTERM
// doesn't. If the signal arrives before the services run, the process exits at once.
func (d *Daemon) Run() error {
	d.Services.Register(eventloop.Name, d.Loop)
	d.Services.Register("http", httpService{d})
	d.Services.Register("peers", peerSaver{d})
	if err := d.Services.Start(); err != nil {
		return err
	}
	logging.Write(d.Log, DaemonStarted{Zone: d.Common.Zone, Peer: d.Common.Peer, HTTP: d.Common.HTTP, Incarnation: d.Identity.Incarnation})
	d.stops.wait()
	logging.Write(d.Log, DrainStarted{TimeoutUS: d.DrainTimeout})
	d.HTTP.StartDraining()
	d.Loop.AnnounceDraining()
	d.drain(interrupts())
	d.Loop.AnnounceLeft()
	time.Sleep(leaveAnnouncementDelay)
	d.Services.Stop()
	logging.Write(d.Log, DaemonStopped{})
	return nil
}

// drain runs the drain functions concurrently and waits until all have returned, the time-out has
// passed, or an interrupt arrives.
func (d *Daemon) drain(interrupts <-chan os.Signal) {
	var draining sync.WaitGroup
	for _, f := range d.drainFuncs {
		draining.Go(f)
	}
	drained := make(chan struct{})
	go func() {
		draining.Wait()
		close(drained)
	}()
	select {
	case <-drained:
	case <-interrupts:
	case <-time.After(clock.Duration(d.DrainTimeout)):
		logging.Write(d.Log, DrainTimedOut{TimeoutUS: d.DrainTimeout})
	}
}

// SetRequestPath gives the administration API the parts of the request path whose state it
// reports.
func (d *Daemon) SetRequestPath(scheduling *machines.Scheduling, resultReader *reader.Reader, decisions *decisionlog.Log) {
	d.Admin.Scheduling, d.Admin.Reader, d.Admin.Decisions = scheduling, resultReader, decisions
}

// DataPath returns the path of a file or folder in the data folder.
func (d *Daemon) DataPath(name string) string { return filepath.Join(d.Common.DataDir, name) }

// pollInterval is the time between two checks of the condition in WaitUntil.
const pollInterval = 10 * time.Millisecond

// WaitUntil polls a condition until it holds, and reports whether it did before the time-out.
func WaitUntil(timeout clock.Micros, condition func() bool) bool {
	deadline := time.Now().Add(clock.Duration(timeout))
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(pollInterval)
	}
	return true
}
