package relay

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bergamotworks/place"
	"bergamotworks/wire"
)

const headerRetryAfter = "Retry-After"

// notice returns what a target says of itself in the header of a response received at
// now. With an error, the target has asked to wait for a time that cannot be read, and
// the rest of the notice is valid.
func (n HeaderNames) notice(now time.Time, status int, headers wire.Headers) (place.Notice, error) {
	var notice place.Notice
	if leaving := headers.Get(n.Leaving); leaving != "" && leaving != "0" {
		notice.Leaving = true
	}
	text := headers.Get(headerRetryAfter)
	if status != http.StatusServiceUnavailable || text == "" {
		return notice, nil
	}
	wait, err := parseRetryAfter(now, text)
	notice.Wait = wait
	return notice, err
}

// parseRetryAfter returns the time that a Retry-After field states, as a decimal number
// of seconds or as an HTTP date, from 0 to place.MaxWait.
func parseRetryAfter(now time.Time, text string) (time.Duration, error) {
	if date, err := http.ParseTime(text); err == nil {
		return min(max(0, date.Sub(now)), place.MaxWait), nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || strings.Trim(text, "0123456789.") != "" {
		return 0, fmt.Errorf("%q is neither a number of seconds nor a date", text)
	}
	return time.Duration(min(seconds, place.MaxWait.Seconds()) * float64(time.Second)), nil
}
