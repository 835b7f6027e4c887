// Package localfleet runs a whole fleet on one machine (DESIGN §9): every daemon a
// process with an address of its own, every link through a relay, with kills,
// freezes, wiped folders and cuts.
package localfleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"tuliprudder/test/netproxy"
)

// Spec is a deployment: sizes, and where its configuration is.
type Spec struct {
	Name              string
	Zones             int
	Edges             int
	Stores            int
	Cores             int
	Servers           int
	Items             int
	ConfigurationFile string // file
	Chunks            int
	ChunkUS           int64
	ServerSlots       int // slots of a server
	Tenant            string
}

// Daemon is one process and how it is started.
type Daemon struct {
	Name, Kind, Zone string
	IP, Peer, HTTP   string
	Data             string
	args             []string
	cmd              *exec.Cmd
	exited           chan struct{}
	paused           bool
}

// Fleet is a running fleet.
type Fleet struct {
	Spec        Spec
	Dir         string
	Bin         string
	Network     *netproxy.Network
	mu          sync.Mutex
	daemons     map[string]*Daemon
	octet       int
	nextAddress int
}

// New makes a fleet in a folder, with the programs in bin.
func New(spec Spec, dir, bin string) *Fleet {
	return &Fleet{Spec: spec, Dir: dir, Bin: bin, Network: netproxy.New(), daemons: map[string]*Daemon{}, octet: 1 + os.Getpid()%250}
}

// Build builds the daemons' programs into a folder, with more words for the
// compiler where wanted.
func Build(root, bin string, extraArgs ...string) error {
	args := append([]string{"build"}, extraArgs...)
	args = append(args, "-o", bin+"/", "./cmd/...")
	build := exec.Command("go", args...)
	build.Dir = root
	out, err := build.CombinedOutput()
	return errors.Wrapf(err, "building: %s", out)
}

// newAddress gives each process an address of its own on the loopback network.
func (f *Fleet) newAddress() string {
	f.nextAddress++
	return fmt.Sprintf("127.%d.%d.%d", f.octet, 1+f.nextAddress/200, 1+f.nextAddress%200)
}

func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", errors.Wrap(err, "finding a free port")
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func (f *Fleet) zoneOf(i int) string { return fmt.Sprintf("zone-%d", 1+i%f.Spec.Zones) }

// configuration lays a daemon out without starting it.
func (f *Fleet) prepare(kind, name, zone, ip string) (*Daemon, error) {
	d := &Daemon{Name: name, Kind: kind, Zone: zone, IP: ip}
	var err error
	if d.Peer, err = freeAddress(ip); err != nil {
		return nil, err
	}
	if d.HTTP, err = freeAddress(ip); err != nil {
		return nil, err
	}
	if kind != "modelserver" {
		listen, err := freeAddress(ip)
		if err != nil {
			return nil, err
		}
		if err := f.Network.Relay(d.Peer, listen); err != nil {
			return nil, err
		}
		d.args = []string{"-zone", zone, "-peer", d.Peer, "-peer-listen", listen, "-http", d.HTTP, "-log", filepath.Join(f.Dir, name+".log")}
		if kind != "edge" {
			d.Data = filepath.Join(f.Dir, name+".data")
			d.args = append(d.args, "-data", d.Data)
		}
	}
	f.mu.Lock()
	f.daemons[name] = d
	f.mu.Unlock()
	return d, nil
}

// Start lays the fleet out and starts it all at once.
func (f *Fleet) Start() error {
	if err := os.MkdirAll(f.Dir, 0o755); err != nil {
		return errors.Wrap(err, "making the camp's folder")
	}
	var all []*Daemon
	prepareAll := func(kind, prefix string, count int) error {
		for i := 0; i < count; i++ {
			d, err := f.prepare(kind, fmt.Sprintf("%s-%d", prefix, i+1), f.zoneOf(i), f.newAddress())
			if err != nil {
				return err
			}
			all = append(all, d)
		}
		return nil
	}
	if err := prepareAll("core", "core", f.Spec.Cores); err != nil {
		return err
	}
	var seeds []string
	for _, d := range all {
		seeds = append(seeds, d.Peer)
	}
	if err := prepareAll("store", "store", f.Spec.Stores); err != nil {
		return err
	}
	if err := prepareAll("edge", "edge", f.Spec.Edges); err != nil {
		return err
	}
	if err := prepareAll("modelserver", "server", f.Spec.Servers); err != nil {
		return err
	}
	for i, d := range all {
		if d.Kind == "modelserver" {
			d.args = f.modelServerArgs(d, i)
		} else {
			d.args = append(d.args, "-seeds", strings.Join(seeds[:3], ","))
			if d.Kind == "core" {
				d.args = append(d.args, "-bootstrap")
			}
		}
		if err := f.StartDaemon(d.Name); err != nil {
			return err
		}
		d.args = slices.DeleteFunc(d.args, func(arg string) bool { return arg == "-bootstrap" }) // the first start only
	}
	return nil
}

// modelServerArgs makes servers uneven in speed and slots.
func (f *Fleet) modelServerArgs(d *Daemon, i int) []string {
	return []string{"-listen", d.HTTP, "-name", d.Name, "-starts", f.StartsFile(d.Name), "-slots", fmt.Sprint(f.Spec.ServerSlots),
		"-piece-us", fmt.Sprint(f.Spec.ChunkUS * int64(2+i%3) / 3), "-pieces", fmt.Sprint(f.Spec.Chunks), "-prefill-us", fmt.Sprint(5 * f.Spec.ChunkUS)}
}

// StartsFile is a server's log of starts.
func (f *Fleet) StartsFile(name string) string { return filepath.Join(f.Dir, name+".starts") }

// Get finds a daemon by name.
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

// StartDaemon starts a daemon's process.
func (f *Fleet) StartDaemon(name string) error {
	d := f.Get(name)
	cmd := exec.Command(filepath.Join(f.Bin, d.Kind), d.args...)
	stderr, err := os.OpenFile(filepath.Join(f.Dir, name+".stderr"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "opening the error file")
	}
	cmd.Stdout, cmd.Stderr = stderr, stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		stderr.Close()
		return errors.Wrapf(err, "starting %s", name)
	}
	exited := make(chan struct{})
	go func() { cmd.Wait(); stderr.Close(); close(exited) }()
	f.mu.Lock()
	d.cmd, d.exited, d.paused = cmd, exited, false
	f.mu.Unlock()
	return nil
}

func (f *Fleet) signal(name string, signal syscall.Signal) {
	if d := f.Get(name); d != nil && d.cmd != nil {
		d.cmd.Process.Signal(signal)
	}
}

// Kill ends a process at once; Drain asks it to drain; both wait for the end.
func (f *Fleet) Kill(name string) { f.signal(name, syscall.SIGKILL); f.Wait(name) }

// Drain asks a daemon to drain and waits.
func (f *Fleet) Drain(name string) { f.signal(name, syscall.SIGTERM); f.Wait(name) }

// Wait waits for a process to end.
func (f *Fleet) Wait(name string) {
	if d := f.Get(name); d != nil && d.exited != nil {
		<-d.exited
	}
}

// Pause and Thaw stop and go on with a process.
func (f *Fleet) Pause(name string) { f.signal(name, syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (f *Fleet) Resume(name string) { f.signal(name, syscall.SIGCONT) }

// Wipe empties a daemon's data folder; the process must be dead.
func (f *Fleet) Wipe(name string) error {
	return errors.Wrap(os.RemoveAll(f.Get(name).Data), "wiping a data folder")
}

// SetIsolated cuts or heals all links between a daemon and the rest.
func (f *Fleet) SetIsolated(name string, cut bool) {
	for _, other := range f.Names("") {
		if other != name {
			f.SetPartitioned(name, other, cut)
		}
	}
}

// SetPartitioned cuts or heals the links between two daemons, both ways.
func (f *Fleet) SetPartitioned(one, other string, cut bool) {
	a, b := f.Get(one), f.Get(other)
	f.Network.SetCut(a.IP, b.IP, cut)
	f.Network.SetCut(b.IP, a.IP, cut)
}

// Replace replaces a dead daemon by an empty one at a new address, under a new name;
// its seeds are the cores of now.
func (f *Fleet) Replace(name, newName string) (*Daemon, error) {
	old := f.Get(name)
	d, err := f.prepare(old.Kind, newName, old.Zone, f.newAddress())
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	delete(f.daemons, name)
	f.mu.Unlock()
	d.args = append(d.args, "-seeds", "")
	f.SetSeeds(newName, f.Names("core"))
	return d, f.StartDaemon(newName)
}

// Add starts one more daemon of a kind in a zone; its seeds are daemons that
// need not be cores.
func (f *Fleet) Add(kind, name, zone string, seeds []string) error {
	d, err := f.prepare(kind, name, zone, f.newAddress())
	if err != nil {
		return err
	}
	var peers []string
	for _, seed := range seeds {
		peers = append(peers, f.Get(seed).Peer)
	}
	d.args = append(d.args, "-seeds", strings.Join(peers, ","))
	return f.StartDaemon(name)
}

// SetSeeds gives a daemon other seeds for its next start.
func (f *Fleet) SetSeeds(name string, seeds []string) {
	var peers []string
	for _, seed := range seeds[:3] {
		peers = append(peers, f.Get(seed).Peer)
	}
	d := f.Get(name)
	for i, arg := range d.args {
		if arg == "-seeds" {
			d.args[i+1] = strings.Join(peers, ",")
		}
	}
}

// Stop kills every process that this fleet started.
func (f *Fleet) Stop() {
	for _, name := range f.Names("") {
		f.signal(name, syscall.SIGCONT)
		f.signal(name, syscall.SIGKILL)
	}
	for _, name := range f.Names("") {
		f.Wait(name)
	}
	f.Network.Close()
}

// HTTPClient is the HTTP client of the fleet's own questions.
var HTTPClient = &http.Client{Timeout: 8 * time.Second}

// Call asks a daemon's HTTP server; a status other than 2xx is an error.
func (f *Fleet) Call(name, method, path string, body, into any) error {
	return Call(f.Get(name).HTTP, method, path, body, into)
}

// Call asks any HTTP server by address.
func Call(address, method, path string, body, into any) error {
	var reader io.Reader
	switch b := body.(type) {
	case nil:
	case []byte:
		reader = bytes.NewReader(b)
	default:
		data, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encoding a question")
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, "http://"+address+path, reader)
	if err != nil {
		return errors.Wrap(err, "making a request")
	}
	response, err := HTTPClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "asking")
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "reading the answer")
	}
	if response.StatusCode/100 != 2 {
		return errors.Errorf("%s %s: %s: %s", method, path, response.Status, data)
	}
	if into == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, into), "reading the answer")
}

// WaitUntil repeats a question until it is answered well or the time is up.
func WaitUntil(timeout time.Duration, attempt func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := attempt()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(err, "not within %v", timeout)
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// EndpointList is the list of servers for this fleet.
func (f *Fleet) EndpointList() map[string]any {
	servers := []map[string]any{}
	for i, name := range f.Names("modelserver") {
		servers = append(servers, map[string]any{"name": name, "address": f.Get(name).HTTP, "slots": f.Spec.ServerSlots,
			"labels": map[string]string{"fleet": "main", "weights": "w1", "half": fmt.Sprint(i % 2)}})
	}
	return map[string]any{"servers": servers}
}

// MakeReady puts the configuration and the list of servers and waits until every edge is
// ready to serve.
func (f *Fleet) MakeReady(timeout time.Duration) error {
	configuration, err := os.ReadFile(f.Spec.ConfigurationFile)
	if err != nil {
		return errors.Wrap(err, "reading the plan")
	}
	deadline := time.Now().Add(timeout)
	edges := f.Names("edge")
	if err := WaitUntil(time.Until(deadline), func() error { return f.Call(edges[0], http.MethodPut, "/v1/operator/plan", configuration, nil) }); err != nil {
		return err
	}
	if err := WaitUntil(time.Until(deadline), func() error {
		return f.Call(edges[0], http.MethodPut, "/v1/operator/servers", f.EndpointList(), nil)
	}); err != nil {
		return err
	}
	for _, edge := range edges {
		if err := WaitUntil(time.Until(deadline), func() error { return f.Call(edge, http.MethodGet, "/ready", nil, nil) }); err != nil {
			return errors.Wrap(err, edge)
		}
		if err := WaitUntil(time.Until(deadline), func() error {
			var got struct {
				Servers []any `json:"servers"`
			}
			if err := f.Call(edge, http.MethodGet, "/v1/operator/servers", nil, &got); err != nil {
				return err
			}
			if len(got.Servers) != f.Spec.Servers {
				return errors.Errorf("%s knows %d of %d servers", edge, len(got.Servers), f.Spec.Servers)
			}
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}
