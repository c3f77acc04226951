package note

import (
	"fmt"

	"bergamotworks/fault"
)

func (s Sections) checkPipeline(path string, p Pipeline) error {
	if err := firstError(
		checkReference(join(path, "class"), "class", p.Class, s.Classes),
		checkRange(join(path, "deadline_ms"), p.TimeoutMS, 1, maxDurationMS),
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
	return checkRange(join(path, "latency_ms"), o.LatencyMS, 0, maxDurationMS)
}
