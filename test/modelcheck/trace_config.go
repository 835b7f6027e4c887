package modelcheck

import (
	"flag"
	"fmt"
	"io"
	"strings"
)

// configPrefix starts the line of a trace file that holds the trace's configuration.
const configPrefix = "# config:"

// ParseConfig parses the configuration of a trace from the line of its file that begins with
// "# config:", in the syntax of cmd/controlcheck's flags.
func ParseConfig(text string) (*Config, error) {
	c := &Config{Voters: 3, MaxLosses: -1, Limits: DefaultLimits()}
	for line := range strings.Lines(text) {
		fields, isConfig := strings.CutPrefix(strings.TrimSpace(line), configPrefix)
		if !isConfig {
			continue
		}
		flags := flag.NewFlagSet("config", flag.ContinueOnError)
		flags.SetOutput(io.Discard)
		flags.IntVar(&c.Voters, "voters", c.Voters, "")
		flags.IntVar(&c.MaxLosses, "losses", c.MaxLosses, "")
		flags.IntVar(&c.Spares, "spares", c.Spares, "")
		flags.IntVar(&c.Zones, "zones", c.Zones, "")
		flags.BoolVar(&c.StartEmpty, "empty", c.StartEmpty, "")
		flags.BoolVar(&c.FineGrained, "fine", c.FineGrained, "")
		flags.StringVar(&c.Fault, "fault", c.Fault, "")
		if err := flags.Parse(strings.Fields(fields)); err != nil {
			return nil, fmt.Errorf("parsing trace configuration %q: %w", line, err)
		}
	}
	return c, nil
}
