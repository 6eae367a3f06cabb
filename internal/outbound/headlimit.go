package outbound

import (
	"io"
	"strconv"
)

// maxHeadBytes limits how much of a connection is read until the header of a final response is complete, interim responses
// included.
const maxHeadBytes = 64 << 10

// HeadTooLargeError reports that an endpoint sent more than the limit without completing the header of a response.
type HeadTooLargeError struct {
	Limit int
}

// Error implements error.
func (e *HeadTooLargeError) Error() string {
	return "no complete response header within " + strconv.Itoa(e.Limit) + " bytes"
}

// headLimiter limits what is read while a response header is awaited; http.ReadResponse has no limit of its own.
type headLimiter struct {
	reader io.Reader
	// remaining is what may still be read, or negative if there is no limit at present.
	remaining int
}

func (l *headLimiter) limit(bytes int) { l.remaining = bytes }

func (l *headLimiter) unlimit() { l.remaining = -1 }

// Read implements io.Reader; it fails with HeadTooLargeError.
func (l *headLimiter) Read(b []byte) (int, error) {
	if l.remaining < 0 {
		return l.reader.Read(b)
	}
	if l.remaining == 0 {
		return 0, &HeadTooLargeError{Limit: maxHeadBytes}
	}
	n, err := l.reader.Read(b[:min(len(b), l.remaining)])
	l.remaining -= n
	return n, err
}
