package note

import (
	"errors"
	"maps"
	"slices"
	"strings"

	"bergamotworks/fault"
)

// Apply applies a release note to a configuration and returns the result as the
// next revision. Objects that are added must be new, objects that are changed
// or withdrawn must exist, and no object may occur twice in the note. The
// result must pass [Check]. Errors are of kind fault.Invalid, have the verdict
// NotRun and name a path in the note; if the note breaks a reference from an
// object that it does not contain, they name the path in the configuration.
//
// Apply modifies neither argument; the result shares the unchanged objects.
func Apply(config Config, n Note) (Config, error) {
	if !nameRegexp.MatchString(n.ID) {
		return Config{}, fault.InvalidField("id", "%q is no valid name", n.ID)
	}
	sections, err := merge(config.Sections, n)
	if err != nil {
		return Config{}, err
	}
	result := config.WithSections(sections).WithRevision(config.Revision+1, n.ID)
	if err := Check(result); err != nil {
		return Config{}, withNotePath(err, n)
	}
	return result, nil
}

func merge(s Sections, n Note) (Sections, error) {
	var errs [10]error
	a, c, w := n.Added, n.Changed, n.Withdrawn
	s.Domains, errs[0] = mergeMap("domains", s.Domains, a.Domains, c.Domains, w.Domains)
	s.Services, errs[1] = mergeMap("services", s.Services, a.Services, c.Services, w.Services)
	s.Targets, errs[2] = mergeMap("targets", s.Targets, a.Targets, c.Targets, w.Targets)
	s.Pipelines, errs[3] = mergeMap("pipelines", s.Pipelines, a.Pipelines, c.Pipelines, w.Pipelines)
	s.Classes, errs[4] = mergeMap("classes", s.Classes, a.Classes, c.Classes, w.Classes)
	s.Accounts, errs[5] = mergeMap("accounts", s.Accounts, a.Accounts, c.Accounts, w.Accounts)
	s.Objectives, errs[6] = mergeMap("objectives", s.Objectives, a.Objectives, c.Objectives, w.Objectives)
	s.Orders, errs[7] = mergeMap("orders", s.Orders, a.Orders, c.Orders, w.Orders)
	s.Limits, errs[8] = mergeMap("limits", s.Limits, a.Limits, c.Limits, w.Limits)
	s.Routes, errs[9] = mergeMap("routes", s.Routes, a.Routes, c.Routes, w.Routes)
	return s, firstError(errs[:]...)
}

func mergeMap[T any](section string, base, added, changed map[string]T, withdrawn []string) (map[string]T, error) {
	result := maps.Clone(base)
	if result == nil {
		result = map[string]T{}
	}
	for _, name := range slices.Sorted(maps.Keys(added)) {
		if _, ok := base[name]; ok {
			return nil, fault.InvalidField("added."+join(section, name), "exists already")
		}
		if !nameRegexp.MatchString(name) {
			return nil, fault.InvalidField("added."+section, "%q is no valid name", name)
		}
		result[name] = added[name]
	}
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		path := "changed." + join(section, name)
		if _, ok := added[name]; ok {
			return nil, fault.InvalidField(path, "is also added")
		}
		if _, ok := base[name]; !ok {
			return nil, fault.InvalidField(path, "does not exist")
		}
		result[name] = changed[name]
	}
	for i, name := range withdrawn {
		if err := checkWithdrawn(section, name, base, added, changed, withdrawn[:i]); err != nil {
			return nil, err
		}
		delete(result, name)
	}
	if len(result) == 0 {
		return nil, nil
	}
	return result, nil
}

func checkWithdrawn[T any](section, name string, base, added, changed map[string]T, earlier []string) error {
	path := "withdrawn." + join(section, name)
	if _, ok := added[name]; ok {
		return fault.InvalidField(path, "is also added")
	}
	if _, ok := changed[name]; ok {
		return fault.InvalidField(path, "is also changed")
	}
	if slices.Contains(earlier, name) {
		return fault.InvalidField(path, "is withdrawn twice")
	}
	if _, ok := base[name]; !ok {
		return fault.InvalidField(path, "does not exist")
	}
	return nil
}

// withNotePath prefixes the path of an error with the part of the note that
// contains the object, if any does.
func withNotePath(err error, n Note) error {
	var fe *fault.Error
	if !errors.As(err, &fe) {
		return err
	}
	parts := strings.SplitN(fe.Field, ".", 3)
	if len(parts) < 2 {
		return err
	}
	if n.Added.has(parts[0], parts[1]) {
		return fe.WithField("added." + fe.Field)
	}
	if n.Changed.has(parts[0], parts[1]) {
		return fe.WithField("changed." + fe.Field)
	}
	return err
}

// has reports whether the section contains an object with the given name.
func (s Sections) has(section, name string) bool {
	var ok bool
	switch section {
	case "domains":
		_, ok = s.Domains[name]
	case "services":
		_, ok = s.Services[name]
	case "targets":
		_, ok = s.Targets[name]
	case "pipelines":
		_, ok = s.Pipelines[name]
	case "classes":
		_, ok = s.Classes[name]
	case "accounts":
		_, ok = s.Accounts[name]
	case "objectives":
		_, ok = s.Objectives[name]
	case "orders":
		_, ok = s.Orders[name]
	case "limits":
		_, ok = s.Limits[name]
	case "routes":
		_, ok = s.Routes[name]
	}
	return ok
}
