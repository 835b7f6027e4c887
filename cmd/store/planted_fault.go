//go:build planted

package main

import (
	"os"
	"path/filepath"
	"time"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/storage"
)

// injectFault puts a fault into a store on purpose: only builds for the proof of the
// checkers have it (DESIGN §9).
func injectFault(store *batchstore.Store, dataFolder *storage.Folder, folder string) {
	switch os.Getenv("TULIPRUDDER_PLANT") {
	case "one-disk":
		store.Groups().InjectedFaults.SkipReplicas = true
	case "early":
		store.InjectedFaults.SkipDurability = true
	case "stall":
		// The disk holds a write back for as long as a file named STALL is there.
		dataFolder.BeforeStep = func(step string) error {
			for step == "sync" {
				if _, err := os.Stat(filepath.Join(folder, "STALL")); err != nil {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			return nil
		}
	}
}
