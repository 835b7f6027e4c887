package endpoints

import (
	"encoding/json"

	"tuliprudder/internal/machine"
)

// DecodeServers reads the servers from updates whose keys begin with ServerPrefix. One whose
// value can't be read is left out: it is of a later release.
func DecodeServers(updates []machine.Update) []Server {
	var servers []Server
	for _, update := range updates {
		var server Server
		if json.Unmarshal(update.Value, &server) == nil {
			servers = append(servers, server)
		}
	}
	return servers
}
