package controlplane

import (
	"encoding/json"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/transport"
)

// Requests of other daemons to a core, and its responses. Their Go names and those of
// their fields are on the wire.
type (
	// PutConfigurationRequest submits a whole configuration. HasBase: only where Base is the
	// version in force, 0 where none is. Number is the operator's own version; 0: the
	// core numbers it. The same request sent again gets the same response; one without a
	// number and without a base can't be recognised, and is a new one each time.
	PutConfigurationRequest struct {
		Body    []byte
		Number  uint64
		Base    uint64
		HasBase bool
		By      string
		Timeout clock.Micros
	}
	// PatchConfigurationRequest changes named entries of the configuration in force; the primary
	// applies it where it checks the base. Body is the patch as the operator wrote it; the other
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
	// ConfigurationsRequest reads configurations back: one version, the latest one that is
	// confirmed, or a list.
	ConfigurationsRequest struct {
		Version uint64
		Latest  bool
	}
	// ConfigurationsResponse is the answer. A list has the versions that can be read back, without
	// their documents, and every request that is still recognised.
	ConfigurationsResponse struct {
		Versions []state.Version
		Requests []state.AppliedRequest
	}
	// RetireRequest empties a store and retires it; Cancel has it stay, ReadOnly changes
	// nothing. Where ID is "" the store that the operator calls Name is meant.
	RetireRequest struct {
		ID       string
		Name     string
		Cancel   bool
		ReadOnly bool
		Timeout  clock.Micros
	}
	// RetireResponse tells how far it is.
	RetireResponse struct {
		ID         string
		Done       bool
		ShardsLeft int // shards that still depend on it
	}
	// ActsRequest reads from the primary what is known of acts on outside systems.
	ActsRequest struct{ Brief bool }
	// ActsResponse is the answer: the subjects by name.
	ActsResponse struct{ Subjects []exclusive.SubjectStatus }
	// StatusRequest asks a core for its own account.
	StatusRequest struct{ Brief bool }
	// StatusResponse is that account.
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
