package hunt

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"

	"github.com/pkg/errors"

	"tuliprudder/internal/errs"
)

// wireFile is the file beside a site file that the bench reads with it.
const wireFile = "wire.json"

// siteLength is the setting of a site file that holds the seconds of traffic of a day.
var siteLength = regexp.MustCompile(`(?m)^length_s\s*=.*$`)

// checkLongSite rejects a site file whose days can't be made longer.
func checkLongSite(path string) error {
	text, err := os.ReadFile(path)
	if err == nil && !siteLength.Match(text) {
		return errs.New(errs.BadSettings, "give a site file with a line length_s", "the days of the site %q have no length", path)
	}
	return nil
}

// writeLongSite writes a copy of a site file whose days last for a number of seconds, with its
// wire file beside it, and returns the copy's path.
func writeLongSite(path string, seconds int, folder string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "read the site file")
	}
	wire, err := os.ReadFile(filepath.Join(filepath.Dir(path), wireFile))
	if err != nil {
		return "", errors.Wrap(err, "read the wire file")
	}
	folder = filepath.Join(folder, fmt.Sprintf("%s-%ds", siteName(path), seconds))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", errors.Wrap(err, "make the folder of the long site")
	}
	if err := os.WriteFile(filepath.Join(folder, wireFile), wire, 0o644); err != nil {
		return "", errors.Wrap(err, "write the wire file")
	}
	long := siteLength.ReplaceAll(text, fmt.Appendf(nil, "length_s = %d.0", seconds))
	copied := filepath.Join(folder, filepath.Base(path))
	return copied, errors.Wrap(os.WriteFile(copied, long, 0o644), "write the long site")
}
