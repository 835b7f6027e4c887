package localfleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"

	"github.com/pkg/errors"
)

// Kinds of daemon, which are the names of their programs.
const (
	kindCore        = "core"
	kindStore       = "store"
	kindEdge        = "edge"
	kindModelServer = "modelserver"
)

// Daemon is a process of the fleet with its addresses and arguments.
type Daemon struct {
	Name, Kind, Zone string
	IP               string
	Peer             string // address of the relay (test/netproxy) through which other daemons connect
	HTTP             string // HTTP address for callers and operators
	Data             string // data directory; "" if it has none

	args   []string
	cmd    *exec.Cmd     // guarded by Fleet.mu
	exited chan struct{} // closed once the process has exited; guarded by Fleet.mu
}

// addressesPerOctet is the number of addresses used in each /24 network.
const addressesPerOctet = 200

// newAddress allocates a loopback address that no other process of the fleet has.
func (f *Fleet) newAddress() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextAddress++
	return fmt.Sprintf("127.%d.%d.%d", f.addressOctet, 1+f.nextAddress/addressesPerOctet, 1+f.nextAddress%addressesPerOctet)
}

// Ports of daemons are below the ephemeral ports that the kernel assigns to outgoing connections
// (from 32768 on by default).
const (
	firstDaemonPort = 10_000
	endDaemonPort   = 32_000
	portAttempts    = 100
)

// freeAddress returns an address with a free port. It never returns one of the taken addresses,
// which may be reserved without being listened on yet.
func freeAddress(ip string, taken ...string) (string, error) {
	var err error
	for range portAttempts {
		port := firstDaemonPort + rand.IntN(endDaemonPort-firstDaemonPort)
		address := net.JoinHostPort(ip, strconv.Itoa(port))
		if slices.Contains(taken, address) {
			continue
		}
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.Wrap(err, "finding a free port")
}

// prepare allocates the addresses and arguments of a daemon without starting it.
func (f *Fleet) prepare(kind, name, zone string) (*Daemon, error) {
	d := &Daemon{Name: name, Kind: kind, Zone: zone, IP: f.newAddress()}
	var err error
	if d.Peer, err = freeAddress(d.IP); err != nil {
		return nil, err
	}
	if d.HTTP, err = freeAddress(d.IP, d.Peer); err != nil {
		return nil, err
	}
	if kind != kindModelServer {
		if err := f.prepareNetworkAndArgs(d); err != nil {
			return nil, err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[name] = d
	return d, nil
}

// prepareNetworkAndArgs starts the relay of a daemon and sets its arguments and data directory.
func (f *Fleet) prepareNetworkAndArgs(d *Daemon) error {
	listen, err := freeAddress(d.IP, d.Peer, d.HTTP)
	if err != nil {
		return err
	}
	if err := f.Network.Relay(d.Peer, listen); err != nil {
		return err
	}
	d.args = []string{"-zone", d.Zone, "-peer", d.Peer, "-peer-listen", listen, "-http", d.HTTP, "-log", filepath.Join(f.Dir, d.Name+".log")}
	if d.Kind != kindEdge {
		d.Data = filepath.Join(f.Dir, d.Name+".data")
		d.args = append(d.args, "-data", d.Data)
	}
	return nil
}

// StartDaemon starts the process of a daemon. The kernel kills it when this process dies.
func (f *Fleet) StartDaemon(name string) error {
	d := f.Get(name)
	cmd := exec.Command(filepath.Join(f.Bin, d.Kind), d.args...)
	stderr, err := os.OpenFile(filepath.Join(f.Dir, name+".stderr"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "opening the stderr file")
	}
	cmd.Stdout, cmd.Stderr = stderr, stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		stderr.Close()
		return errors.Wrapf(err, "starting %s", name)
	}
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		defer stderr.Close()
		cmd.Wait() // most processes are ended by a signal, so that the exit status carries no information
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	d.cmd = cmd
	d.exited = exited
	return nil
}

const killSignal = syscall.SIGKILL

func (f *Fleet) signal(name string, signal syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d := f.daemons[name]; d != nil && d.cmd != nil {
		d.cmd.Process.Signal(signal)
	}
}

// Kill kills a process and waits for it to exit.
func (f *Fleet) Kill(name string) {
	f.signal(name, killSignal)
	f.Wait(name)
}

// Drain requests a graceful shutdown and waits for the process to exit.
func (f *Fleet) Drain(name string) {
	f.signal(name, syscall.SIGTERM)
	f.Wait(name)
}

// Wait waits for a process to exit.
func (f *Fleet) Wait(name string) {
	f.mu.Lock()
	var exited chan struct{}
	if d := f.daemons[name]; d != nil {
		exited = d.exited
	}
	f.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// Pause suspends a process.
func (f *Fleet) Pause(name string) { f.signal(name, syscall.SIGSTOP) }

// Resume continues a paused process.
func (f *Fleet) Resume(name string) { f.signal(name, syscall.SIGCONT) }

// Wipe deletes the data directory of a daemon, whose process must have exited.
func (f *Fleet) Wipe(name string) error {
	return errors.Wrap(os.RemoveAll(f.Get(name).Data), "deleting a data directory")
}
