package program

import (
	"tuliprudder/internal/dataplane/mechanism"
	"tuliprudder/internal/settings"
)

// addDisable adds the setting that disables mechanisms.
func addDisable(reader *settings.Reader, target *mechanism.Set) {
	list := reader.Flags.String("disable", "", "comma-separated list of mechanisms to disable; only for measuring their effect")
	reader.AddCheck(func() {
		set, err := mechanism.Parse(*list)
		if err != nil {
			reader.Faultf("-disable %q: %v", *list, err)
		}
		*target = set
	})
}
