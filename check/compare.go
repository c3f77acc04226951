package check

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"bergamotworks/site"
)

// Compare returns what a new configuration changes in the active one. Keys are counted,
// not shown. A revision that is not higher than the active one is an error: nodes ignore
// such a configuration.
func Compare(active, next site.Config) []Finding {
	var l findings
	if next.Revision <= active.Revision {
		l.add(Error, "version", "%d is not above the active %d, so that nodes ignore it", next.Revision, active.Revision)
	}
	compareEntries(&l, routePlace, active.Routes, next.Routes, func(r site.Route) string { return r.Name })
	compareEntries(&l, servicePlace, active.Services, next.Services, func(s site.Service) string { return s.Name })
	compareEntries(&l, accountPlace, summarize(active.Accounts), summarize(next.Accounts), func(a accountSummary) string { return a.Name })
	compareFields(&l, "limits", active.Limits, next.Limits)
	for _, a := range next.Accounts {
		compareKeys(&l, active.Accounts, a)
	}
	return l.sorted()
}

// accountSummary is a client account without its keys.
type accountSummary struct {
	Name     string `json:"name"`
	Priority *int   `json:"priority,omitempty"`
}

func summarize(accounts []site.ClientAccount) []accountSummary {
	var list []accountSummary
	for _, a := range accounts {
		list = append(list, accountSummary{Name: a.Name, Priority: a.Priority})
	}
	return list
}

// compareKeys reports how many keys an account gains and loses.
func compareKeys(l *findings, active []site.ClientAccount, next site.ClientAccount) {
	i := slices.IndexFunc(active, func(a site.ClientAccount) bool { return a.Name == next.Name })
	if i < 0 {
		return
	}
	added, removed := missing(active[i].Keys, next.Keys), missing(next.Keys, active[i].Keys)
	if added+removed > 0 {
		l.add(Info, accountPlace(next.Name)+".keys", "%d added, %d removed", added, removed)
	}
}

// missing returns the number of keys that are not in list.
func missing(list, keys []string) int {
	n := 0
	for _, k := range keys {
		if !slices.Contains(list, k) {
			n++
		}
	}
	return n
}

// compareEntries reports the entries that one list has and the other does not, and the
// fields in which the others differ.
func compareEntries[T any](l *findings, place func(string) string, active, next []T, name func(T) string) {
	before := make(map[string]T)
	for _, e := range active {
		before[name(e)] = e
	}
	for _, e := range next {
		n := name(e)
		old, ok := before[n]
		if !ok {
			l.add(Info, place(n), "added")
			continue
		}
		delete(before, n)
		compareFields(l, place(n), old, e)
	}
	for _, e := range active {
		if _, ok := before[name(e)]; ok {
			l.add(Info, place(name(e)), "removed")
			delete(before, name(e))
		}
	}
}

// compareFields reports the fields in which two values of a type differ.
func compareFields(l *findings, place string, active, next any) {
	before, after := fieldsOf(active), fieldsOf(next)
	var names []string
	for n := range after {
		names = append(names, n)
	}
	for n := range before {
		if _, ok := after[n]; !ok {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	for _, n := range names {
		if !bytes.Equal(before[n], after[n]) {
			l.add(Info, place+"."+n, "%s -> %s", textOf(before[n]), textOf(after[n]))
		}
	}
}

// fieldsOf returns the fields of a value in their encoded form.
func fieldsOf(value any) map[string]json.RawMessage {
	var fields map[string]json.RawMessage
	data, err := json.Marshal(value)
	if err == nil {
		err = json.Unmarshal(data, &fields)
	}
	if err != nil {
		panic(fmt.Sprintf("check: encode %T: %s", value, err)) // All fields of a configuration can be encoded.
	}
	return fields
}

func textOf(field json.RawMessage) string {
	if field == nil {
		return "absent"
	}
	return string(field)
}
