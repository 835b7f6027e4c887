package controlplane

import (
	"encoding/json"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/transport"
)

// Requests from other daemons to a core, and its responses. The Go names of the types and of
// their fields are part of the wire format.
type (
	// PutConfigurationRequest submits a complete configuration. If HasBase is set, it is
	// applied only if Base is the version in force (0 if there is none). Number is the
	// operator's version number; if it is 0, the core assigns one. A repeated request gets the
	// same response; without a number and a base a repeat can't be recognised, and counts as a
	// new request.
	PutConfigurationRequest struct {
		Body    []byte
		Number  uint64
		Base    uint64
		HasBase bool
		By      string
		Timeout clock.Micros
	}
	// PatchConfigurationRequest changes named entries of the configuration in force; the primary
	// applies it when it checks the base. Body is the patch as the operator wrote it; the other
	// fields are those of a PutConfigurationRequest. The response is a PutConfigurationResponse.
	PatchConfigurationRequest struct {
		Body    []byte
		Base    uint64
		HasBase bool
		By      string
		Timeout clock.Micros
	}
	// PutConfigurationResponse acknowledges a configuration, once every replica has it on disk.
	PutConfigurationResponse struct{ Version uint64 }
	// ConfigurationsRequest reads one version, the latest confirmed version, or the list of
	// versions.
	ConfigurationsRequest struct {
		Version uint64
		Latest  bool
	}
	// ConfigurationsResponse returns configurations. A list has the versions that can be read back,
	// without their documents, and every request that is still recognised.
	ConfigurationsResponse struct {
		Versions []state.Version
		Requests []state.AppliedRequest
	}
	// RetireRequest moves all shards off a store and retires it; Cancel reverses this, ReadOnly
	// only reads the progress. If ID is empty, the store is selected by Name, the operator's
	// name for it.
	RetireRequest struct {
		ID       string
		Name     string
		Cancel   bool
		ReadOnly bool
		Timeout  clock.Micros
	}
	// RetireResponse reports the progress of a retirement.
	RetireResponse struct {
		ID         string
		Done       bool
		ShardsLeft int // shards that still depend on the store
	}
	// ActsRequest reads the status of acts on external systems from the primary.
	ActsRequest struct{ Brief bool }
	// ActsResponse lists the subjects by name.
	ActsResponse struct{ Subjects []exclusive.SubjectStatus }
	// StatusRequest reads the status of a core.
	StatusRequest struct{ Brief bool }
	// StatusResponse is the status of the core that answers.
	StatusResponse struct {
		Core                 election.CoreRef
		Role                 string
		Epoch                uint64
		Vote                 election.Vote
		Map                  json.RawMessage
		ConfigurationVersion uint64
	}
)

func init() {
	transport.Register(PutConfigurationRequest{}, PatchConfigurationRequest{}, PutConfigurationResponse{}, RetireRequest{}, RetireResponse{},
		ConfigurationsRequest{}, ConfigurationsResponse{}, StatusRequest{}, StatusResponse{}, ActsRequest{}, ActsResponse{})
}
