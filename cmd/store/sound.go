//go:build !planted

package main

import (
	"tuliprudder/kernel/storage"
	"tuliprudder/ledger/store"
)

// plant does nothing in the daemons that serve.
func plant(*store.Store, *storage.Folder, string) {}
