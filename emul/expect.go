package emul

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"bergamotworks/engine"
	"bergamotworks/note"
)

// tokenKinds is the number of different tokens.
const tokenKinds = 36 * 36 * 36

// generator yields the tokens that follow a text. The next token depends on
// all of the text so far, so a resumed text goes on as an undisturbed one.
type generator struct {
	digest *xxhash.Digest
}

func newGenerator(text string) generator {
	g := generator{digest: xxhash.New()}
	g.add(text)
	return g
}

func (g generator) add(text string) {
	_, _ = g.digest.WriteString(text) // A hash takes every text.
}

// next returns the next token and appends it to the text.
func (g generator) next() string {
	token := " " + strconv.FormatUint(g.digest.Sum64()%tokenKinds, 36)
	g.add(token)
	return token
}

// Text returns the given number of tokens that follow a prompt.
func Text(prompt string, tokens int) string {
	g := newGenerator(prompt)
	var text strings.Builder
	for range tokens {
		text.WriteString(g.next())
	}
	return text.String()
}

// Output returns the output of a stage call. MaxTokens matters only where a
// model generates.
func Output(kind note.StageKind, input, previous json.RawMessage, maxTokens int) json.RawMessage {
	if kind == note.Generate {
		return engine.TextOutput(Text(engine.Prompt(input, previous), maxTokens))
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(kind.String())
	_, _ = digest.Write(engine.Canonical(nullable(input)))
	_, _ = digest.WriteString("\n")
	_, _ = digest.Write(engine.Canonical(nullable(previous)))
	return json.RawMessage(fmt.Sprintf(`{"digest":"%016x"}`, digest.Sum64()))
}

func nullable(value json.RawMessage) json.RawMessage {
	if len(value) == 0 {
		return json.RawMessage("null")
	}
	return value
}

// PipelineOutput returns the output of a whole pipeline: each stage gets the input
// of the request and the output of the stage before.
func PipelineOutput(config note.Config, pipeline string, input json.RawMessage) json.RawMessage {
	var previous json.RawMessage
	for _, v := range config.Sections.Pipelines[pipeline].Stages {
		kind := config.Sections.Services[v.Service].Kind
		previous = Output(kind, input, previous, v.MaxTokens)
	}
	return previous
}

// requestMember starts the member of an input that names its request.
const requestMember = `"request":"`

// RequestOf returns the value of the member "request" that a text in JSON
// holds, or a hash of the text if it has none.
func RequestOf(text string) string {
	_, rest, found := strings.Cut(text, requestMember)
	name, _, closed := strings.Cut(rest, `"`)
	if found && closed {
		return name
	}
	return strconv.FormatUint(xxhash.Sum64String(text), 16)
}
