package trial

import "bergamotworks/emul"

// Property is something that must hold, with what was counted.
type Property struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Limit float64 `json:"limit"` // The largest value that passes.
	Pass  bool    `json:"pass"`
}

// The limits of the properties.
const (
	maxPoisonCrashes   = 2
	maxInternalRetries = 0.1
)

func property(name string, value, limit float64) Property {
	return Property{Name: name, Value: value, Limit: limit, Pass: value <= limit}
}

// verdict returns the word for tables.
func (p Property) verdict() string {
	if p.Pass {
		return "pass"
	}
	return "FAIL"
}

// properties judges the run.
func (e *experiment) properties(records []record, a *accounting, targets emul.Snapshot) []Property {
	wrong := 0
	for _, v := range records {
		if v.wrong {
			wrong++
		}
	}
	list := []Property{
		property("work beyond the cold limit", float64(targets.Total.BeyondColdLimit), 0),
		property("work on a departed domain after 3 s", float64(targets.Total.AfterDrain), 0),
		property("double runs of non-idempotent stages", float64(a.doubles), 0),
		property("attempts sent twice", float64(targets.Total.RepeatedAttempts), 0),
		property("false not run", float64(a.falsely), 0),
		property("orders that ran but were called not run at last", float64(a.denied), 0),
		property("wrong, incomplete or crossed answers", float64(wrong), 0),
		property("crashes by overload", float64(targets.Total.OverloadCrashes), 0),
		property("crashes by a poison request", float64(targets.Total.PoisonCrashes), maxPoisonCrashes),
		property("internal retries per first attempt", a.retryShare(), maxInternalRetries),
	}
	if len(e.operator.races) > 0 {
		list = append(list, property("operator races without exactly one winner in force", e.badRaces(), 0))
	}
	return list
}

func (e *experiment) badRaces() float64 {
	bad := 0
	for _, v := range e.operator.races {
		if v.accepted != 1 || !v.inForce {
			bad++
		}
	}
	return float64(bad)
}
