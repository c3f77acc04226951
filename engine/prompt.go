package engine

import (
	"bytes"
	"encoding/json"
)

// Prompt returns the prompt of a generate stage: the input of the request
// followed by the output of the stage before. A JSON string stands for its
// text, any other value for its [Canonical] form. The input comes first, so
// that requests about one document share a prefix.
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

// Canonical returns the value with sorted members and without optional space
// or escapes, so that two encodings of one value become equal. A text that is
// not JSON is returned as it is.
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
