package wire

import "strconv"

// statusLine is the start of a status line, without the text after the status.
const statusLine = "HTTP/1.1 200"

// Offsets in a status line.
const (
	minorVersionAt = len("HTTP/1.")
	statusAt       = len("HTTP/1.1 ")
)

// checkStatusLine returns an error if no response that can be read begins with the given
// bytes, which may be the start of a status line only. The status is from 100 to 599.
func checkStatusLine(start []byte) error {
	for i, c := range start[:min(len(start), len(statusLine)+1)] {
		valid := false
		switch {
		case i == minorVersionAt:
			valid = isDigit(c)
		case i < statusAt:
			valid = c == statusLine[i]
		case i == statusAt:
			valid = c >= '1' && c <= '5'
		case i < len(statusLine):
			valid = isDigit(c)
		default:
			valid = c == ' ' || c == '\r'
		}
		if !valid {
			return malformed("the status line")
		}
	}
	return nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// parseStatus returns the status of a whole status line that checkStatusLine accepts.
func parseStatus(line string) (int, error) {
	return strconv.Atoi(line[statusAt:len(statusLine)])
}

// AwaitStatusLine waits for the status line of a response, and fails if what arrives is
// none that can be read. It leaves the response to be read.
func (c *Conn) AwaitStatusLine() error {
	for size := 1; size <= len(statusLine); size = c.Reader.Buffered() + 1 {
		buffered, err := peek(c.Reader, size)
		if err != nil {
			return err
		}
		if err := checkStatusLine(buffered); err != nil {
			return err
		}
	}
	return nil
}
