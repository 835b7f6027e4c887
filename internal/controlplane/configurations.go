package controlplane

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// readConfigurations returns confirmed configurations, and only under the lease: a primary that was
// deposed without noticing could return an older version as the latest (DESIGN §8.2).
func (c *Core) readConfigurations(call uint64, request ConfigurationsRequest, now clock.Micros) {
	if !c.HoldsLease(now) {
		c.rejectNotPrimary(call)
		return
	}
	response, err := c.confirmedConfigurations().read(request)
	if err != nil {
		c.Emit(machine.Reply{Call: call, Err: err})
		return
	}
	c.Emit(machine.Reply{Call: call, Body: response})
}

// confirmedConfigurations is the part of the configuration state that every replica has on disk.
type confirmedConfigurations struct {
	versions []state.Version
	requests []state.AppliedRequest
}

func (c *Core) confirmedConfigurations() confirmedConfigurations {
	confirmed := confirmedConfigurations{versions: c.state.Versions, requests: c.state.Requests.All()}
	if c.queue.HasConfigurationInFlight() {
		// The newest version is applied locally, but not confirmed yet.
		confirmed.versions = confirmed.versions[:len(confirmed.versions)-1]
		confirmed.requests = confirmed.requests[:len(confirmed.requests)-1]
	}
	return confirmed
}

// read returns the response to a request.
func (f confirmedConfigurations) read(request ConfigurationsRequest) (ConfigurationsResponse, error) {
	switch {
	case request.Latest && len(f.versions) == 0:
		return ConfigurationsResponse{}, errs.New(errs.NotFound, "put a configuration", "no configuration was ever put")
	case request.Latest:
		return ConfigurationsResponse{Versions: f.versions[len(f.versions)-1:]}, nil
	case request.Version == 0:
		return f.list(), nil
	}
	return f.find(request.Version)
}

// find returns one version.
func (f confirmedConfigurations) find(number uint64) (ConfigurationsResponse, error) {
	for _, version := range f.versions {
		if version.Number == number {
			return ConfigurationsResponse{Versions: []state.Version{version}}, nil
		}
	}
	for _, applied := range f.requests {
		if applied.Number == number {
			return ConfigurationsResponse{}, errs.New(errs.NotFound, "read one of the newest versions, or look up the document where you keep your configurations; the list contains its digest",
				"version %d was confirmed, but its document is no longer kept", number)
		}
	}
	return ConfigurationsResponse{}, errs.New(errs.NotFound, "list the versions that exist", "no configuration version %d", number)
}

// list returns the versions that can be read back, without their documents, and every request that
// is still recognised.
func (f confirmedConfigurations) list() ConfigurationsResponse {
	response := ConfigurationsResponse{Requests: f.requests}
	for _, version := range f.versions {
		version.Body = nil
		response.Versions = append(response.Versions, version)
	}
	return response
}
