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

// doneEvent is the data of the last event of a stream.
const doneEvent = "[DONE]"

// errAfterDone is returned for a stream with events after its last one.
var errAfterDone = errors.New("the stream goes on after its end")

// readStream reads the server-sent events of a model engine. With a failure, the
// response holds the text received so far.
func (a *attempt) readStream(response *fasthttp.Response, onChunk func(Chunk)) (Response, *Failure) {
	response.StreamBody = true
	if err := response.ReadBody(a.conn.Reader, 0); err != nil {
		return Response{}, a.connectionFailure(err)
	}
	s := completion{attempt: a, onChunk: onChunk, position: a.call.ResumeTokens}
	s.text.WriteString(a.call.Resume)
	body := &boundedReader{source: response.BodyStream(), remaining: a.client.maxResponseBytes(), budget: &a.client.buffers}
	defer body.release()
	long := wire.Body{Budget: &a.client.buffers, Limit: min(maxLineBytes, a.client.maxResponseBytes())}
	lines := &lineReader{source: bufio.NewReaderSize(body, wire.ConnBufferBytes), long: long}
	defer lines.long.Release()
	failure := s.readEvents(lines)
	if failure == nil {
		failure = s.checkComplete()
	}
	result := s.response()
	if failure == nil {
		result.Output = TextOutput(result.Text)
	}
	return result, failure
}

// errTooLong is returned for a stream that exceeds the size of a response.
var errTooLong = errors.New("the stream is too long")

// boundedReader fails with errTooLong after a number of bytes, or when the budget has
// no room for as many, since what is read is kept. Release returns the memory.
type boundedReader struct {
	source    io.Reader
	remaining int
	budget    *wire.BufferBudget
	taken     int // From the budget.
}

func (r *boundedReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		return 0, errTooLong
	}
	n, err := r.source.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	if !r.budget.Take(n, r.taken+n) {
		return 0, errTooLong
	}
	r.taken += n
	return n, err
}

func (r *boundedReader) release() { r.budget.Return(r.taken) }

// lineReader reads lines. Those that exceed the buffer of the source are kept in reused
// memory, and copied only once they are complete.
type lineReader struct {
	source *bufio.Reader
	long   wire.Body // Of a line that exceeds the buffer.
}

// next calls a function with the next line, which is valid during the call. It returns
// the error of the function, or [io.EOF] after the last line. After other errors there
// is no line.
func (r *lineReader) next(parse func(line []byte) error) error {
	line, err := r.source.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return deliver(line, err, parse)
	}
	defer r.long.Release()
	for errors.Is(err, bufio.ErrBufferFull) {
		if _, err = r.long.Write(line); err != nil {
			return err
		}
		line, err = r.source.ReadSlice('\n')
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if _, err := r.long.Write(line); err != nil {
		return err
	}
	return r.long.Decode(func(line []byte) error { return deliver(line, err, parse) })
}

// deliver calls parse with a line. Err is the error of reading it; the line is valid if that
// is nil or [io.EOF]. It returns the error of parse, if any, and err otherwise.
func deliver(line []byte, err error, parse func(line []byte) error) error {
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if parseErr := parse(line); parseErr != nil {
		return parseErr
	}
	return err
}

// completion collects the text of one streamed response, which starts with the
// resumed text of the call.
type completion struct {
	attempt         *attempt
	onChunk         func(Chunk)
	text            strings.Builder
	position        int // Index of the next token.
	result          Response
	gotToken        bool // This attempt has received a token.
	hasFinishReason bool // A choice had a finish reason.
	gotDone         bool // The doneEvent was received.
	usage           *CompletionUsage
}

// readEvents reads the events up to the end of the body.
func (c *completion) readEvents(lines *lineReader) *Failure {
	for {
		err := lines.next(func(line []byte) error {
			if failure := c.parseLine(bytes.TrimSpace(line)); failure != nil {
				return failure
			}
			return nil
		})
		var failure *Failure
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case errors.As(err, &failure):
			return failure
		case err != nil:
			return c.attempt.connectionFailure(err)
		}
		c.attempt.setDeadline(c.attempt.client.progressTimeout())
	}
}

// parseLine parses one line of the event stream. Lines other than data fields are
// skipped.
func (c *completion) parseLine(line []byte) *Failure {
	data, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return nil
	}
	data = bytes.TrimSpace(data)
	if c.gotDone {
		return c.corrupt(errAfterDone)
	}
	if string(data) == doneEvent {
		c.gotDone = true
		return nil
	}
	var chunk CompletionChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return c.corrupt(err)
	}
	return c.addChunk(chunk)
}

// addChunk adds the choices of one event.
func (c *completion) addChunk(chunk CompletionChunk) *Failure {
	a := c.attempt
	if chunk.ID != CompletionID(a.call.Attempt) {
		return mayHaveRun(Corrupt, fault.TargetFailed, "the chunk belongs to %q", chunk.ID)
	}
	if chunk.Usage != nil {
		c.usage = chunk.Usage
	}
	for _, v := range chunk.Choices {
		c.addChoice(v)
	}
	return nil
}

func (c *completion) addChoice(choice CompletionChoice) {
	if choice.Text != "" {
		c.addToken(choice.Text)
	}
	if choice.FinishReason != nil {
		c.hasFinishReason = true
	}
}

// addToken appends a token to the text and calls onChunk.
func (c *completion) addToken(text string) {
	if !c.gotToken {
		c.gotToken = true
		c.result.FirstToken = c.attempt.client.Clock.Now().Sub(c.attempt.started)
	}
	c.text.WriteString(text)
	if c.onChunk != nil {
		c.onChunk(Chunk{Position: c.position, Text: text})
	}
	c.position++
}

// checkComplete returns a failure if the stream did not reach its end or has more
// tokens than the engine generated.
func (c *completion) checkComplete() *Failure {
	if !c.gotDone {
		return c.attempt.connectionFailure(io.ErrUnexpectedEOF)
	}
	if !c.hasFinishReason {
		return mayHaveRun(Corrupt, fault.TargetFailed, "the stream has no finish reason")
	}
	received := c.position - c.attempt.call.ResumeTokens
	if c.usage != nil && c.usage.CompletionTokens < received {
		return mayHaveRun(Corrupt, fault.TargetFailed, "%d tokens received, %d generated", received, c.usage.CompletionTokens)
	}
	return nil
}

func (c *completion) corrupt(err error) *Failure {
	return mayHaveRun(Corrupt, fault.TargetFailed, "stream of %s: %s", c.attempt.call.Target, err)
}

// response returns the text received so far.
func (c *completion) response() Response {
	c.result.Text = c.text.String()
	c.result.Tokens = c.position
	return c.result
}
