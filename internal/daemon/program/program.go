// Package program runs the daemons' programs: it reads the settings that every daemon
// has and those of its kind, makes the daemon, and runs it until it is told to stop
// (DESIGN §2, §10). Programs under cmd call Main; adapters to other platforms have
// settings of their own and share only how a daemon drains.
package program

import (
	"fmt"
	"os"

	"tuliprudder/internal/daemon/host"
	"tuliprudder/internal/settings"
)

// exitFailed is the exit code of a daemon that ended with a fault; bad settings end a
// program with 2 (settings.Reader.MustParse).
const exitFailed = 1

// Role is one kind of daemon: its own settings, and what it is made of.
type Role interface {
	// Name is the program's name in the log and before its messages.
	Name() string
	// Kind is the daemon's kind, as in package membership.
	Kind() string
	// NeedsDisk reports whether the daemon keeps data in a folder.
	NeedsDisk() bool
	// AddSettings adds the role's own settings to those of every daemon.
	AddSettings(reader *settings.Reader, common *settings.Common)
	// Assemble gives a daemon the role's parts; the settings have been read.
	Assemble(daemon *host.Daemon) error
}

// Main is the main function of a role's program.
func Main(role Role) {
	var common settings.Common
	var limits host.Limits
	reader := settings.New(role.Name())
	reader.Common(&common, role.NeedsDisk())
	limits.Settings(reader)
	role.AddSettings(reader, &common)
	reader.MustParse(os.Args[1:])
	if err := run(role, common, limits); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", role.Name(), err)
		os.Exit(exitFailed)
	}
}

func run(role Role, common settings.Common, limits host.Limits) error {
	daemon, err := host.New(role.Name(), role.Kind(), common, limits)
	if err != nil {
		return err
	}
	if err := role.Assemble(daemon); err != nil {
		return err
	}
	return daemon.Run()
}
