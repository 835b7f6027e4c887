package settings

import "fmt"

// Deprecated also accepts a setting under its former name, with a warning. Former names are accepted
// for one release.
func (r *Reader) Deprecated(deprecated, current string) {
	r.Flags.Var(deprecatedValue{r, deprecated, current}, deprecated, "former name of -"+current)
}

// deprecatedValue is the flag.Value of a setting under its former name.
type deprecatedValue struct {
	reader              *Reader
	deprecated, current string
}

// String returns an empty string, because the value is stored under the current name.
func (deprecatedValue) String() string { return "" }

// Set sets the setting under its current name.
func (v deprecatedValue) Set(value string) error {
	fmt.Fprintf(v.reader.Warnings, "%s: -%s is now -%s; the old name is read for one release\n", v.reader.Flags.Name(), v.deprecated, v.current)
	return v.reader.Flags.Set(v.current, value)
}
