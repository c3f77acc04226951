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

// vocabularySize is the number of different tokens.
const vocabularySize = 36 * 36 * 36

// generator generates the tokens that follow a text. Each token depends on all
// of the text before it, so a resumed generation continues as an uninterrupted
// one would.
type generator struct {
	digest *xxhash.Digest
}

func newGenerator(text string) generator {
	g := generator{digest: xxhash.New()}
	g.add(text)
	return g
}

func (g generator) add(text string) {
	_, _ = g.digest.WriteString(text) // Writing to a hash does not fail.
}

// next returns the next token and appends it to the text.
func (g generator) next() string {
	token := " " + strconv.FormatUint(g.digest.Sum64()%vocabularySize, 36)
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

// Output returns the output of a stage call. maxTokens is used for generate
// stages only.
func Output(kind note.StageKind, input, previous json.RawMessage, maxTokens int) json.RawMessage {
	if kind == note.Generate {
		return engine.TextOutput(Text(engine.Prompt(input, previous), maxTokens))
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(kind.String())
	_, _ = digest.Write(engine.Canonical(orNull(input)))
	_, _ = digest.WriteString("\n")
	_, _ = digest.Write(engine.Canonical(orNull(previous)))
	return json.RawMessage(fmt.Sprintf(`{"digest":"%016x"}`, digest.Sum64()))
}

func orNull(value json.RawMessage) json.RawMessage {
	if len(value) == 0 {
		return json.RawMessage("null")
	}
	return value
}

// PipelineOutput returns the output of a pipeline: each stage receives the
// request's input and the output of the previous stage.
func PipelineOutput(config note.Config, pipeline string, input json.RawMessage) json.RawMessage {
	var previous json.RawMessage
	for _, v := range config.Sections.Pipelines[pipeline].Stages {
		kind := config.Sections.Services[v.Service].Kind
		previous = Output(kind, input, previous, v.MaxTokens)
	}
	return previous
}

// requestMember precedes the name of the request in an input.
const requestMember = `"request":"`

// RequestName returns the name of a request, under which costs are recorded: the
// text between the first `"request":"` and the next quote, or a hash of the whole
// text if it has none. In JSON, the member must be written without a space after
// the colon; it may stand at any depth.
func RequestName(text string) string {
	_, rest, found := strings.Cut(text, requestMember)
	name, _, closed := strings.Cut(rest, `"`)
	if found && closed {
		return name
	}
	return strconv.FormatUint(xxhash.Sum64String(text), 16)
}
