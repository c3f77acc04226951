package note

import "bergamotworks/fault"

func (s Sections) checkOrder(path string, o EngineOrder) error {
	if !o.Kind.IsAOrderKind() {
		return fault.InvalidField(join(path, "kind"), "unknown kind")
	}
	if o.Subject == "" {
		return fault.InvalidField(join(path, "subject"), "missing")
	}
	if err := checkReference(join(path, "service"), "service", o.Service, s.Services); err != nil {
		return err
	}
	if s.Services[o.Service].Kind != Generate {
		return fault.InvalidField(join(path, "service"), "service %q has no model engines", o.Service)
	}
	if o.Target == "" {
		return nil
	}
	if err := checkReference(join(path, "target"), "target", o.Target, s.Targets); err != nil {
		return err
	}
	if s.Targets[o.Target].Service != o.Service {
		return fault.InvalidField(join(path, "target"), "target %q belongs to another service", o.Target)
	}
	return nil
}

// checkOrderConflicts returns an error if two orders to a common target cannot
// both be in effect.
func (s Sections) checkOrderConflicts() error {
	names := sortedNames(s.Orders)
	for i, name := range names {
		for _, earlier := range names[:i] {
			if s.Orders[earlier].conflictsWith(s.Orders[name]) {
				return fault.InvalidField("orders."+name, "contradicts order %s", earlier)
			}
		}
	}
	return nil
}

// conflictsWith reports whether two orders concern a common target and cannot
// both be in effect there.
func (o EngineOrder) conflictsWith(other EngineOrder) bool {
	if o.Service != other.Service || o.Target != "" && other.Target != "" && o.Target != other.Target {
		return false
	}
	same := o.Subject == other.Subject && o.Version == other.Version
	switch o.Kind {
	case LoadAdapter:
		return other.Kind == UnloadAdapter && same
	case UnloadAdapter:
		return other.Kind == LoadAdapter && same
	case LoadModel, ChangeRole:
		return other.Kind == o.Kind && !same
	}
	return false
}
