//go:build !planted

package main

import (
	"tuliprudder/kernel/storage"
	"tuliprudder/ledger/keeper"
)

// plant does nothing in the daemons that serve.
func plant(*keeper.Keeper, *storage.Folder, string) {}
