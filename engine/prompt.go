package engine

import (
	"bytes"
	"encoding/json"
)

// Prompt returns the prompt of a generate stage: the input of the request
// followed by the output of the previous stage. A JSON string is replaced by its
// text, and any other value by its [Canonical] form. The input comes first, so
// that requests about the same document share a prefix.
func Prompt(input, previous json.RawMessage) string {
	if len(previous) == 0 {
		return text(input)
	}
	return text(input) + "\n" + text(previous)
}

func text(value json.RawMessage) string {
	var s string
	if json.Unmarshal(value, &s) == nil {
		return s
	}
	return string(Canonical(value))
}

// Canonical returns the value with sorted members and without optional white space
// or escapes, so that encodings that differ only in these become equal. Numbers
// keep their text, so 1 and 1.0 stay different. A value that does not start with
// valid JSON is returned unchanged; data after the first JSON value is dropped.
func Canonical(value json.RawMessage) json.RawMessage {
	if len(value) == 0 {
		return value
	}
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.UseNumber()
	var decoded any
	if decoder.Decode(&decoded) != nil {
		return value
	}
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if encoder.Encode(decoded) != nil {
		return value
	}
	return bytes.TrimSuffix(buffer.Bytes(), []byte("\n"))
}
