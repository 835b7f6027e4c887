package host

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// The log events of the life cycle of every daemon.
type (
	// DaemonStarted is logged when all services are running.
	DaemonStarted struct {
		machine.Info
		Zone        string `json:"zone"`
		Peer        string `json:"peer"`
		HTTP        string `json:"http"`
		Incarnation uint64 `json:"incarnation"`
	}
	// DrainStarted is logged when the daemon was told to stop and starts to drain.
	DrainStarted struct {
		machine.Info
		TimeoutUS clock.Micros `json:"timeout_us"`
	}
	// DrainTimedOut is logged when the drain time-out has passed and the daemon stops before it has drained.
	DrainTimedOut struct {
		machine.Warning
		TimeoutUS clock.Micros `json:"timeout_us"`
	}
	// DaemonStopped is the last event that a daemon logs when it was told to stop.
	DaemonStopped struct{ machine.Info }
	// SavedPeersUnreadable is logged when the file of saved peer addresses is damaged.
	SavedPeersUnreadable struct {
		machine.Warning
		Reason string `json:"reason"`
		Remedy string `json:"remedy"`
	}
	// SavedPeersNotWritten is logged when the peer addresses could not be saved. Further
	// failures are not logged until a write has succeeded.
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
