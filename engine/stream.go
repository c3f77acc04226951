package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"

	"github.com/valyala/fasthttp"

	"bergamotworks/fault"
	"bergamotworks/wire"
)

// doneEvent ends the stream of a model engine.
const doneEvent = "[DONE]"

// errAfterDone means that a stream went on after its end.
var errAfterDone = errors.New("the stream goes on after its end")

// stream reads the server-sent events of a model engine.
func (a *attempt) stream(response *fasthttp.Response, onChunk func(Chunk)) (Response, *Failure) {
	response.StreamBody = true
	if err := response.ReadBody(a.conn.Reader, 0); err != nil {
		return Response{}, a.lost(err)
	}
	s := completion{attempt: a, onChunk: onChunk, position: a.call.ResumeTokens}
	s.text.WriteString(a.call.Resume)
	failure := s.read(bufio.NewReaderSize(response.BodyStream(), wire.ConnBufferBytes))
	if failure == nil {
		failure = s.complete()
	}
	answer := s.answer()
	if failure == nil {
		answer.Output = TextOutput(answer.Text)
	}
	return answer, failure
}

// completion gathers the chunks of one answer.
type completion struct {
	attempt  *attempt
	onChunk  func(Chunk)
	text     strings.Builder
	position int
	answered Response
	begun    bool
	finished bool
	done     bool
	usage    *CompletionUsage
}

// read reads events up to the end of the body.
func (c *completion) read(lines *bufio.Reader) *Failure {
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return c.attempt.lost(err)
		}
		if failure := c.line(bytes.TrimSpace(line)); failure != nil {
			return failure
		}
		if err != nil {
			return nil
		}
		c.attempt.wait(c.attempt.client.progressTimeout())
	}
}

// line takes one line of the event stream. Comments and other fields are skipped.
func (c *completion) line(line []byte) *Failure {
	data, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return nil
	}
	data = bytes.TrimSpace(data)
	if c.done {
		return c.corrupt(errAfterDone)
	}
	if string(data) == doneEvent {
		c.done = true
		return nil
	}
	var chunk CompletionChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return c.corrupt(err)
	}
	return c.chunk(chunk)
}

// chunk takes one event.
func (c *completion) chunk(chunk CompletionChunk) *Failure {
	a := c.attempt
	if chunk.ID != CompletionID(a.call.Attempt) {
		return failed(Corrupt, fault.TargetFailed, "the chunk belongs to %q", chunk.ID)
	}
	if chunk.Usage != nil {
		c.usage = chunk.Usage
	}
	for _, v := range chunk.Choices {
		c.choice(v)
	}
	return nil
}

func (c *completion) choice(choice CompletionChoice) {
	if choice.Text != "" {
		c.add(choice.Text)
	}
	if choice.FinishReason != nil {
		c.finished = true
	}
}

// add appends a token and passes it on.
func (c *completion) add(text string) {
	if !c.begun {
		c.begun = true
		c.answered.FirstToken = c.attempt.client.Clock.Now().Sub(c.attempt.started)
	}
	c.text.WriteString(text)
	if c.onChunk != nil {
		c.onChunk(Chunk{Position: c.position, Text: text})
	}
	c.position++
}

// complete checks that the stream reached its end and lost no chunk.
func (c *completion) complete() *Failure {
	if !c.done {
		return c.attempt.lost(io.ErrUnexpectedEOF)
	}
	if !c.finished {
		return failed(Corrupt, fault.TargetFailed, "the stream has no finish reason")
	}
	received := c.position - c.attempt.call.ResumeTokens
	if c.usage != nil && c.usage.CompletionTokens < received {
		return failed(Corrupt, fault.TargetFailed, "%d tokens received, %d generated", received, c.usage.CompletionTokens)
	}
	return nil
}

func (c *completion) corrupt(err error) *Failure {
	return failed(Corrupt, fault.TargetFailed, "stream of %s: %s", c.attempt.call.Target, err)
}

// answer returns what has been received so far.
func (c *completion) answer() Response {
	c.answered.Text = c.text.String()
	c.answered.Tokens = c.position
	return c.answered
}
