package host

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"tuliprudder/internal/cleanup"
	"tuliprudder/internal/logging"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/services"
	"tuliprudder/internal/storage"
)

const (
	maxSavedPeers         = 64
	savePeersInterval     = 5 * time.Second
	peersNotWrittenRemedy = "none: the write is retried; check the state of the disk"
)

// loadPeers reads the addresses of other daemons that an earlier run saved, since the seeds may
// no longer be alive. If there are none, the daemon joins through the seeds alone.
func (d *Daemon) loadPeers() []string {
	if d.Common.DataDir == "" {
		return nil
	}
	data, err := os.ReadFile(d.DataPath(peersFile))
	if err != nil {
		return nil
	}
	var peers []string
	if err := json.Unmarshal(data, &peers); err != nil {
		logging.Write(d.Log, SavedPeersUnreadable{Reason: err.Error(), Remedy: "none: the daemon joins through its seeds alone, and writes the file again"})
		return nil
	}
	return peers
}

// peerSaver writes the addresses of live daemons to the data folder when they have changed.
type peerSaver struct{ d *Daemon }

// Start starts the goroutine that saves the addresses. The clean-up function that it pushes stops
// it.
func (s peerSaver) Start(_ *services.Registry, cleanups *cleanup.Stack) error {
	if s.d.Common.DataDir == "" {
		return nil
	}
	var saved []byte
	failed := false
	cleanup.Every(cleanups, savePeersInterval, func() {
		peers := s.livePeers()
		data, _ := json.Marshal(peers)
		if len(peers) == 0 || bytes.Equal(data, saved) {
			return
		}
		err := storage.WriteFileAtomically(s.d.DataPath(peersFile), data)
		if err != nil && !failed {
			logging.Write(s.d.Log, SavedPeersNotWritten{Reason: err.Error(), Remedy: peersNotWrittenRemedy})
		}
		if failed = err != nil; !failed {
			saved = data
		}
	})
	return nil
}

// livePeers returns the addresses of at most maxSavedPeers other daemons that are alive.
func (s peerSaver) livePeers() (peers []string) {
	for _, member := range s.d.Loop.Members() {
		isOther := member.ID != s.d.Identity.ID
		if member.Status == membership.Alive && isOther && len(peers) < maxSavedPeers {
			peers = append(peers, member.Peer)
		}
	}
	return peers
}
