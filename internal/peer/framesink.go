package peer

import (
	"bytes"
	"context"

	"github.com/cowsliparch/cowsliparch/internal/framelink"
)

// frameSink sends an answer to the peer that forwarded the call.
type frameSink struct {
	ctx  context.Context
	id   uint64
	conn *framelink.Link[frame]
}

// Event implements modelcall.Sink.
func (s *frameSink) Event(event []byte) error { return s.send(event, false) }

// Body implements modelcall.Sink.
func (s *frameSink) Body(body []byte) error { return s.send(body, true) }

// Done implements modelcall.Sink; the answerEnd frame that follows marks the answer as complete.
func (s *frameSink) Done() error { return nil }

func (s *frameSink) send(data []byte, final bool) error {
	return s.conn.Send(s.ctx, frame{
		ID: s.id,
		Event: &answerChunk{
			Data:  bytes.Clone(data),
			Final: final,
		},
	})
}
