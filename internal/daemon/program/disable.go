package program

import (
	"tuliprudder/internal/dataplane/mechanism"
	"tuliprudder/internal/settings"
)

// addDisable adds the setting that switches mechanisms off.
func addDisable(reader *settings.Reader, target *mechanism.Set) {
	list := reader.Flags.String("disable", "", "mechanisms to switch off, by comma: only to measure what they are worth")
	reader.AddCheck(func() {
		set, err := mechanism.Parse(*list)
		if err != nil {
			reader.Faultf("-disable %q: %v", *list, err)
		}
		*target = set
	})
}
