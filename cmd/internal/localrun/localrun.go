// Package localrun starts complete deployments on the local machine for test programs. It builds
// the daemons from the working tree, starts them, and waits until they serve requests. It is not
// safe for concurrent use.
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

// ErrGuaranteeBroken is returned by a program whose checkers found a guarantee violated.
var ErrGuaranteeBroken = errors.New("a guarantee was broken")

// Start builds the daemons in folder and starts the deployment described by cfg, with its files
// below folder. It returns once the deployment serves requests, with the time from its start until
// then, or with an error after timeout. ctx is checked only between the build and the start. On
// error no process is left running; otherwise the caller must stop the fleet.
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
