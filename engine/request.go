package engine

import (
	"encoding/json"

	"bergamotworks/note"
)

// CompletionRequest is the body of a generate call to a model engine.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Priority  int    `json:"priority"` // See [Call.Priority]; sent unchanged.
}

// CompletionChunk is one event of a model engine's response.
type CompletionChunk struct {
	ID      string             `json:"id"`
	Choices []CompletionChoice `json:"choices"`
	Usage   *CompletionUsage   `json:"usage,omitempty"`
}

// CompletionChoice is the generated part of a [CompletionChunk].
type CompletionChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"` // Nil until the generation ends.
}

// CompletionUsage is the number of tokens of a call.
type CompletionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// CompletionID returns the identifier of the response to an attempt.
func CompletionID(attempt string) string { return "cmpl-" + attempt }

// body returns the JSON body of the request.
func (c Call) body() []byte {
	if c.Kind == note.Generate {
		return c.completionBody()
	}
	// Only the length of this constant is used, for the capacity of the body.
	const members = `{"input":,"previous":}`
	body := make([]byte, 0, len(c.Input)+len(c.Previous)+len(members)+2*len("null"))
	body = append(body, `{"input":`...)
	body = appendValue(body, c.Input)
	body = append(body, `,"previous":`...)
	body = appendValue(body, c.Previous)
	return append(body, '}')
}

func appendValue(body []byte, value json.RawMessage) []byte {
	if len(value) == 0 {
		return append(body, "null"...)
	}
	return append(body, value...)
}

// completionBody returns the body for a model engine. A resumed call requests the
// remaining tokens only.
func (c Call) completionBody() []byte {
	prompt := c.Prompt
	if prompt == "" {
		prompt = Prompt(c.Input, c.Previous)
	}
	body, _ := json.Marshal(CompletionRequest{ // Encoding strings and numbers never fails.
		Model:     c.Model,
		Prompt:    prompt + c.Resume,
		MaxTokens: c.MaxTokens - c.ResumeTokens,
		Stream:    true,
		Priority:  c.Priority,
	})
	return body
}
