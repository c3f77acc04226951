package relay

import (
	"strconv"
	"strings"

	"bergamotworks/place"
)

// maxTokens bounds the number of tokens that a request states.
const maxTokens = 1 << 24

// addWork adds to the criteria what the choice by expected time needs. The mutex of the
// server is held.
func (x *exchange) addWork(c *place.Criteria) {
	s := x.server
	c.ExpectedTime = s.ExpectedTime
	if !c.ExpectedTime && !s.placement.Estimates(x.service) {
		return
	}
	c.Work, c.Nodes, c.Draw, c.LatencyTarget = x.declaredWork(), s.nodeCount(), s.Random.Uint64(), x.route.LatencyTarget
	if inputs := x.inputHandles(); len(inputs) > 0 {
		c.InputDomain, c.InputBytes = x.inputDomain(inputs), x.inputBytes()
	}
	if service, ok := x.config.Service(x.service); ok {
		c.Engine = service.Engine
	}
}

// declaredWork returns the work that the headers of the request declare.
func (x *exchange) declaredWork() place.Work {
	if x.work == nil {
		h, names := x.request.Headers, x.server.Names
		w := parseWork(h.Get(names.PromptParts), h.Get(names.Tokens), h.Get(names.LengthHint))
		x.work = &w
	}
	return *x.work
}

// inputBytes returns the approximate size of the results that the request itself reads.
func (x *exchange) inputBytes() int64 {
	var sum int64
	for _, i := range x.route.FinalStages(x.pieceCounts) {
		sum += int64(x.pieceCounts[i]) * x.route.Stages[i].ResultBytes
	}
	return sum
}

// parseWork returns what a request costs a target by the header fields of the client.
// Absent and malformed figures count as zero. Parts is a list ID:TOKENS,...; other
// requests may share all but the last. Tokens are those of the prompt and the most of the
// response. A length hint above the latter does not count.
func parseWork(parts, tokens, lengthHint string) place.Work {
	var w place.Work
	list := strings.Split(parts, ",")
	last := 0
	for i, part := range list {
		id, count, _ := strings.Cut(strings.TrimSpace(part), ":")
		last = parseTokens(count)
		if i < len(list)-1 {
			w = w.WithPart(id, last)
		}
		w.PromptTokens = min(maxTokens, w.PromptTokens+last)
	}
	prompt, output, _ := strings.Cut(tokens, ",")
	w.PromptTokens = max(w.PromptTokens, parseTokens(prompt))
	w.OutputTokens = parseTokens(output)
	if hint := parseTokens(lengthHint); hint > 0 && (hint < w.OutputTokens || w.OutputTokens == 0) {
		w.OutputTokens = hint
	}
	return w
}

// parseTokens returns a number of tokens, zero if the text is none.
func parseTokens(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return min(n, maxTokens)
}
