package outbound

import (
	"bytes"
	"io"
	"strconv"
)

const (
	// maxHeadBytes limits how much of a connection is read until the header of a final response is complete, interim responses
	// included.
	maxHeadBytes = 64 << 10
	// maxHeadLines limits the lines of that: decoding a line takes far more memory than its bytes.
	maxHeadLines = 512
)

// HeadTooLargeError reports that an endpoint sent more than a limit without completing the header of a response.
type HeadTooLargeError struct {
	// Limit counts bytes, or lines if Lines is set.
	Limit int
	Lines bool
}

// Error implements error.
func (e *HeadTooLargeError) Error() string {
	unit := " bytes"
	if e.Lines {
		unit = " lines"
	}
	return "no complete response header within " + strconv.Itoa(e.Limit) + unit
}

// headLimiter limits what is read while a response header is awaited; http.ReadResponse has no limit of its own.
type headLimiter struct {
	reader io.Reader
	// limited is set while a header is awaited; bytesLeft and linesLeft are what may still be read then.
	limited   bool
	bytesLeft int
	linesLeft int
	// onRead, unless it is nil, is called with the bytes read so far; its errors end the header.
	onRead func(bytes int) error
}

func (l *headLimiter) limit(onRead func(bytes int) error) {
	l.limited, l.onRead = true, onRead
	l.bytesLeft, l.linesLeft = maxHeadBytes, maxHeadLines
}

func (l *headLimiter) unlimit() { l.limited = false }

// Read implements io.Reader; it fails with HeadTooLargeError and the errors of onRead.
func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.limited {
		return l.reader.Read(b)
	}
	// The last bytes read may be those of a body, which has lines of any length; they do not count unless more is read.
	if l.linesLeft < 0 {
		return 0, &HeadTooLargeError{Limit: maxHeadLines, Lines: true}
	}
	if l.bytesLeft == 0 {
		return 0, &HeadTooLargeError{Limit: maxHeadBytes}
	}
	n, err := l.reader.Read(b[:min(len(b), l.bytesLeft)])
	l.bytesLeft -= n
	l.linesLeft -= bytes.Count(b[:n], []byte{'\n'})
	if err == nil && l.onRead != nil {
		err = l.onRead(maxHeadBytes - l.bytesLeft)
	}
	return n, err
}
