package note

import (
	"fmt"

	"bergamotworks/fault"
)

func (s Sections) checkPipeline(path string, p Pipeline) error {
	if err := firstError(
		checkReference(join(path, "class"), "class", p.Class, s.Classes),
		checkRange(join(path, "deadline_ms"), p.TimeoutMS, 1, maxDeadlineMS),
		checkRange(join(path, "stages"), len(p.Stages), 1, maxStages),
	); err != nil {
		return err
	}
	names := map[string]bool{}
	for i, stage := range p.Stages {
		stagePath := fmt.Sprintf("%s.stages[%d]", path, i)
		if err := s.checkStage(stagePath, stage); err != nil {
			return err
		}
		if names[stage.Name] {
			return fault.InvalidField(join(stagePath, "name"), "%q is the name of an earlier stage", stage.Name)
		}
		names[stage.Name] = true
	}
	return nil
}

func (s Sections) checkStage(path string, stage Stage) error {
	if !nameRegexp.MatchString(stage.Name) {
		return fault.InvalidField(join(path, "name"), "%q is no valid name", stage.Name)
	}
	if err := checkReference(join(path, "service"), "service", stage.Service, s.Services); err != nil {
		return err
	}
	if s.Services[stage.Service].Batch != nil {
		return fault.InvalidField(join(path, "service"), "service %q works on pieces only", stage.Service)
	}
	if s.Services[stage.Service].Kind == Generate {
		return checkRange(join(path, "max_tokens"), stage.MaxTokens, 1, maxTokens)
	}
	if stage.MaxTokens != 0 {
		return fault.InvalidField(join(path, "max_tokens"), "only for a generate service")
	}
	return nil
}

func (s Sections) checkObjective(path string, o Objective) error {
	if (o.Pipeline == "") == (o.Class == "") {
		return fault.InvalidField(path, "name either a pipeline or a class")
	}
	if o.Pipeline != "" {
		if err := checkReference(join(path, "pipeline"), "pipeline", o.Pipeline, s.Pipelines); err != nil {
			return err
		}
	}
	if o.Class != "" {
		if err := checkReference(join(path, "class"), "class", o.Class, s.Classes); err != nil {
			return err
		}
	}
	if o.Attainment <= 0 || o.Attainment >= 1 {
		return fault.InvalidField(join(path, "attainment"), "must be above 0 and below 1")
	}
	return checkRange(join(path, "latency_ms"), o.LatencyMS, 0, maxDeadlineMS)
}

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

// checkLimits checks the limits of the system; zero means the default.
func checkLimits(path string, l Limits) error {
	if path != join("limits", systemLimits) {
		return fault.InvalidField(path, "the only name is %q", systemLimits)
	}
	return firstError(
		checkZeroOrRange(join(path, "max_body_bytes"), l.MaxBodyBytes, minBodyBytes, maxBodyBytes),
		checkZeroOrRange(join(path, "retention_ms"), l.RetentionMS, minRetentionMS, maxRetentionMS),
		checkZeroOrRange(join(path, "clock_skew_ms"), l.ClockSkewMS, 1, maxClockSkewMS),
		checkZeroOrRange(join(path, "retry_share"), l.RetryRatio, 0, 1),
		checkZeroOrRange(join(path, "store_calls_per_second"), l.StoreCallsPerSecond, 1, maxStoreCalls),
		checkZeroOrRange(join(path, "ledger_shards"), l.LedgerShards, 1, maxLedgerShards),
		checkZeroOrRange(join(path, "weight_loads_per_minute"), l.WeightLoadsPerMinute, 1, maxWeightLoads),
	)
}

func checkZeroOrRange[T int | int64 | float64](path string, value, low, high T) error {
	if value == 0 {
		return nil
	}
	return checkRange(path, value, low, high)
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
