package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"tuliprudder/internal/errs"
)

// PatchFormat says how patches of a kind of document are written: which of its lists may be
// patched, and which field holds the operator's own version.
type PatchFormat struct {
	Lists        []string // names of the document's lists of named entries
	VersionField string   // of patch and document; "" where documents carry no version
}

// NativePatchFormat is the format of patches of the product's own documents.
var NativePatchFormat = PatchFormat{Lists: patchableLists}

// Patch changes entries of a document's lists by their names. The zero value changes nothing.
type Patch struct {
	// Version is the operator's own version of the patched document; 0 where the format has none.
	Version uint64

	format PatchFormat
	upsert map[string][]namedEntry // entries to replace or to append, by list
	remove map[string][]string     // names of entries to remove, by list
}

// namedEntry is one entry of a list, as it stands in the document.
type namedEntry struct {
	name string
	raw  json.RawMessage
}

// patchDocument is a patch as operators write it, beside its version.
type patchDocument struct {
	Upsert map[string][]json.RawMessage `json:"upsert"`
	Remove map[string][]string          `json:"remove"`
}

// Parse reads a patch. Its error is of kind errs.InvalidConfiguration and names every fault:
// unknown fields and lists, entries without a name, and names that stand in it twice.
func (f PatchFormat) Parse(data []byte) (*Patch, error) {
	fields, document, err := decodePatch(data)
	if err != nil {
		return nil, err
	}
	out := &Patch{format: f, upsert: map[string][]namedEntry{}, remove: document.Remove}
	faults := &parser{}
	out.Version = f.version(fields, faults)
	f.checkFields(fields, faults)
	for _, list := range slices.Sorted(maps.Keys(document.Upsert)) {
		f.checkList("$.upsert", list, faults)
		for i, raw := range document.Upsert[list] {
			name := entryName(raw)
			if name == "" {
				faults.addFault(fmt.Sprintf("$.upsert.%s[%d]", list, i), "has no name", "give each entry its name")
			}
			out.upsert[list] = append(out.upsert[list], namedEntry{name, raw})
		}
	}
	for _, list := range slices.Sorted(maps.Keys(document.Remove)) {
		f.checkList("$.remove", list, faults)
	}
	out.checkNames(faults)
	return out, faults.err()
}

// decodePatch reads the one object that data consists of.
func decodePatch(data []byte) (fields map[string]json.RawMessage, document patchDocument, err error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&fields); err != nil {
		return nil, document, invalidPatch(fmt.Sprintf("the patch can't be read completely: %v", err))
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, document, invalidPatch("something follows the patch")
	}
	if err := json.Unmarshal(data, &document); err != nil {
		return nil, document, invalidPatch(fmt.Sprintf("the patch can't be read: %v", err))
	}
	return fields, document, nil
}

func invalidPatch(problem string) error {
	return errs.New(errs.InvalidConfiguration, "write one object with upsert (lists of entries) and remove (lists of names); the configuration in force stays", "%s", problem)
}

// version reads the operator's own version.
func (f PatchFormat) version(fields map[string]json.RawMessage, faults *parser) uint64 {
	if f.VersionField == "" {
		return 0
	}
	var number float64
	err := json.Unmarshal(fields[f.VersionField], &number)
	if err != nil || number < 1 || number != float64(uint64(number)) {
		faults.addFault("$."+f.VersionField, "must be a whole number above 0", "number the patched configuration")
		return 0
	}
	return uint64(number)
}

// checkFields adds a fault for each field that no patch has.
func (f PatchFormat) checkFields(fields map[string]json.RawMessage, faults *parser) {
	known := []string{"upsert", "remove"}
	if f.VersionField != "" {
		known = append(known, f.VersionField)
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if !slices.Contains(known, name) {
			faults.addFault("$."+name, "unknown field", fmt.Sprintf("leave it out (known here: %v)", known))
		}
	}
}

// checkList adds a fault where a document has no such list.
func (f PatchFormat) checkList(path, list string, faults *parser) {
	if !slices.Contains(f.Lists, list) {
		faults.addFault(path+"."+list, "unknown list", fmt.Sprintf("name one of %v", f.Lists))
	}
}

// checkNames adds a fault for each name that stands in a patch twice.
func (p *Patch) checkNames(faults *parser) {
	for _, list := range p.format.Lists {
		seen := map[string]bool{}
		check := func(part, name string) {
			if name != "" && seen[name] {
				faults.addFault(fmt.Sprintf("$.%s.%s", part, list), fmt.Sprintf("names %q, which stands in the patch already", name), "name each entry once, either to upsert or to remove")
			}
			seen[name] = true
		}
		for _, entry := range p.upsert[list] {
			check("upsert", entry.name)
		}
		for _, name := range p.remove[list] {
			check("remove", name)
		}
	}
}

// entryName is the name of an entry; "" where it has none.
func entryName(raw json.RawMessage) string {
	var entry struct {
		Name string `json:"name"`
	}
	if json.Unmarshal(raw, &entry) != nil {
		return ""
	}
	return entry.Name
}

// Apply is the document that a patch makes of another one. An entry that is replaced keeps its
// place, new ones are appended, and what the patch does not name stays as it was.
// The error, of kind errs.InvalidConfiguration, names each entry to remove that isn't there;
// whether the new document is valid is for its own parser to say.
func (p *Patch) Apply(document []byte) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if len(document) > 0 {
		if err := json.Unmarshal(document, &fields); err != nil {
			return nil, invalidPatch(fmt.Sprintf("the configuration in force is no object that can be patched: %v", err))
		}
	}
	faults := &parser{}
	for _, list := range p.format.Lists {
		p.applyToList(fields, list, faults)
	}
	if err := faults.err(); err != nil {
		return nil, err
	}
	if p.format.VersionField != "" {
		fields[p.format.VersionField] = json.RawMessage(fmt.Sprint(p.Version))
	}
	return json.Marshal(fields)
}

// applyToList patches one list of a document.
func (p *Patch) applyToList(fields map[string]json.RawMessage, list string, faults *parser) {
	if len(p.upsert[list])+len(p.remove[list]) == 0 {
		return
	}
	var entries []json.RawMessage
	if raw, ok := fields[list]; ok {
		if err := json.Unmarshal(raw, &entries); err != nil {
			faults.addFault("$."+list, "is no list in the configuration in force", "put a whole configuration")
			return
		}
	}
	entries = p.removeEntries(entries, list, faults)
	for _, entry := range p.upsert[list] {
		at := slices.IndexFunc(entries, func(raw json.RawMessage) bool { return entryName(raw) == entry.name })
		if at >= 0 {
			entries[at] = entry.raw
		} else {
			entries = append(entries, entry.raw)
		}
	}
	if entries == nil {
		entries = []json.RawMessage{}
	}
	fields[list], _ = json.Marshal(entries) // they were read as JSON
}

// removeEntries leaves out the entries that the patch removes.
func (p *Patch) removeEntries(entries []json.RawMessage, list string, faults *parser) []json.RawMessage {
	for _, name := range p.remove[list] {
		kept := slices.DeleteFunc(slices.Clone(entries), func(raw json.RawMessage) bool { return entryName(raw) == name })
		if len(kept) == len(entries) {
			faults.addFault("$.remove."+list, fmt.Sprintf("names %q, which is not there", name), "remove entries of the configuration in force")
		}
		entries = kept
	}
	return entries
}
