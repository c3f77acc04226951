package wire

import (
	"bufio"
	"bytes"
	"errors"
	"strconv"
	"strings"

	"bergamotworks/fault"
)

// Header is one header field of a message.
type Header struct {
	Name  string
	Value string
}

// Headers are the header fields of a message in their order.
type Headers []Header

// Get returns the value of the first field with the name, in any case.
func (h Headers) Get(name string) string {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// Count returns the number of fields with the name, in any case.
func (h Headers) Count(name string) int {
	n := 0
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			n++
		}
	}
	return n
}

// lists reports whether a comma-separated field contains the token.
func (h Headers) lists(name, token string) bool {
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

var headEnd = []byte("\r\n\r\n")

// readHead returns the first line and the fields of the next message. The
// reader's buffer bounds its size.
func readHead(r *bufio.Reader) (string, Headers, error) {
	size := 1
	for {
		if _, err := r.Peek(size); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return "", nil, headTooLarge()
			}
			return "", nil, err
		}
		buffered, _ := r.Peek(r.Buffered()) // Never fails for what is buffered.
		if at := bytes.Index(buffered, headEnd); at >= 0 {
			text := string(buffered[:at])
			_, _ = r.Discard(at + len(headEnd)) // Never fails for what is buffered.
			return parseHead(text)
		}
		size = r.Buffered() + 1
	}
}

func headTooLarge() error {
	return fault.New(fault.TooLarge, fault.NotRun, "the message head is longer than the limit")
}

func malformed(format string, args ...any) error {
	return fault.InvalidField("head", format, args...)
}

func parseHead(text string) (string, Headers, error) {
	first, rest, _ := strings.Cut(text, "\r\n")
	if !clean(first) {
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
		if !clean(value) {
			return "", nil, malformed("control characters in header %s", name)
		}
		headers = append(headers, Header{Name: name, Value: value})
	}
	return first, headers, nil
}

// clean reports whether the text has no control characters except tabs.
func clean(text string) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether the text may be the name of a field or a method.
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

// Lengths of a body that are no number of bytes.
const (
	chunked    = -1
	untilClose = -2
)

// bodyLength returns the number of bytes of the body, or chunked, or the
// fallback if the message states no length.
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
