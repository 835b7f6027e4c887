// Package localfleet runs a deployment on one machine (DESIGN §9): every daemon a process with
// a loopback address of its own, every link between daemons through a proxy (test/netproxy).
// Tests and commands kill, pause, wipe, replace and partition the daemons.
//
// Methods of a Fleet may be called from several goroutines. Stop ends every process that the
// fleet started.
package localfleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"tuliprudder/test/netproxy"
)

// Spec is a deployment: its sizes, and the file of its configuration.
type Spec struct {
	Name                                 string
	Zones, Edges, Stores, Cores, Servers int
	ServerSlots                          int   // concurrency slots of a server
	Items                                int   // of a batch
	Chunks                               int   // of an answer
	ChunkUS                              int64 // time to make a chunk, in µs
	ConfigurationFile                    string
}

// Fleet is the daemons and model servers of a deployment.
type Fleet struct {
	Spec    Spec
	Dir     string // of data, logs and records of servers
	Bin     string // of the programs
	Network *netproxy.Network

	addressOctet int // second one of all addresses, so that fleets of several processes don't meet

	mu          sync.Mutex // guards what follows, and the processes of the daemons
	daemons     map[string]*Daemon
	nextAddress int
}

// New makes a fleet in a folder, with the programs in bin. It has no daemons before Start.
func New(spec Spec, dir, bin string) *Fleet {
	return &Fleet{Spec: spec, Dir: dir, Bin: bin, Network: netproxy.New(), daemons: map[string]*Daemon{}, addressOctet: 1 + os.Getpid()%250}
}

// Build builds all programs into a folder, with further arguments of go build.
func Build(root, bin string, extraArgs ...string) error {
	args := append([]string{"build"}, extraArgs...)
	args = append(args, "-o", bin+"/", "./cmd/...")
	build := exec.Command("go", args...)
	build.Dir = root
	out, err := build.CombinedOutput()
	return errors.Wrapf(err, "building: %s", out)
}

// seedCount is how many seeds a daemon is started with.
const seedCount = 3

// Start lays the fleet out and starts all processes.
func (f *Fleet) Start() error {
	if err := os.MkdirAll(f.Dir, 0o755); err != nil {
		return errors.Wrap(err, "making the fleet's folder")
	}
	all, err := f.prepareAll()
	if err != nil {
		return err
	}
	var seeds []string
	for _, d := range all[:seedCount] { // cores come first
		seeds = append(seeds, d.Peer)
	}
	for i, d := range all {
		if d.Kind == kindModelServer {
			d.args = f.modelServerArgs(d, i)
		} else {
			d.args = append(d.args, "-seeds", strings.Join(seeds, ","))
		}
		if d.Kind == kindCore {
			d.args = append(d.args, "-bootstrap")
		}
		if err := f.StartDaemon(d.Name); err != nil {
			return err
		}
		// A fleet is bootstrapped at its first start only.
		d.args = slices.DeleteFunc(d.args, func(arg string) bool { return arg == "-bootstrap" })
	}
	return nil
}

// prepareAll lays all daemons and servers out, the cores first.
func (f *Fleet) prepareAll() ([]*Daemon, error) {
	var all []*Daemon
	for _, group := range []struct {
		kind, namePrefix string
		count            int
	}{
		{kindCore, "core", f.Spec.Cores},
		{kindStore, "store", f.Spec.Stores},
		{kindEdge, "edge", f.Spec.Edges},
		{kindModelServer, "server", f.Spec.Servers},
	} {
		for i := range group.count {
			d, err := f.prepare(group.kind, fmt.Sprintf("%s-%d", group.namePrefix, i+1), f.zoneOf(i))
			if err != nil {
				return nil, err
			}
			all = append(all, d)
		}
	}
	return all, nil
}

func (f *Fleet) zoneOf(i int) string { return fmt.Sprintf("zone-%d", 1+i%f.Spec.Zones) }

// modelServerArgs makes servers uneven in speed.
func (f *Fleet) modelServerArgs(d *Daemon, i int) []string {
	return []string{
		"-listen", d.HTTP,
		"-name", d.Name,
		"-starts", f.StartsFile(d.Name),
		"-slots", fmt.Sprint(f.Spec.ServerSlots),
		"-piece-us", fmt.Sprint(f.Spec.ChunkUS * int64(2+i%3) / 3),
		"-pieces", fmt.Sprint(f.Spec.Chunks),
		"-prefill-us", fmt.Sprint(5 * f.Spec.ChunkUS),
	}
}

// StartsFile is a server's log of the requests that started there.
func (f *Fleet) StartsFile(name string) string { return filepath.Join(f.Dir, name+".starts") }

// Get finds a daemon by name; nil where there is none.
func (f *Fleet) Get(name string) *Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[name]
}

// Names lists the daemons of a kind in order; all for "".
func (f *Fleet) Names(kind string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for name, d := range f.daemons {
		if kind == "" || d.Kind == kind {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// Replace replaces a daemon whose process has ended by an empty one at a new address, under a
// new name; its seeds are the cores that there are now.
func (f *Fleet) Replace(name, newName string) (*Daemon, error) {
	old := f.Get(name)
	d, err := f.prepare(old.Kind, newName, old.Zone)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	delete(f.daemons, name)
	f.mu.Unlock()
	d.args = append(d.args, "-seeds", "")
	f.SetSeeds(newName, f.Names(kindCore))
	return d, f.StartDaemon(newName)
}

// Add starts one more daemon of a kind in a zone; its seeds are daemons that need not be
// cores.
func (f *Fleet) Add(kind, name, zone string, seeds []string) error {
	d, err := f.prepare(kind, name, zone)
	if err != nil {
		return err
	}
	d.args = append(d.args, "-seeds", strings.Join(f.peersOf(seeds), ","))
	return f.StartDaemon(name)
}

// SetSeeds gives a daemon other seeds for its next start: the first of some daemons.
func (f *Fleet) SetSeeds(name string, seeds []string) {
	d := f.Get(name)
	for i, arg := range d.args {
		if arg == "-seeds" {
			d.args[i+1] = strings.Join(f.peersOf(seeds[:seedCount]), ",")
		}
	}
}

func (f *Fleet) peersOf(names []string) []string {
	var peers []string
	for _, name := range names {
		peers = append(peers, f.Get(name).Peer)
	}
	return peers
}

// SetIsolated blocks or heals all links between a daemon and the others.
func (f *Fleet) SetIsolated(name string, blocked bool) {
	for _, other := range f.Names("") {
		if other != name {
			f.SetPartitioned(name, other, blocked)
		}
	}
}

// SetPartitioned blocks or heals the links between two daemons, both ways.
func (f *Fleet) SetPartitioned(one, other string, blocked bool) {
	a, b := f.Get(one), f.Get(other)
	f.Network.SetBlocked(a.IP, b.IP, blocked)
	f.Network.SetBlocked(b.IP, a.IP, blocked)
}

// Stop kills every process that this fleet started, and ends the network.
func (f *Fleet) Stop() {
	for _, name := range f.Names("") {
		f.Resume(name)
		f.signal(name, killSignal)
	}
	for _, name := range f.Names("") {
		f.Wait(name)
	}
	f.Network.Close()
}
