package note

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
)

// Difference is one path at which two configurations differ. Before or After is
// empty where the path does not exist.
type Difference struct {
	Path   string          `json:"path"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// Diff lists the paths at which the sections of two configurations differ, in
// the order of the paths. An object that only one of them has is listed whole.
func Diff(a, b Config) []Difference {
	before, _ := object(encode(a.Sections))
	after, _ := object(encode(b.Sections))
	var found []Difference
	for _, section := range names(before, after) {
		inner, _ := object(before[section])
		other, _ := object(after[section])
		found = compareFields(found, section, inner, other)
	}
	return found
}

func compare(found []Difference, path string, before, after json.RawMessage) []Difference {
	if bytes.Equal(before, after) {
		return found
	}
	inner, isObject := object(before)
	other, bothObjects := object(after)
	if isObject && bothObjects {
		return compareFields(found, path, inner, other)
	}
	items, isArray := array(before)
	others, bothArrays := array(after)
	if isArray && bothArrays && len(items) == len(others) {
		for i := range items {
			found = compare(found, path+"["+strconv.Itoa(i)+"]", items[i], others[i])
		}
		return found
	}
	return append(found, Difference{Path: path, Before: before, After: after})
}

func compareFields(found []Difference, path string, before, after map[string]json.RawMessage) []Difference {
	for _, name := range names(before, after) {
		found = compare(found, join(path, name), before[name], after[name])
	}
	return found
}

// names returns the sorted names that stand in either of two objects.
func names(a, b map[string]json.RawMessage) []string {
	both := maps.Clone(a)
	if both == nil {
		both = map[string]json.RawMessage{}
	}
	maps.Copy(both, b)
	return slices.Sorted(maps.Keys(both))
}

func object(raw json.RawMessage) (map[string]json.RawMessage, bool) {
	if len(raw) == 0 || raw[0] != '{' {
		return nil, false
	}
	var fields map[string]json.RawMessage
	return fields, json.Unmarshal(raw, &fields) == nil
}

func array(raw json.RawMessage) ([]json.RawMessage, bool) {
	if len(raw) == 0 || raw[0] != '[' {
		return nil, false
	}
	var items []json.RawMessage
	return items, json.Unmarshal(raw, &items) == nil
}

// encode returns the JSON text. The types of this package cannot fail to encode.
func encode(value any) json.RawMessage {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}
