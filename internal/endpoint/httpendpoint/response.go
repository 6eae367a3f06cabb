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

// response implements endpoint.Response on the body of an HTTP response.
type response struct {
	requestID   string
	idField     []byte
	body        io.ReadCloser
	reader      *bufio.Reader
	eventBuffer []byte
	done        bool
}

func newResponse(g endpoint.GenerateRequest, body io.ReadCloser) *response {
	reader := readerPool.Get().(*bufio.Reader)
	reader.Reset(body)
	return &response{
		requestID: g.RequestID,
		idField:   []byte(`"id":"` + g.RequestID + `"`),
		body:      body,
		reader:    reader,
	}
}

// Next implements endpoint.Response. The returned event includes the blank line that ends it.
func (r *response) Next() (endpoint.Event, error) {
	if r.done {
		return endpoint.Event{}, io.EOF
	}
	r.eventBuffer = r.eventBuffer[:0]
	for {
		line, err := r.reader.ReadSlice('\n')
		r.eventBuffer = append(r.eventBuffer, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return endpoint.Event{}, &endpoint.TruncatedError{Cause: err}
		}
		if len(line) > 1 || !bytes.HasSuffix(r.eventBuffer, []byte("\n\n")) {
			continue
		}
		return r.parseEvent()
	}
}

// parseEvent returns the buffered event after checking that it belongs to this call.
func (r *response) parseEvent() (endpoint.Event, error) {
	if bytes.HasPrefix(r.eventBuffer, doneMarker) {
		r.done = true
		return endpoint.Event{}, io.EOF
	}
	if bytes.HasPrefix(r.eventBuffer, errorMarker) {
		return endpoint.Event{}, &endpoint.TruncatedError{Cause: &endpoint.StatusError{Body: bytes.Clone(r.eventBuffer)}}
	}
	if bytes.HasPrefix(r.eventBuffer, dataPrefix) && !bytes.Contains(r.eventBuffer, r.idField) {
		return endpoint.Event{}, &endpoint.RequestIDMismatchError{Want: r.requestID, Got: string(r.eventBuffer)}
	}
	return endpoint.Event{
		Data:  r.eventBuffer,
		Final: bytes.Contains(r.eventBuffer, finishReasonMarker),
	}, nil
}

// ReadAll implements endpoint.Response.
func (r *response) ReadAll() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.reader, maxBodyBytes))
	if err != nil {
		return nil, &endpoint.TruncatedError{Cause: err}
	}
	if !bytes.Contains(body, r.idField) {
		return nil, &endpoint.RequestIDMismatchError{Want: r.requestID, Got: string(body)}
	}
	return body, nil
}

// Close closes the response body, which cancels an incomplete answer at the engine.
func (r *response) Close() error {
	err := r.body.Close()
	if r.reader != nil {
		r.reader.Reset(nil)
		readerPool.Put(r.reader)
		r.reader = nil
	}
	return err
}
