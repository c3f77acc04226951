package note

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
)

// Difference is a path at which two configurations differ. Before or After is
// empty if the path does not exist there.
type Difference struct {
	Path   string          `json:"path"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// Diff lists the paths at which the sections of two configurations differ,
// sorted by path. If only one of them has an object, the whole object is one
// difference.
func Diff(a, b Config) []Difference {
	before, _ := decodeObject(encode(a.Sections))
	after, _ := decodeObject(encode(b.Sections))
	var differences []Difference
	for _, section := range unionNames(before, after) {
		beforeObject, _ := decodeObject(before[section])
		afterObject, _ := decodeObject(after[section])
		differences = compareFields(differences, section, beforeObject, afterObject)
	}
	return differences
}

func compare(differences []Difference, path string, before, after json.RawMessage) []Difference {
	if bytes.Equal(before, after) {
		return differences
	}
	beforeObject, isObject := decodeObject(before)
	afterObject, bothObjects := decodeObject(after)
	if isObject && bothObjects {
		return compareFields(differences, path, beforeObject, afterObject)
	}
	beforeItems, isArray := decodeArray(before)
	afterItems, bothArrays := decodeArray(after)
	if isArray && bothArrays && len(beforeItems) == len(afterItems) {
		for i := range beforeItems {
			differences = compare(differences, path+"["+strconv.Itoa(i)+"]", beforeItems[i], afterItems[i])
		}
		return differences
	}
	return append(differences, Difference{Path: path, Before: before, After: after})
}

func compareFields(differences []Difference, path string, before, after map[string]json.RawMessage) []Difference {
	for _, name := range unionNames(before, after) {
		differences = compare(differences, join(path, name), before[name], after[name])
	}
	return differences
}

// unionNames returns the sorted names of the fields of two objects.
func unionNames(a, b map[string]json.RawMessage) []string {
	union := maps.Clone(a)
	if union == nil {
		union = map[string]json.RawMessage{}
	}
	maps.Copy(union, b)
	return slices.Sorted(maps.Keys(union))
}

func decodeObject(raw json.RawMessage) (map[string]json.RawMessage, bool) {
	if len(raw) == 0 || raw[0] != '{' {
		return nil, false
	}
	var fields map[string]json.RawMessage
	return fields, json.Unmarshal(raw, &fields) == nil
}

func decodeArray(raw json.RawMessage) ([]json.RawMessage, bool) {
	if len(raw) == 0 || raw[0] != '[' {
		return nil, false
	}
	var items []json.RawMessage
	return items, json.Unmarshal(raw, &items) == nil
}

// encode returns the JSON encoding of a value of one of this package's types,
// which always encode without error.
func encode(value any) json.RawMessage {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}
