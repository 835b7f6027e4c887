//go:build planted

package main

import (
	"os"
	"path/filepath"
	"time"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/storage"
)

// injectFault injects the fault named by TULIPRUDDER_PLANT into a store. It is only in builds with
// the planted tag, which verify that the checkers detect such faults (DESIGN §9).
func injectFault(store *batchstore.Store, dataFolder *storage.Folder, folder string) {
	switch os.Getenv("TULIPRUDDER_PLANT") {
	case "one-disk":
		store.Groups().InjectedFaults.SkipReplicas = true
	case "early":
		store.InjectedFaults.SkipDurability = true
	case "stall":
		// Blocks every sync while a file named STALL exists in the data folder.
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
