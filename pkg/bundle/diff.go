package bundle

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// fieldJSON holds the JSON encoding of each field of a bundle entry, by field name.
type fieldJSON map[string]json.RawMessage

// Diff returns the changes from a to b, for the review of b. Entries are matched
// by name or id; their order is ignored. Version and base are omitted because
// they differ in every submission. For a first version, a is an empty bundle.
func Diff(a, b Bundle) []Change {
	before, after := withDefaults(a), withDefaults(b)
	if isEmpty(a) {
		before = a
	}
	changes := diffFields("", topLevelFields(before), topLevelFields(after))
	changes = append(changes, diffEntries("operators", before.Operators, after.Operators, func(o Operator) string { return o.Name })...)
	changes = append(changes, diffEntries("services", before.Services, after.Services, func(s Service) string { return s.Name })...)
	changes = append(changes, diffEntries("customers", before.Customers, after.Customers, func(c Customer) string { return c.ID })...)
	return changes
}

func isEmpty(b Bundle) bool {
	return b.Version == 0 && len(b.Operators) == 0 && len(b.Customers) == 0 && len(b.Services) == 0
}

func topLevelFields(b Bundle) fieldJSON {
	return fieldJSON{
		"required_signoffs":    jsonOf(b.RequiredSignoffs),
		"stale_bundle":         jsonOf(b.StaleBundle),
		"stale_bundle_seconds": jsonOf(b.StaleBundleSeconds),
	}
}

func diffEntries[T any](list string, before, after []T, name func(T) string) []Change {
	old, updated := byName(before, name), byName(after, name)
	var changes []Change
	for _, id := range sortedUnion(old, updated) {
		path := fmt.Sprintf("%s[%s]", list, id)
		x, inBefore := old[id]
		y, inAfter := updated[id]
		switch {
		case !inBefore:
			changes = append(changes, Change{Path: path, Kind: AddedEntry, After: string(jsonOf(y))})
		case !inAfter:
			changes = append(changes, Change{Path: path, Kind: RemovedEntry, Before: string(jsonOf(x))})
		default:
			changes = append(changes, diffFields(path+".", fieldsOf(x), fieldsOf(y))...)
		}
	}
	return changes
}

func diffFields(prefix string, before, after fieldJSON) []Change {
	var changes []Change
	for _, field := range sortedUnion(before, after) {
		x, y := string(before[field]), string(after[field])
		if x != y {
			changes = append(changes, Change{Path: prefix + field, Kind: ChangedField, Before: x, After: y})
		}
	}
	return changes
}

func byName[T any](list []T, name func(T) string) map[string]T {
	entries := make(map[string]T, len(list))
	for _, entry := range list {
		entries[name(entry)] = entry
	}
	return entries
}

func sortedUnion[T any](a, b map[string]T) []string {
	names := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(names)
	return slices.Compact(names)
}

func fieldsOf(entry any) fieldJSON {
	var fields fieldJSON
	if err := json.Unmarshal(jsonOf(entry), &fields); err != nil { // unreachable: entry is a struct, which encodes as a JSON object
		panic(err)
	}
	return fields
}

func jsonOf(value any) json.RawMessage {
	raw, err := json.Marshal(value)
	if err != nil { // only if the value contains a NaN or an infinity, which JSON cannot represent
		return json.RawMessage(fmt.Sprintf("%q", err))
	}
	return raw
}
