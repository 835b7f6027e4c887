package config

import "slices"

// Labels are name-value pairs that selectors match.
type Labels map[string]string

// Selector matches labels: each name in the selector must have one of the listed values. The
// empty selector matches everything.
type Selector map[string][]string

// Matches reports whether the labels satisfy the selector.
func (s Selector) Matches(labels Labels) bool {
	for name, values := range s {
		if !slices.Contains(values, labels[name]) {
			return false
		}
	}
	return true
}
