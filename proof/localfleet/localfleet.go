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

	"tuliprudder/proof/netproxy"
)

// Spec is a deployment: sizes, and where its plan is.
type Spec struct {
	Name     string
	Zones    int
	Edges    int
	Stores   int
	Cores    int
	Servers  int
	Items    int
	Plan     string // file
	Pieces   int
	PieceUS  int64
	Slots    int // slots of a server
	Customer string
}

// Daemon is one process and how it is started.
type Daemon struct {
	Name, Kind, Zone string
	IP, Peer, HTTP   string
	Data             string
	args             []string
	cmd              *exec.Cmd
	exited           chan struct{}
	frozen           bool
}

// Fleet is a running fleet.
type Fleet struct {
	Spec    Spec
	Dir     string
	Bin     string
	Net     *netproxy.Net
	mu      sync.Mutex
	daemons map[string]*Daemon
	octet   int
	next    int
}

// New makes a fleet in a folder, with the programs in bin.
func New(spec Spec, dir, bin string) *Fleet {
	return &Fleet{Spec: spec, Dir: dir, Bin: bin, Net: netproxy.New(), daemons: map[string]*Daemon{}, octet: 1 + os.Getpid()%250}
}

// Build builds the daemons' programs into a folder, with more words for the
// compiler where wanted.
func Build(root, bin string, more ...string) error {
	args := append([]string{"build"}, more...)
	args = append(args, "-o", bin+"/", "./cmd/...")
	build := exec.Command("go", args...)
	build.Dir = root
	out, err := build.CombinedOutput()
	return errors.Wrapf(err, "building: %s", out)
}

// address gives each process an address of its own on the loopback network.
func (c *Fleet) address() string {
	c.next++
	return fmt.Sprintf("127.%d.%d.%d", c.octet, 1+c.next/200, 1+c.next%200)
}

func port(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", errors.Wrap(err, "finding a free port")
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func (c *Fleet) zone(i int) string { return fmt.Sprintf("zone-%d", 1+i%c.Spec.Zones) }

// plan lays a daemon out without starting it.
func (c *Fleet) layOut(kind, name, zone, ip string) (*Daemon, error) {
	d := &Daemon{Name: name, Kind: kind, Zone: zone, IP: ip}
	var err error
	if d.Peer, err = port(ip); err != nil {
		return nil, err
	}
	if d.HTTP, err = port(ip); err != nil {
		return nil, err
	}
	if kind != "modelserver" {
		listen, err := port(ip)
		if err != nil {
			return nil, err
		}
		if err := c.Net.Relay(d.Peer, listen); err != nil {
			return nil, err
		}
		d.args = []string{"-zone", zone, "-peer", d.Peer, "-peer-listen", listen, "-http", d.HTTP, "-log", filepath.Join(c.Dir, name+".log")}
		if kind != "edge" {
			d.Data = filepath.Join(c.Dir, name+".data")
			d.args = append(d.args, "-data", d.Data)
		}
	}
	c.mu.Lock()
	c.daemons[name] = d
	c.mu.Unlock()
	return d, nil
}

// Start lays the fleet out and starts it all at once.
func (c *Fleet) Start() error {
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return errors.Wrap(err, "making the camp's folder")
	}
	var all []*Daemon
	lay := func(kind, word string, count int) error {
		for i := 0; i < count; i++ {
			d, err := c.layOut(kind, fmt.Sprintf("%s-%d", word, i+1), c.zone(i), c.address())
			if err != nil {
				return err
			}
			all = append(all, d)
		}
		return nil
	}
	if err := lay("core", "core", c.Spec.Cores); err != nil {
		return err
	}
	var seeds []string
	for _, d := range all {
		seeds = append(seeds, d.Peer)
	}
	if err := lay("store", "store", c.Spec.Stores); err != nil {
		return err
	}
	if err := lay("edge", "edge", c.Spec.Edges); err != nil {
		return err
	}
	if err := lay("modelserver", "server", c.Spec.Servers); err != nil {
		return err
	}
	for i, d := range all {
		if d.Kind == "modelserver" {
			d.args = c.modelServerArgs(d, i)
		} else {
			d.args = append(d.args, "-seeds", strings.Join(seeds[:3], ","))
			if d.Kind == "core" {
				d.args = append(d.args, "-bootstrap")
			}
		}
		if err := c.Run(d.Name); err != nil {
			return err
		}
		d.args = slices.DeleteFunc(d.args, func(arg string) bool { return arg == "-bootstrap" }) // the first start only
	}
	return nil
}

// modelServerArgs makes servers uneven in speed and slots.
func (c *Fleet) modelServerArgs(d *Daemon, i int) []string {
	return []string{"-listen", d.HTTP, "-name", d.Name, "-starts", c.StartsFile(d.Name), "-slots", fmt.Sprint(c.Spec.Slots),
		"-piece-us", fmt.Sprint(c.Spec.PieceUS * int64(2+i%3) / 3), "-pieces", fmt.Sprint(c.Spec.Pieces), "-prefill-us", fmt.Sprint(5 * c.Spec.PieceUS)}
}

// StartsFile is a server's log of starts.
func (c *Fleet) StartsFile(name string) string { return filepath.Join(c.Dir, name+".starts") }

// Get finds a daemon by name.
func (c *Fleet) Get(name string) *Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.daemons[name]
}

// Names lists the daemons of a kind in order; all for "".
func (c *Fleet) Names(kind string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for name, d := range c.daemons {
		if kind == "" || d.Kind == kind {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// Run starts a daemon's process.
func (c *Fleet) Run(name string) error {
	d := c.Get(name)
	cmd := exec.Command(filepath.Join(c.Bin, d.Kind), d.args...)
	errs, err := os.OpenFile(filepath.Join(c.Dir, name+".stderr"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "opening the error file")
	}
	cmd.Stdout, cmd.Stderr = errs, errs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		errs.Close()
		return errors.Wrapf(err, "starting %s", name)
	}
	exited := make(chan struct{})
	go func() { cmd.Wait(); errs.Close(); close(exited) }()
	c.mu.Lock()
	d.cmd, d.exited, d.frozen = cmd, exited, false
	c.mu.Unlock()
	return nil
}

func (c *Fleet) signal(name string, signal syscall.Signal) {
	if d := c.Get(name); d != nil && d.cmd != nil {
		d.cmd.Process.Signal(signal)
	}
}

// Kill ends a process at once; Drain asks it to drain; both wait for the end.
func (c *Fleet) Kill(name string) { c.signal(name, syscall.SIGKILL); c.Wait(name) }

// Drain asks a daemon to drain and waits.
func (c *Fleet) Drain(name string) { c.signal(name, syscall.SIGTERM); c.Wait(name) }

// Wait waits for a process to end.
func (c *Fleet) Wait(name string) {
	if d := c.Get(name); d != nil && d.exited != nil {
		<-d.exited
	}
}

// Freeze and Thaw stop and go on with a process.
func (c *Fleet) Freeze(name string) { c.signal(name, syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (c *Fleet) Thaw(name string) { c.signal(name, syscall.SIGCONT) }

// Wipe empties a daemon's data folder; the process must be dead.
func (c *Fleet) Wipe(name string) error {
	return errors.Wrap(os.RemoveAll(c.Get(name).Data), "wiping a data folder")
}

// CutOff cuts or heals all links between a daemon and the rest.
func (c *Fleet) CutOff(name string, cut bool) {
	for _, other := range c.Names("") {
		if other != name {
			c.Cut(name, other, cut)
		}
	}
}

// Cut cuts or heals the links between two daemons, both ways.
func (c *Fleet) Cut(one, other string, cut bool) {
	a, b := c.Get(one), c.Get(other)
	c.Net.Cut(a.IP, b.IP, cut)
	c.Net.Cut(b.IP, a.IP, cut)
}

// Replace replaces a dead daemon by an empty one at a new address, under a new name;
// its seeds are the cores of now.
func (c *Fleet) Replace(name, fresh string) (*Daemon, error) {
	old := c.Get(name)
	d, err := c.layOut(old.Kind, fresh, old.Zone, c.address())
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	delete(c.daemons, name)
	c.mu.Unlock()
	d.args = append(d.args, "-seeds", "")
	c.Reseed(fresh, c.Names("core"))
	return d, c.Run(fresh)
}

// Add starts one more daemon of a kind in a zone; its seeds are daemons that
// need not be cores.
func (c *Fleet) Add(kind, name, zone string, seeds []string) error {
	d, err := c.layOut(kind, name, zone, c.address())
	if err != nil {
		return err
	}
	var peers []string
	for _, seed := range seeds {
		peers = append(peers, c.Get(seed).Peer)
	}
	d.args = append(d.args, "-seeds", strings.Join(peers, ","))
	return c.Run(name)
}

// Reseed gives a daemon other seeds for its next start.
func (c *Fleet) Reseed(name string, seeds []string) {
	var peers []string
	for _, seed := range seeds[:3] {
		peers = append(peers, c.Get(seed).Peer)
	}
	d := c.Get(name)
	for i, arg := range d.args {
		if arg == "-seeds" {
			d.args[i+1] = strings.Join(peers, ",")
		}
	}
}

// Stop kills every process that this fleet started.
func (c *Fleet) Stop() {
	for _, name := range c.Names("") {
		c.signal(name, syscall.SIGCONT)
		c.signal(name, syscall.SIGKILL)
	}
	for _, name := range c.Names("") {
		c.Wait(name)
	}
	c.Net.Close()
}

// Client is the HTTP client of the fleet's own questions.
var Client = &http.Client{Timeout: 8 * time.Second}

// Ask asks a daemon's HTTP server; a status other than 2xx is an error.
func (c *Fleet) Ask(name, method, path string, body, into any) error {
	return Ask(c.Get(name).HTTP, method, path, body, into)
}

// Ask asks any HTTP server by address.
func Ask(address, method, path string, body, into any) error {
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
	response, err := Client.Do(request)
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

// Until repeats a question until it is answered well or the time is up.
func Until(most time.Duration, ask func() error) error {
	expiry := time.Now().Add(most)
	for {
		err := ask()
		if err == nil {
			return nil
		}
		if time.Now().After(expiry) {
			return errors.Wrapf(err, "not within %v", most)
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// ServerList is the list of servers for this fleet.
func (c *Fleet) ServerList() map[string]any {
	servers := []map[string]any{}
	for i, name := range c.Names("modelserver") {
		servers = append(servers, map[string]any{"name": name, "address": c.Get(name).HTTP, "slots": c.Spec.Slots,
			"labels": map[string]string{"fleet": "main", "weights": "w1", "half": fmt.Sprint(i % 2)}})
	}
	return map[string]any{"servers": servers}
}

// Ready puts the plan and the list of servers and waits until every edge is
// ready to serve.
func (c *Fleet) Ready(most time.Duration) error {
	plan, err := os.ReadFile(c.Spec.Plan)
	if err != nil {
		return errors.Wrap(err, "reading the plan")
	}
	expiry := time.Now().Add(most)
	edges := c.Names("edge")
	if err := Until(time.Until(expiry), func() error { return c.Ask(edges[0], http.MethodPut, "/v1/operator/plan", plan, nil) }); err != nil {
		return err
	}
	if err := Until(time.Until(expiry), func() error {
		return c.Ask(edges[0], http.MethodPut, "/v1/operator/servers", c.ServerList(), nil)
	}); err != nil {
		return err
	}
	for _, edge := range edges {
		if err := Until(time.Until(expiry), func() error { return c.Ask(edge, http.MethodGet, "/ready", nil, nil) }); err != nil {
			return errors.Wrap(err, edge)
		}
		if err := Until(time.Until(expiry), func() error {
			var got struct {
				Servers []any `json:"servers"`
			}
			if err := c.Ask(edge, http.MethodGet, "/v1/operator/servers", nil, &got); err != nil {
				return err
			}
			if len(got.Servers) != c.Spec.Servers {
				return errors.Errorf("%s knows %d of %d servers", edge, len(got.Servers), c.Spec.Servers)
			}
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}
