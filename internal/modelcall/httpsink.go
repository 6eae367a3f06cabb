package modelcall

import (
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
)

var doneEvent = []byte("data: [DONE]\n\n")

// httpSink writes an answer to the caller's HTTP response.
type httpSink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	clock      clockwork.Clock
	timeout    time.Duration
	requestID  string
	started    bool
}

func newHTTPSink(w http.ResponseWriter, clock clockwork.Clock, timeout time.Duration, requestID string) *httpSink {
	return &httpSink{
		writer:     w,
		controller: http.NewResponseController(w),
		clock:      clock,
		timeout:    timeout,
		requestID:  requestID,
	}
}

// Event implements Sink.
func (s *httpSink) Event(event []byte) error {
	if !s.started {
		s.writeHeader("text/event-stream")
	}
	return s.write(event)
}

// Body implements Sink.
func (s *httpSink) Body(body []byte) error {
	s.writeHeader("application/json")
	return s.write(body)
}

// Done implements Sink.
func (s *httpSink) Done() error { return s.Event(doneEvent) }

func (s *httpSink) writeHeader(contentType string) {
	s.started = true
	s.writer.Header().Set("Content-Type", contentType)
	s.writer.Header().Set("X-Request-Id", s.requestID)
	s.writer.WriteHeader(http.StatusOK)
}

func (s *httpSink) write(p []byte) error {
	if err := s.controller.SetWriteDeadline(s.clock.Now().Add(s.timeout)); err != nil {
		return err
	}
	if _, err := s.writer.Write(p); err != nil {
		return err
	}
	return s.controller.Flush()
}
