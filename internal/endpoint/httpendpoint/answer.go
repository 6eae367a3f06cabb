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
	readBuffer    = 4 << 10
	maxWholeBytes = 16 << 20
)

var (
	doneMark   = []byte("data: [DONE]")
	dataPrefix = []byte("data:")
	finalMark  = []byte(`"finish_reason":"`)
	errorMark  = []byte(`data: {"error"`)

	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}
)

// answer reads one engine's answer.
type answer struct {
	requestID string
	idField   []byte
	body      io.ReadCloser
	reader    *bufio.Reader
	buffer    []byte
	done      bool
}

func newAnswer(g endpoint.Generation, body io.ReadCloser) *answer {
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(body)
	return &answer{
		requestID: g.RequestID,
		idField:   []byte(`"id":"` + g.RequestID + `"`),
		body:      body,
		reader:    reader,
	}
}

// Next implements endpoint.Answer; an event is returned with its closing blank line.
func (a *answer) Next() (endpoint.Event, error) {
	if a.done {
		return endpoint.Event{}, io.EOF
	}
	a.buffer = a.buffer[:0]
	for {
		line, err := a.reader.ReadSlice('\n')
		a.buffer = append(a.buffer, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return endpoint.Event{}, &endpoint.TruncatedError{Cause: err}
		}
		if len(line) > 1 || !bytes.HasSuffix(a.buffer, []byte("\n\n")) {
			continue
		}
		return a.event()
	}
}

// event checks that the buffered event belongs to this call.
func (a *answer) event() (endpoint.Event, error) {
	if bytes.HasPrefix(a.buffer, doneMark) {
		a.done = true
		return endpoint.Event{}, io.EOF
	}
	if bytes.HasPrefix(a.buffer, errorMark) {
		return endpoint.Event{}, &endpoint.TruncatedError{Cause: &endpoint.StatusError{Body: bytes.Clone(a.buffer)}}
	}
	if bytes.HasPrefix(a.buffer, dataPrefix) && !bytes.Contains(a.buffer, a.idField) {
		return endpoint.Event{}, &endpoint.ForeignError{Want: a.requestID, Got: string(a.buffer)}
	}
	return endpoint.Event{
		Data:  a.buffer,
		Final: bytes.Contains(a.buffer, finalMark),
	}, nil
}

// Whole implements endpoint.Answer.
func (a *answer) Whole() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.reader, maxWholeBytes))
	if err != nil {
		return nil, &endpoint.TruncatedError{Cause: err}
	}
	if !bytes.Contains(body, a.idField) {
		return nil, &endpoint.ForeignError{Want: a.requestID, Got: string(body)}
	}
	return body, nil
}

// Close ends the answer; an answer not yet whole is cancelled at the engine.
func (a *answer) Close() error {
	err := a.body.Close()
	if a.reader != nil {
		a.reader.Reset(nil)
		readers.Put(a.reader)
		a.reader = nil
	}
	return err
}
