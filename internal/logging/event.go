package logging

import (
	"reflect"
	"strings"

	"github.com/rs/zerolog"

	"tuliprudder/internal/machine"
)

// eventKey is the key of the event's name in a log line.
const eventKey = "event"

// levels maps severities to log levels.
var levels = map[machine.Severity]zerolog.Level{
	machine.SeverityInfo:    zerolog.InfoLevel,
	machine.SeverityWarning: zerolog.WarnLevel,
	machine.SeverityError:   zerolog.ErrorLevel,
}

// Write writes one line for an event: its name, and its fields under the names of their
// json tags. A field that is tagged omitempty is omitted where it is zero.
func Write(log zerolog.Logger, event machine.Event) {
	line := log.WithLevel(levels[event.Severity()])
	line.Str(eventKey, event.EventName())
	value := reflect.ValueOf(event)
	for i := range value.NumField() {
		name, options, _ := strings.Cut(value.Type().Field(i).Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		if options == "omitempty" && value.Field(i).IsZero() {
			continue
		}
		line.Interface(name, value.Field(i).Interface())
	}
	line.Send()
}
