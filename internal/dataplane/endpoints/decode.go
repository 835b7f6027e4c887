package endpoints

import (
	"encoding/json"

	"tuliprudder/internal/machine"
)

// DecodeServers decodes the servers from updates whose keys begin with ServerPrefix. It skips updates
// whose value cannot be decoded, because a later release may have written them.
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
