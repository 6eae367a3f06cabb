package httpendpoint

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"sync"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
)

const (
	readBufferBytes = 4 << 10
	maxBodyBytes    = 16 << 20
)

var (
	doneMarker         = []byte("data: [DONE]")
	dataPrefix         = []byte("data:")
	finishReasonMarker = []byte(`"finish_reason":"`)
	errorMarker        = []byte(`data: {"error"`)

	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}
)

// answer implements endpoint.Answer on the body of an HTTP response.
type answer struct {
	requestID   string
	idField     []byte
	body        io.ReadCloser
	reader      *bufio.Reader
	eventBuffer []byte
	done        bool
}

func newAnswer(g endpoint.Generation, body io.ReadCloser) *answer {
	reader := readerPool.Get().(*bufio.Reader)
	reader.Reset(body)
	return &answer{
		requestID: g.RequestID,
		idField:   []byte(`"id":"` + g.RequestID + `"`),
		body:      body,
		reader:    reader,
	}
}

// Next implements endpoint.Answer. The returned event includes the blank line that ends it.
func (a *answer) Next() (endpoint.Event, error) {
	if a.done {
		return endpoint.Event{}, io.EOF
	}
	a.eventBuffer = a.eventBuffer[:0]
	for {
		line, err := a.reader.ReadSlice('\n')
		a.eventBuffer = append(a.eventBuffer, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return endpoint.Event{}, &endpoint.TruncatedError{Cause: err}
		}
		if len(line) > 1 || !bytes.HasSuffix(a.eventBuffer, []byte("\n\n")) {
			continue
		}
		return a.parseEvent()
	}
}

// parseEvent returns the buffered event after checking that it belongs to this call.
func (a *answer) parseEvent() (endpoint.Event, error) {
	if bytes.HasPrefix(a.eventBuffer, doneMarker) {
		a.done = true
		return endpoint.Event{}, io.EOF
	}
	if bytes.HasPrefix(a.eventBuffer, errorMarker) {
		return endpoint.Event{}, &endpoint.TruncatedError{Cause: &endpoint.StatusError{Body: bytes.Clone(a.eventBuffer)}}
	}
	if bytes.HasPrefix(a.eventBuffer, dataPrefix) && !bytes.Contains(a.eventBuffer, a.idField) {
		return endpoint.Event{}, &endpoint.RequestIDMismatchError{Want: a.requestID, Got: string(a.eventBuffer)}
	}
	return endpoint.Event{
		Data:  a.eventBuffer,
		Final: bytes.Contains(a.eventBuffer, finishReasonMarker),
	}, nil
}

// Whole implements endpoint.Answer.
func (a *answer) Whole() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.reader, maxBodyBytes))
	if err != nil {
		return nil, &endpoint.TruncatedError{Cause: err}
	}
	if !bytes.Contains(body, a.idField) {
		return nil, &endpoint.RequestIDMismatchError{Want: a.requestID, Got: string(body)}
	}
	return body, nil
}

// Close closes the response body, which cancels an incomplete answer at the engine.
func (a *answer) Close() error {
	err := a.body.Close()
	if a.reader != nil {
		a.reader.Reset(nil)
		readerPool.Put(a.reader)
		a.reader = nil
	}
	return err
}
