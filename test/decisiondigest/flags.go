package decisiondigest

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
)

// Names of the flags of tests that compare digests.
const (
	WriteFlag = "write-digests"
	PrintFlag = "print-effects"
)

// Flags holds the values of the flags.
type Flags struct {
	Write bool // rewrite the records
	print EffectRange
}

// AddFlags defines the flags on a flag set.
func AddFlags(flags *flag.FlagSet) *Flags {
	set := &Flags{}
	flags.BoolVar(&set.Write, WriteFlag, false, "rewrite the recorded digests: only in a commit of its own that changes behaviour on purpose and says how; never for a rename or refactoring")
	flags.Var(&set.print, PrintFlag, "print a range of effects of one run, as `NAME:FROM:TO`, with TO included")
	return set
}

// Trace makes a digest log the effects selected by -print-effects, if the flag names this run.
func (f *Flags) Trace(name string, d *Digest, logf func(format string, args ...any)) {
	if f.print.name != name {
		return
	}
	d.Trace = func(step Step) {
		if step.Number >= f.print.from && step.Number <= f.print.to {
			logf("%d hash %s: at %d us node %d: %T %+v", step.Number, step.Hash, step.At, step.Node, step.Effect, step.Effect)
		}
	}
}

// EffectRange is a range of effects of one run, by number. It implements flag.Value.
type EffectRange struct {
	name     string
	from, to int
}

// String returns the range in the syntax of the flag.
func (s *EffectRange) String() string { return fmt.Sprintf("%s:%d:%d", s.name, s.from, s.to) }

// Set parses the value of the flag.
func (s *EffectRange) Set(text string) error {
	fields := strings.Split(text, ":")
	if len(fields) != 3 {
		return fmt.Errorf("%q is not a range of effects; use NAME:FROM:TO", text)
	}
	from, errFrom := strconv.Atoi(fields[1])
	to, errTo := strconv.Atoi(fields[2])
	if errFrom != nil || errTo != nil {
		return fmt.Errorf("%q is not a range of effects; FROM and TO must be integers", text)
	}
	*s = EffectRange{fields[0], from, to}
	return nil
}
