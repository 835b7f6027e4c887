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
	peersNotWrittenRemedy = "none: it is retried; see the disk's condition"
)

// loadPeers reads the addresses of other daemons that an earlier run saved: the seeds may be
// dead by now. Without them the seeds have to do.
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
		logging.Write(d.Log, SavedPeersUnreadable{Reason: err.Error(), Remedy: "none: the daemon starts from its seeds alone, and saves the peers anew"})
		return nil
	}
	return peers
}

// peerSaver writes the addresses of live daemons to the data folder whenever they changed.
type peerSaver struct{ d *Daemon }

// Start starts the goroutine that saves; the clean-up that it pushes ends it.
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

// livePeers lists the addresses of other daemons that are alive, a bounded number of them.
func (s peerSaver) livePeers() (peers []string) {
	for _, member := range s.d.Loop.Members() {
		isOther := member.ID != s.d.Identity.ID
		if member.Status == membership.Alive && isOther && len(peers) < maxSavedPeers {
			peers = append(peers, member.Peer)
		}
	}
	return peers
}
