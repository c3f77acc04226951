package emul

import (
	"bufio"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"bergamotworks/engine"
)

// The composition of the time of a generation.
const (
	prefillShare       = 0.3 // Share of the prompt; the rest is for the tokens.
	cachedPrefillShare = 0.2 // Share of the prompt's time that remains if all of it is cached.
)

// CallTime returns the time of a generation at normal speed, given the number of
// tokens and the cached share of the prompt. A response of typicalTokens to an
// uncached prompt takes the typical time.
func CallTime(typical time.Duration, tokens, typicalTokens int, cached float64) time.Duration {
	return prefillTime(typical, cached) + time.Duration(tokens)*tokenTime(typical, typicalTokens)
}

func prefillTime(typical time.Duration, cached float64) time.Duration {
	return time.Duration(float64(typical) * prefillShare * (1 - cached*(1-cachedPrefillShare)))
}

func tokenTime(typical time.Duration, typicalTokens int) time.Duration {
	if typicalTokens == 0 {
		typicalTokens = defaultTokens
	}
	return time.Duration(float64(typical) * (1 - prefillShare) / float64(typicalTokens))
}

// serveCompletion streams generated tokens.
func (h handler) serveCompletion(ctx *fasthttp.RequestCtx) {
	var body engine.CompletionRequest
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	r, ok := h.admit(ctx, body.Prompt)
	if !ok {
		return
	}
	ctx.SetContentType("text/event-stream")
	s := &generation{execution: r, request: body}
	ctx.SetBodyStreamWriter(s.write)
}

// generation is a streamed completion in progress.
type generation struct {
	execution execution
	request   engine.CompletionRequest
	tokens    int
}

// write generates the response and records its end.
func (s *generation) write(w *bufio.Writer) {
	completed := s.generate(w)
	s.execution.finish(completed, s.tokens)
}

// generate writes the tokens and reports whether the response is complete.
func (s *generation) generate(w *bufio.Writer) bool {
	t := s.execution.handler.target
	if !s.execution.simulate(prefillTime(t.Service.TypicalLatency(), s.execution.cached)) {
		return false
	}
	interval := tokenTime(t.Service.TypicalLatency(), t.TypicalTokens)
	g := newGenerator(s.request.Prompt)
	for s.tokens < s.request.MaxTokens {
		if !s.execution.simulate(interval) || !s.writeToken(w, g.next()) {
			return false
		}
	}
	_, err := w.WriteString("data: [DONE]\n\n")
	return err == nil && w.Flush() == nil
}

// writeToken writes one token as an event.
func (s *generation) writeToken(w *bufio.Writer, token string) bool {
	s.tokens++
	chunk := engine.CompletionChunk{
		ID:      engine.CompletionID(s.execution.attempt),
		Choices: []engine.CompletionChoice{{Text: token}},
	}
	if s.tokens == s.request.MaxTokens {
		reason := "length"
		chunk.Choices[0].FinishReason = &reason
		chunk.Usage = &engine.CompletionUsage{CompletionTokens: s.tokens}
	}
	event, _ := json.Marshal(chunk) // Encoding strings and numbers does not fail.
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(event)
	_, _ = w.WriteString("\n\n")
	return w.Flush() == nil
}
