package burn

// CostKey is what costs are summed by: a client account, a pipeline, one of its
// stages and the service of the stage.
type CostKey struct {
	Account  string `json:"account"`
	Pipeline string `json:"pipeline"`
	Stage    string `json:"stage"`
	Service  string `json:"service"`
}

// Cost is the work that targets did. Calls is the number of attempts at stages, and
// TargetSeconds the sum of the times for which targets worked on them. The wasted
// values are the part that did not contribute to a response; the others include
// them.
type Cost struct {
	Calls         uint64  `json:"calls"`
	TargetSeconds float64 `json:"target_seconds"`
	Tokens        uint64  `json:"tokens"`
	WastedCalls   uint64  `json:"wasted_calls"`
	WastedSeconds float64 `json:"wasted_seconds"`
	WastedTokens  uint64  `json:"wasted_tokens"`
}

func (c Cost) plus(o Cost) Cost {
	c.Calls += o.Calls
	c.TargetSeconds += o.TargetSeconds
	c.Tokens += o.Tokens
	c.WastedCalls += o.WastedCalls
	c.WastedSeconds += o.WastedSeconds
	c.WastedTokens += o.WastedTokens
	return c
}

// cost returns the cost of one attempt.
func (s StageCost) cost() Cost {
	c := Cost{Calls: 1, TargetSeconds: s.TargetTime.Seconds(), Tokens: uint64(max(0, s.Tokens))}
	if s.Wasted {
		c.WastedCalls = c.Calls
		c.WastedSeconds = c.TargetSeconds
		c.WastedTokens = c.Tokens
	}
	return c
}
