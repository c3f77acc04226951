package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"bergamotworks/fault"
)

// Header is one header field of a message.
type Header struct {
	Name  string
	Value string
}

// Headers are the header fields of a message in the order of the message.
type Headers []Header

// Get returns the value of the first field with the name, ignoring case, or "" if
// there is none.
func (h Headers) Get(name string) string {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// Count returns the number of fields with the name, ignoring case.
func (h Headers) Count(name string) int {
	n := 0
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			n++
		}
	}
	return n
}

// containsToken reports whether a field with a comma-separated list contains the
// token, ignoring case.
func (h Headers) containsToken(name, token string) bool {
	for _, f := range h {
		if !strings.EqualFold(f.Name, name) {
			continue
		}
		for _, p := range strings.Split(f.Value, ",") {
			if strings.EqualFold(strings.TrimSpace(p), token) {
				return true
			}
		}
	}
	return false
}

var headerEnd = []byte("\r\n\r\n")

// readHeader returns the start line and the header fields of the next message. The
// size of the reader's buffer bounds their total length. If checkStart is not nil, it is
// called with what has arrived, so that a message that can't be read is not waited for.
func readHeader(r *bufio.Reader, checkStart func(start []byte) error) (string, Headers, error) {
	size := 1
	for {
		buffered, err := peek(r, size)
		if err != nil {
			return "", nil, err
		}
		if checkStart != nil {
			if err := checkStart(buffered); err != nil {
				return "", nil, err
			}
		}
		if at := bytes.Index(buffered, headerEnd); at >= 0 {
			text := string(buffered[:at])
			_, _ = r.Discard(at + len(headerEnd)) // Never fails for what is buffered.
			return parseHeader(text)
		}
		size = r.Buffered() + 1
	}
}

// peek waits until size bytes have arrived and returns all that have, without reading them.
func peek(r *bufio.Reader, size int) ([]byte, error) {
	_, err := r.Peek(size)
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, headerTooLarge()
	case err != nil:
		return nil, err
	}
	return r.Peek(r.Buffered()) // Never fails for what is buffered.
}

// messageError is the error of a message that can't be read. What it means for the request
// depends on whether that is the message: see [rejected].
type messageError struct {
	kind fault.Kind
	text string
}

func (e *messageError) Error() string { return e.text }

func headerTooLarge() error {
	return &messageError{kind: fault.TooLarge, text: "the message head is longer than the limit"}
}

func malformed(format string, args ...any) error {
	return &messageError{kind: fault.Invalid, text: fmt.Sprintf(format, args...)}
}

// rejected returns the *fault.Error for a request that can't be read, and any other error
// unchanged.
func rejected(err error) error {
	var e *messageError
	switch {
	case !errors.As(err, &e):
		return err
	case e.kind == fault.Invalid:
		return fault.InvalidField("head", "%s", e.text)
	}
	return fault.New(e.kind, fault.NotRun, "%s", e.text)
}

func parseHeader(text string) (string, Headers, error) {
	first, rest, _ := strings.Cut(text, "\r\n")
	if !withoutControls(first) {
		return "", nil, malformed("control characters in the first line")
	}
	headers := make(Headers, 0, strings.Count(rest, "\r\n")+1)
	for rest != "" {
		var line string
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return "", nil, malformed("a header line without a name")
		}
		value = strings.Trim(value, " \t")
		if !withoutControls(value) {
			return "", nil, malformed("control characters in header %s", name)
		}
		headers = append(headers, Header{Name: name, Value: value})
	}
	return first, headers, nil
}

// withoutControls reports whether the text has no control characters other than tabs.
func withoutControls(text string) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether the text is a valid name of a header field or method.
func isToken(text string) bool {
	if text == "" {
		return false
	}
	for i := range len(text) {
		c := text[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return true
}

// Values of a body's length that are not a number of bytes.
const (
	chunked    = -1 // The body has the chunked transfer coding.
	untilClose = -2 // The body ends when the connection is closed.
)

// bodyLength returns the length of the body in bytes, or chunked, or the fallback
// if the header does not specify a length. The fallback is 0 for a request and
// untilClose for a response.
func (h Headers) bodyLength(fallback int64) (int64, error) {
	lengths := h.Count("Content-Length")
	codings := h.Count("Transfer-Encoding")
	switch {
	case codings > 1 || lengths > 1 || codings+lengths > 1:
		return 0, malformed("more than one statement of the body's length")
	case codings == 1:
		if !strings.EqualFold(h.Get("Transfer-Encoding"), "chunked") {
			return 0, malformed("transfer coding %q", h.Get("Transfer-Encoding"))
		}
		return chunked, nil
	case lengths == 1:
		return parseLength(h.Get("Content-Length"))
	}
	return fallback, nil
}

func parseLength(text string) (int64, error) {
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return 0, malformed("content length %q", text)
		}
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, malformed("content length %q", text)
	}
	return n, nil
}
