// Package program implements the main functions of the daemons: it reads the settings that
// all daemons share and those of the role, makes the daemon, and runs it until it is
// stopped (DESIGN §2, §10). Programs under cmd call Main. Platform adapters have
// settings of their own and share only how a daemon drains.
package program

import (
	"fmt"
	"os"

	"tuliprudder/internal/daemon/host"
	"tuliprudder/internal/settings"
)

// exitFailed is the exit code of a daemon that ended with an error. Invalid settings give
// exit code 2 (settings.Reader.MustParse).
const exitFailed = 1

// Role is one kind of daemon: its settings and how it is assembled.
type Role interface {
	// Name is the program's name in the log and in error messages.
	Name() string
	// Kind is the daemon's kind, as in package membership.
	Kind() string
	// NeedsDisk reports whether the daemon stores data and needs a data folder.
	NeedsDisk() bool
	// AddSettings adds the role's own settings to those that all daemons share.
	AddSettings(reader *settings.Reader, common *settings.Common)
	// Assemble adds the role's parts to a daemon. It is called after the settings are read.
	Assemble(daemon *host.Daemon) error
}

// Main reads the settings from the command line and runs a daemon of the role. It is the main
// function of the role's program.
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
