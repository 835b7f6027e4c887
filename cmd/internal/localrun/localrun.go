// Package localrun starts whole deployments on this machine for the programs that try
// them out: it builds the daemons from the working tree, starts them, and waits until
// they serve. One goroutine uses it.
package localrun

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"tuliprudder/test/faultinject"
	"tuliprudder/test/localfleet"
)

// ErrGuaranteeBroken is the error of a program whose checkers saw a guarantee broken.
var ErrGuaranteeBroken = errors.New("a guarantee was broken")

// Start builds the daemons into a folder and starts the deployment that the settings
// describe below it; ctx ends it before the deployment is started. It returns once the
// deployment serves, with the time that this took from its start, or after timeout. Where
// it fails nothing is left running; otherwise the caller stops the fleet.
func Start(ctx context.Context, cfg faultinject.Settings, folder string, timeout time.Duration, buildArgs ...string) (*localfleet.Fleet, time.Duration, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, 0, errors.Wrap(err, "finding the working tree")
	}
	programs := filepath.Join(folder, "bin")
	if err := localfleet.Build(root, programs, buildArgs...); err != nil {
		return nil, 0, err
	}
	if err := ctx.Err(); err != nil {
		return nil, 0, err // interrupted during the build, which takes no context
	}
	fleet := localfleet.New(cfg.Spec(), filepath.Join(folder, "fleet"), programs)
	startedAt := time.Now()
	if err := startAndWait(fleet, timeout); err != nil {
		fleet.Stop()
		return nil, 0, err
	}
	return fleet, time.Since(startedAt), nil
}

func startAndWait(fleet *localfleet.Fleet, timeout time.Duration) error {
	if err := fleet.Start(); err != nil {
		return err
	}
	return fleet.MakeReady(timeout)
}
