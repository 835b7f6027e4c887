//go:build !planted

package main

import (
	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/storage"
)

// injectFault does nothing in the daemons that serve.
func injectFault(*batchstore.Store, *storage.Folder, string) {}
