package decisiondigest

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
)

// The flags of the tests that compare digests.
const (
	WriteFlag = "write-digests"
	PrintFlag = "print-effects"
)

// Flags are the values of the flags.
type Flags struct {
	Write bool // write the records anew
	print EffectRange
}

// AddFlags defines the flags.
func AddFlags(flags *flag.FlagSet) *Flags {
	set := &Flags{}
	flags.BoolVar(&set.Write, WriteFlag, false, "write the recorded digests anew: only in a commit of its own that changes behaviour on purpose and says how; never for a renaming or a restructuring")
	flags.Var(&set.print, PrintFlag, "print some effects of one run, as in `NAME:FROM:TO`; TO is the last of them")
	return set
}

// Trace has a digest log the effects of the -print-effects flag, if they are of this run.
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

// EffectRange is some effects of one run, by their numbers; it is read from a flag.
type EffectRange struct {
	name     string
	from, to int
}

// String writes the span as a flag has it.
func (s *EffectRange) String() string { return fmt.Sprintf("%s:%d:%d", s.name, s.from, s.to) }

// Set reads the span from a flag.
func (s *EffectRange) Set(text string) error {
	fields := strings.Split(text, ":")
	if len(fields) != 3 {
		return fmt.Errorf("%q is no span of effects; give NAME:FROM:TO", text)
	}
	from, errFrom := strconv.Atoi(fields[1])
	to, errTo := strconv.Atoi(fields[2])
	if errFrom != nil || errTo != nil {
		return fmt.Errorf("%q is no span of effects; FROM and TO are whole numbers", text)
	}
	*s = EffectRange{fields[0], from, to}
	return nil
}
