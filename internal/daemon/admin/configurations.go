package admin

import (
	"net/http"
	"strconv"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/httpserver"
)

const (
	// changeTimeout is how long the primary may take to change the control state. After that
	// the outcome of the change is unknown.
	changeTimeout = 5 * clock.Second
	// readTimeout is how long a read of the control state may take.
	readTimeout = 3 * clock.Second
	// networkMargin is how much longer than the primary's own time-out a call to it waits.
	networkMargin = clock.Second
)

// putConfigurationResponse holds the version number assigned to a configuration.
type putConfigurationResponse struct {
	Version uint64 `json:"version"`
}

// configurationListResponse lists the versions that can be read back, and the applied requests
// that are still recognised, by the digest of their documents, when they are sent again.
type configurationListResponse struct {
	Requests []appliedRequestResponse       `json:"orders"`
	Versions []configurationVersionResponse `json:"plans"`
}

type appliedRequestResponse struct {
	Base    uint64 `json:"base"`
	Digest  string `json:"digest"` // in hexadecimal
	Version uint64 `json:"version"`
}

type configurationVersionResponse struct {
	At      clock.Micros `json:"at_us"`
	Base    uint64       `json:"base"`
	By      string       `json:"by"`
	Version uint64       `json:"version"`
}

// getConfiguration writes the configuration in force, as known to this daemon.
func (a *Admin) getConfiguration(w http.ResponseWriter, _ *http.Request) error {
	version, err := readUpdate[state.Version](a, state.ConfigurationKey, "configuration")
	if err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, version)
}

// putConfiguration replaces the configuration. If the query has a base, the configuration is
// replaced only if that version is in force.
func (a *Admin) putConfiguration(w http.ResponseWriter, r *http.Request) error {
	document, err := httpserver.ReadBody(r)
	if err != nil {
		return err
	}
	if err := config.Validate(document); err != nil {
		return err
	}
	base, hasBase, err := baseVersion(r)
	if err != nil {
		return err
	}
	return a.changeConfiguration(w, controlplane.PutConfigurationRequest{
		Body: document, Base: base, HasBase: hasBase, By: r.Header.Get("X-Operator"), Timeout: changeTimeout,
	})
}

// patchConfiguration changes named entries of the configuration in force. If the query has a
// base, they are changed only if that version is in force.
func (a *Admin) patchConfiguration(w http.ResponseWriter, r *http.Request) error {
	patch, err := httpserver.ReadBody(r)
	if err != nil {
		return err
	}
	base, hasBase, err := baseVersion(r)
	if err != nil {
		return err
	}
	return a.changeConfiguration(w, controlplane.PatchConfigurationRequest{
		Body: patch, Base: base, HasBase: hasBase, By: r.Header.Get("X-Operator"), Timeout: changeTimeout,
	})
}

// baseVersion reads the version that a change is based on from the query; hasBase is false if there
// is none.
func baseVersion(r *http.Request) (base uint64, hasBase bool, err error) {
	text := r.URL.Query().Get("base")
	if text == "" {
		return 0, false, nil
	}
	base, err = strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, false, errs.New(errs.BadInput, "give the number of the version that the configuration is based on, or omit base", "base=%q is not a version number", text)
	}
	return base, true, nil
}

// changeConfiguration sends a change to the primary core and writes the number of the new version.
func (a *Admin) changeConfiguration(w http.ResponseWriter, request any) error {
	response, err := callPrimary[controlplane.PutConfigurationResponse](a, request, changeTimeout+networkMargin)
	if err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, putConfigurationResponse{Version: response.Version})
}

// listConfigurations writes the versions that the primary core keeps.
func (a *Admin) listConfigurations(w http.ResponseWriter, _ *http.Request) error {
	response, err := callPrimary[controlplane.ConfigurationsResponse](a, controlplane.ConfigurationsRequest{}, readTimeout)
	if err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, newConfigurationList(response))
}

// getConfigurationVersion writes one version with its document.
func (a *Admin) getConfigurationVersion(w http.ResponseWriter, r *http.Request) error {
	text := pathvar.Vars(r)["version"]
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || version == 0 {
		return errs.New(errs.BadInput, "give a version number from the list of configurations", "%q is not a version number", text)
	}
	response, err := callPrimary[controlplane.ConfigurationsResponse](a, controlplane.ConfigurationsRequest{Version: version}, readTimeout)
	if err != nil {
		return err
	}
	if len(response.Versions) != 1 {
		return httpserver.WriteJSON(w, http.StatusOK, newConfigurationList(response))
	}
	return httpserver.WriteJSON(w, http.StatusOK, response.Versions[0])
}

func newConfigurationList(configurations controlplane.ConfigurationsResponse) configurationListResponse {
	list := configurationListResponse{
		Requests: []appliedRequestResponse{},
		Versions: []configurationVersionResponse{},
	}
	for _, version := range configurations.Versions {
		list.Versions = append(list.Versions, configurationVersionResponse{At: version.At, Base: version.Base, By: version.By, Version: version.Number})
	}
	for _, request := range configurations.Requests {
		list.Requests = append(list.Requests, appliedRequestResponse{Base: request.Base, Digest: request.Digest.String(), Version: request.Number})
	}
	return list
}
