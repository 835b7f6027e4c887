//go:build !planted

package main

import (
	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/storage"
)

// injectFault does nothing in production builds.
func injectFault(*batchstore.Store, *storage.Folder, string) {}
