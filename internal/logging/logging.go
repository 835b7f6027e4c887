// Package logging writes a daemon's log: one JSON object a line (docs/DESIGN.md, section 10.3).
// Each decision of a daemon is logged once, as a typed event (Write).
package logging

import (
	"io"
	"os"

	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/core/logx"
)

// New returns the logger of a daemon. It writes to out, or to standard error if out is nil. New also
// disables go-zero's own log, which would log requests a second time. The logger may be used from
// any goroutine.
func New(out io.Writer, program, id string) zerolog.Logger {
	logx.Disable()
	logx.DisableStat()
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMicro
	if out == nil {
		out = os.Stderr
	}
	return zerolog.New(out).With().Timestamp().Str("program", program).Str("id", id).Logger()
}
