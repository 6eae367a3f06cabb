package peer

import (
	"bytes"
	"context"

	"github.com/cowsliparch/cowsliparch/internal/framelink"
)

// frameSink sends an answer to the peer that asked for it.
type frameSink struct {
	ctx  context.Context
	call uint64
	conn *framelink.Link[frame]
}

// Event implements modelcall.Sink.
func (s *frameSink) Event(event []byte) error { return s.send(event, false) }

// Whole implements modelcall.Sink.
func (s *frameSink) Whole(body []byte) error { return s.send(body, true) }

// Done implements modelcall.Sink; the end frame that follows marks the answer as whole.
func (s *frameSink) Done() error { return nil }

func (s *frameSink) send(data []byte, final bool) error {
	return s.conn.Send(s.ctx, frame{
		Call: s.call,
		Event: &eventBody{
			Data:  bytes.Clone(data),
			Final: final,
		},
	})
}
