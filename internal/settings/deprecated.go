package settings

import "fmt"

// Deprecated reads a setting also under its former name, with a warning. Former names are read
// for one release.
func (r *Reader) Deprecated(deprecated, current string) {
	r.Flags.Var(deprecatedValue{r, deprecated, current}, deprecated, "former name of -"+current)
}

// deprecatedValue is the flag.Value of a setting under its former name.
type deprecatedValue struct {
	reader              *Reader
	deprecated, current string
}

// String is empty: the value is kept under the current name.
func (deprecatedValue) String() string { return "" }

// Set sets the setting under its current name.
func (v deprecatedValue) Set(value string) error {
	fmt.Fprintf(v.reader.Warnings, "%s: -%s is now -%s; the old name is read for one release\n", v.reader.Flags.Name(), v.deprecated, v.current)
	return v.reader.Flags.Set(v.current, value)
}
