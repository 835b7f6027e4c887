// Package localfleet runs a deployment on one machine (DESIGN §9). Each daemon is a process with
// its own loopback address, and all connections between daemons pass through a proxy
// (test/netproxy). Tests and commands can kill, pause, wipe, replace and partition the daemons.
//
// The methods of a Fleet are safe for concurrent use. Stop ends every process that the fleet
// started.
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

// Spec describes a deployment: its sizes and its configuration file.
type Spec struct {
	Name                                 string
	Zones, Edges, Stores, Cores, Servers int
	ServerSlots                          int   // concurrency slots per server
	Items                                int   // per batch
	Chunks                               int   // per answer
	ChunkUS                              int64 // time to generate a chunk, in µs
	ConfigurationFile                    string
}

// Fleet is the daemons and model servers of a deployment.
type Fleet struct {
	Spec    Spec
	Dir     string // data, logs and the start logs of servers
	Bin     string // directory of the programs
	Network *netproxy.Network

	// addressOctet is the second octet of all addresses. It is derived from the process ID, so that
	// fleets of concurrent processes usually have different addresses.
	addressOctet int

	mu          sync.Mutex // guards the fields below, and cmd and exited of the daemons
	daemons     map[string]*Daemon
	nextAddress int
}

// New creates a fleet that uses the directory dir and the programs in bin. It has no daemons
// before Start.
func New(spec Spec, dir, bin string) *Fleet {
	return &Fleet{Spec: spec, Dir: dir, Bin: bin, Network: netproxy.New(), daemons: map[string]*Daemon{}, addressOctet: 1 + os.Getpid()%250}
}

// Build builds all programs into the directory bin, with extra arguments for go build.
func Build(root, bin string, extraArgs ...string) error {
	args := append([]string{"build"}, extraArgs...)
	args = append(args, "-o", bin+"/", "./cmd/...")
	build := exec.Command("go", args...)
	build.Dir = root
	out, err := build.CombinedOutput()
	return errors.Wrapf(err, "building: %s", out)
}

// seedCount is the number of seed addresses that a daemon is started with.
const seedCount = 3

// Start prepares all daemons and model servers and starts their processes.
func (f *Fleet) Start() error {
	if err := os.MkdirAll(f.Dir, 0o755); err != nil {
		return errors.Wrap(err, "creating the directory of the fleet")
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
		// Only the first start bootstraps the fleet; a restarted daemon must not.
		d.args = slices.DeleteFunc(d.args, func(arg string) bool { return arg == "-bootstrap" })
	}
	return nil
}

// prepareAll prepares all daemons and model servers, the cores first.
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

// modelServerArgs returns the arguments of model server i. The speed differs between servers, with
// a chunk taking 2/3, 1 or 4/3 of ChunkUS.
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

// StartsFile returns the path of the start log of a model server.
func (f *Fleet) StartsFile(name string) string { return filepath.Join(f.Dir, name+".starts") }

// Get returns the daemon with a name, or nil if there is none.
func (f *Fleet) Get(name string) *Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[name]
}

// Names returns the sorted names of the daemons of a kind, or of all kinds for "".
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

// Replace replaces a daemon whose process has exited with an empty one that has a new name and
// address. Its seeds are the current cores.
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

// Add starts an additional daemon of a kind in a zone. Its seeds are names of daemons, which
// need not be cores.
func (f *Fleet) Add(kind, name, zone string, seeds []string) error {
	d, err := f.prepare(kind, name, zone)
	if err != nil {
		return err
	}
	d.args = append(d.args, "-seeds", strings.Join(f.peersOf(seeds), ","))
	return f.StartDaemon(name)
}

// SetSeeds sets the seeds for the next start of a daemon to the first seedCount of the named
// daemons.
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

// SetIsolated blocks or heals all links between a daemon and the others, in both directions.
func (f *Fleet) SetIsolated(name string, blocked bool) {
	for _, other := range f.Names("") {
		if other != name {
			f.SetPartitioned(name, other, blocked)
		}
	}
}

// SetPartitioned blocks or heals the links between two daemons, in both directions.
func (f *Fleet) SetPartitioned(one, other string, blocked bool) {
	a, b := f.Get(one), f.Get(other)
	f.Network.SetBlocked(a.IP, b.IP, blocked)
	f.Network.SetBlocked(b.IP, a.IP, blocked)
}

// Stop kills every process that the fleet started, and closes the network.
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
