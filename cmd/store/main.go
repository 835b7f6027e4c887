// Program store is the store daemon, which stores batches and runs their items (DESIGN §6).
// `store -help` lists the settings.
package main

import (
	"tuliprudder/internal/daemon/program"
	"tuliprudder/internal/daemon/roles"
)

func main() {
	store := program.NewStore()
	store.Prepare = func(role *roles.Store, dataDir string) { injectFault(role.Batches, role.Folder, dataDir) }
	program.Main(store)
}
