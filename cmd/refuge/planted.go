//go:build planted

package main

import (
	"os"

	"tuliprudder/ledger/keeper"
)

// plant puts a fault into a store on purpose: only builds for the proof of the
// checkers have it (DESIGN §9).
func plant(books *keeper.Keeper) {
	switch os.Getenv("TULIPRUDDER_PLANT") {
	case "one-disk":
		books.Gang().SkipRemote = true
	case "early":
		books.EarlyAnnounce = true
	}
}
