// Package host puts a daemon's services together, so that the programs stay
// thin (DESIGN §2).
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

	"tuliprudder/daemon/admin"
	"tuliprudder/daemon/eventloop"
	"tuliprudder/daemon/machines"
	"tuliprudder/kernel/cleanup"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/httpserver"
	"tuliprudder/kernel/logging"
	"tuliprudder/kernel/services"
	"tuliprudder/kernel/settings"
	"tuliprudder/kernel/storage"
	"tuliprudder/membership/identity"
	"tuliprudder/path/decisionlog"
	"tuliprudder/path/modelclient"
	"tuliprudder/path/reader"
)

// Bounds of a daemon's front.
type Bounds struct{ Open, Bytes int64 }

// Settings adds the front's bounds to a reader of settings.
func (b *Bounds) Settings(r *settings.Reader) {
	r.Int(&b.Open, "most-open", 4096, 1, 1_000_000, "most requests open at once")
	r.Int(&b.Bytes, "most-bytes", 8<<20, 1024, 256<<20, "largest body of a request, in bytes")
}

// Daemon is what every daemon has.
type Daemon struct {
	Services *services.Registry
	Log      zerolog.Logger
	Who      eventloop.Identity
	Porter   *eventloop.Loop
	Porch    *httpserver.Server
	Office   *admin.Admin
	Common   settings.Common
	// Grace is how long a drain may take.
	Grace clock.Micros
	drain []func()
}

// Open begins a daemon: its log, identity, shell and front.
func Open(program, kind string, common settings.Common, bounds Bounds) (*Daemon, error) {
	var out io.Writer = os.Stderr
	if common.Log != "" {
		file, err := os.OpenFile(common.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, errors.Wrap(err, "opening the log")
		}
		out = file
	}
	modelclient.Prepare()
	proc.SetTimeToForceQuit(time.Hour) // this package drains; go-zero must not end the process first
	var who eventloop.Identity
	var err error
	if common.Data != "" {
		if who, err = eventloop.LoadIdentity(common.Data, kind); err != nil {
			return nil, err
		}
	} else {
		who = eventloop.NewIdentity(kind, time.Now().UnixMicro())
	}
	log := logging.Open(out, program, who.ID)
	l := &Daemon{Services: services.New(), Log: log, Who: who, Common: common, Grace: 8 * clock.Second}
	member := identity.Member{ID: who.ID, Name: common.Name, Kind: kind, Zone: common.Zone, Peer: common.Peer, HTTP: common.HTTP, Incarnation: who.Life, Version: identity.Release}
	l.Porter = eventloop.New(member, append(append([]string(nil), common.Seeds...), l.remembered()...), who, log)
	l.Porter.Address = common.Listen
	l.Porch = httpserver.New(common.HTTP, int(bounds.Open), bounds.Bytes)
	l.Office = &admin.Admin{Porter: l.Porter, Ready: func() string { return "" }, Counters: func() map[string]int64 { return nil }}
	return l, nil
}

const mostRemembered = 64

// remembered reads the addresses learnt in earlier lives: the seeds may be dead.
func (l *Daemon) remembered() []string {
	if l.Common.Data == "" {
		return nil
	}
	data, err := os.ReadFile(l.Folder("peers.json"))
	if err != nil {
		return nil
	}
	var peers []string
	if err := json.Unmarshal(data, &peers); err != nil {
		l.Log.Warn().Err(err).Msg("the learnt addresses can't be read; starting from the seeds alone")
		return nil
	}
	return peers
}

// remember keeps the addresses learnt, whenever they changed.
type remember struct{ l *Daemon }

// Start starts the thread.
func (r remember) Start(_ *services.Registry, ends *cleanup.Stack) error {
	if r.l.Common.Data == "" {
		return nil
	}
	last := ""
	cleanup.Every(ends, 5*time.Second, func() {
		var peers []string
		for _, member := range r.l.Porter.Members() {
			if member.Status == identity.Alive && member.ID != r.l.Who.ID && len(peers) < mostRemembered {
				peers = append(peers, member.Peer)
			}
		}
		data, _ := json.Marshal(peers)
		if len(peers) == 0 || string(data) == last {
			return
		}
		last = string(data)
		if err := storage.WriteAside(r.l.Folder("peers.json"), data, nil); err != nil {
			r.l.Log.Warn().Err(err).Msg("the learnt addresses could not be kept")
		}
	})
	return nil
}

// OnDrain adds something to do when the daemon is told to go.
func (l *Daemon) OnDrain(f func()) { l.drain = append(l.drain, f) }

type front struct{ l *Daemon }

func (f front) Start(_ *services.Registry, ends *cleanup.Stack) error {
	f.l.Office.Routes(f.l.Porch)
	return f.l.Porch.Start(ends)
}

// Run starts the services and waits for the word to go; then it drains.
func (l *Daemon) Run() error {
	l.Services.Register(eventloop.Name, l.Porter)
	l.Services.Register("front", front{l})
	l.Services.Register("remember", remember{l})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := l.Services.Start(); err != nil {
		return err
	}
	l.Log.Info().Str("zone", l.Common.Zone).Str("peer", l.Common.Peer).Str("http", l.Common.HTTP).Uint64("life", l.Who.Life).Msg("started")
	<-signals
	l.Log.Info().Msg("told to go: draining")
	l.Porter.AnnounceDraining()
	var drains sync.WaitGroup
	for _, f := range l.drain {
		drains.Add(1)
		go func() { defer drains.Done(); f() }()
	}
	done := make(chan struct{})
	go func() { drains.Wait(); close(done) }()
	select {
	case <-done:
	case <-signals:
	case <-time.After(clock.Span(l.Grace)):
		l.Log.Warn().Msg("the drain took too long; going all the same")
	}
	l.Porter.AnnounceLeaving()
	time.Sleep(100 * time.Millisecond) // the last word goes out
	l.Services.Stop()
	l.Log.Info().Msg("gone")
	return nil
}

// Path tells the operators' front of the road to the servers.
func (l *Daemon) Path(road *machines.Road, lists *reader.Reader, book *decisionlog.Book) {
	l.Office.Road, l.Office.Reader, l.Office.Book = road, lists, book
}

// Folder is a folder below the data folder.
func (l *Daemon) Folder(name string) string { return filepath.Join(l.Common.Data, name) }

// Wait waits until a condition holds, looking every few milliseconds.
func Wait(most clock.Micros, until func() bool) bool {
	expiry := time.Now().Add(clock.Span(most))
	for !until() {
		if time.Now().After(expiry) {
			return false
		}
		time.Sleep(10 * time.Millisecond)
	}
	return true
}
