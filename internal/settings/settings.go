// Package settings reads a program's settings from flags and from the settings file that a flag
// names; flags take precedence (docs/DESIGN.md, section 10.2). All faults are reported together,
// each with its remedy; an invalid value is never replaced by a guess. A Reader is used once, by one
// goroutine.
package settings

import (
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3"

	"tuliprudder/internal/errs"
)

// exitCodeBadSettings is the exit code of a program whose settings have faults.
const exitCodeBadSettings = 2

// Reader reads settings and collects their faults.
type Reader struct {
	Flags *flag.FlagSet
	// Warnings is where the use of a setting's former name is reported; standard error by default.
	Warnings io.Writer
	faults   []string
	checks   []func()
}

// New returns a reader for a program.
func New(program string) *Reader {
	flags := flag.NewFlagSet(program, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.String("settings", "", "settings file: one 'name value' a line")
	return &Reader{Flags: flags, Warnings: os.Stderr}
}

// Faultf reports a fault in the settings. The text must name the setting and the remedy.
func (r *Reader) Faultf(format string, args ...any) {
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

// AddCheck adds a check that runs once all settings are read, and reports faults with Faultf.
func (r *Reader) AddCheck(check func()) { r.checks = append(r.checks, check) }

// CheckAddress reports a setting that is not an IP address with a port.
func (r *Reader) CheckAddress(name, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		r.Faultf("-%s %q: not an IP number with a port; write for example 127.0.0.1:7100", name, value)
	}
}

// Int adds a whole number with its default value and its inclusive bounds.
func (r *Reader) Int(target *int64, name string, value, lowest, highest int64, usage string) {
	r.Flags.Int64Var(target, name, value, usage)
	r.AddCheck(func() {
		if *target < lowest || *target > highest {
			r.Faultf("-%s %d: out of bounds; give a whole number from %d to %d", name, *target, lowest, highest)
		}
	})
}

// Parse reads the arguments and the settings file. The error is an *errs.Error of the kind
// errs.BadSettings that lists every fault.
func (r *Reader) Parse(args []string) error {
	err := ff.Parse(r.Flags, args, ff.WithConfigFileFlag("settings"), ff.WithConfigFileParser(ff.PlainParser))
	if err != nil {
		r.Faultf("%v; see -help for the available settings", err)
	} else {
		for _, check := range r.checks {
			check()
		}
	}
	if unexpected := r.Flags.Args(); len(unexpected) > 0 {
		r.Faultf("unexpected arguments: %s; remove them", strings.Join(unexpected, " "))
	}
	if len(r.faults) == 0 {
		return nil
	}
	return &errs.Error{
		Kind:    errs.BadSettings,
		Message: errs.Count(len(r.faults), "fault") + " in the settings",
		Remedy:  "correct each named setting",
		Faults:  r.faults,
	}
}

// MustParse is Parse for a program's main function. If help is requested, it prints the settings and
// exits; if the settings have faults, it prints them all on standard error and exits.
func (r *Reader) MustParse(args []string) {
	if isHelpRequested(args) {
		r.printHelp(os.Stdout)
		os.Exit(0)
	}
	if err := r.Parse(args); err != nil {
		r.printFaults(os.Stderr, errs.Of(err))
		os.Exit(exitCodeBadSettings)
	}
}

func isHelpRequested(args []string) bool {
	for _, arg := range args {
		switch arg {
		case "-help", "--help", "-h":
			return true
		}
	}
	return false
}

func (r *Reader) printHelp(out io.Writer) {
	fmt.Fprintf(out, "%s: settings\n", r.Flags.Name())
	r.Flags.SetOutput(out)
	r.Flags.PrintDefaults()
}

func (r *Reader) printFaults(out io.Writer, err *errs.Error) {
	fmt.Fprintf(out, "%s: %s\n", r.Flags.Name(), err.Message)
	for _, fault := range err.Faults {
		fmt.Fprintf(out, "  %s\n", fault)
	}
}
