package host

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// The log events of every daemon's life.
type (
	// DaemonStarted tells that all services run.
	DaemonStarted struct {
		machine.Info
		Zone        string `json:"zone"`
		Peer        string `json:"peer"`
		HTTP        string `json:"http"`
		Incarnation uint64 `json:"incarnation"`
	}
	// DrainStarted tells that the daemon was asked to stop.
	DrainStarted struct {
		machine.Info
		TimeoutUS clock.Micros `json:"timeout_us"`
	}
	// DrainTimedOut tells that the daemon stops before it is drained.
	DrainTimedOut struct {
		machine.Warning
		TimeoutUS clock.Micros `json:"timeout_us"`
	}
	// DaemonStopped is the last line of a daemon that was asked to stop.
	DaemonStopped struct{ machine.Info }
	// SavedPeersUnreadable tells that the file of saved addresses is damaged.
	SavedPeersUnreadable struct {
		machine.Warning
		Reason string `json:"reason"`
		Remedy string `json:"remedy"`
	}
	// SavedPeersNotWritten tells that the addresses could not be saved; logged once until
	// they are.
	SavedPeersNotWritten struct {
		machine.Warning
		Reason string `json:"reason"`
		Remedy string `json:"remedy"`
	}
)

// EventName is the event's key in the log.
func (DaemonStarted) EventName() string { return "daemon_started" }

// EventName is the event's key in the log.
func (DrainStarted) EventName() string { return "drain_started" }

// EventName is the event's key in the log.
func (DrainTimedOut) EventName() string { return "drain_timed_out" }

// EventName is the event's key in the log.
func (DaemonStopped) EventName() string { return "daemon_stopped" }

// EventName is the event's key in the log.
func (SavedPeersUnreadable) EventName() string { return "saved_peers_unreadable" }

// EventName is the event's key in the log.
func (SavedPeersNotWritten) EventName() string { return "saved_peers_not_written" }
