package emul

import (
	"bufio"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"bergamotworks/engine"
)

// The parts of a generation's time.
const (
	prefillShare  = 0.3 // For the prompt; the rest is for the tokens.
	cachedPrefill = 0.2 // Part of the prompt's time that a whole cache hit leaves.
)

// CallTime returns the time of one generation at the usual speed: for a prompt
// of which a share was cached, and for the tokens. An answer of typicalTokens
// to a prompt that was not cached takes the typical time.
func CallTime(typical time.Duration, tokens, typicalTokens int, cached float64) time.Duration {
	return prefillTime(typical, cached) + time.Duration(tokens)*tokenTime(typical, typicalTokens)
}

func prefillTime(typical time.Duration, cached float64) time.Duration {
	return time.Duration(float64(typical) * prefillShare * (1 - cached*(1-cachedPrefill)))
}

func tokenTime(typical time.Duration, typicalTokens int) time.Duration {
	if typicalTokens == 0 {
		typicalTokens = defaultTokens
	}
	return time.Duration(float64(typical) * (1 - prefillShare) / float64(typicalTokens))
}

// completion streams generated tokens.
func (h handler) completion(ctx *fasthttp.RequestCtx) {
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
	s := &streamed{run: r, request: body}
	ctx.SetBodyStreamWriter(s.write)
}

// streamed is one generation in progress.
type streamed struct {
	run     run
	request engine.CompletionRequest
	tokens  int
}

// write generates the answer token by token.
func (s *streamed) write(w *bufio.Writer) {
	whole := s.generate(w)
	s.run.finish(whole, s.tokens)
}

// generate reports whether the whole answer was written.
func (s *streamed) generate(w *bufio.Writer) bool {
	t := s.run.handler.target
	if !s.run.work(prefillTime(t.Service.TypicalLatency(), s.run.cached)) {
		return false
	}
	interval := tokenTime(t.Service.TypicalLatency(), t.TypicalTokens)
	g := newGenerator(s.request.Prompt)
	for s.tokens < s.request.MaxTokens {
		if !s.run.work(interval) || !s.chunk(w, g.next()) {
			return false
		}
	}
	_, err := w.WriteString("data: [DONE]\n\n")
	return err == nil && w.Flush() == nil
}

// chunk writes one token as an event.
func (s *streamed) chunk(w *bufio.Writer, token string) bool {
	s.tokens++
	chunk := engine.CompletionChunk{
		ID:      engine.CompletionID(s.run.attempt),
		Choices: []engine.CompletionChoice{{Text: token}},
	}
	if s.tokens == s.request.MaxTokens {
		reason := "length"
		chunk.Choices[0].FinishReason = &reason
		chunk.Usage = &engine.CompletionUsage{CompletionTokens: s.tokens}
	}
	event, _ := json.Marshal(chunk) // Strings and numbers always encode.
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(event)
	_, _ = w.WriteString("\n\n")
	return w.Flush() == nil
}
