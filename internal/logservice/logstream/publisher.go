package logstream

import (
	"strconv"

	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

// Publisher is a watermill publisher whose topics are log streams.
type Publisher struct {
	log logservice.Log
}

// NewPublisher returns a publisher that appends to log.
func NewPublisher(log logservice.Log) *Publisher {
	return &Publisher{
		log: log,
	}
}

// Publish appends the messages one by one and sets the offset in the metadata of each; it stops at the first error.
func (p *Publisher) Publish(topic string, messages ...*message.Message) error {
	for _, msg := range messages {
		offset, err := p.log.Append(msg.Context(), topic, msg.Payload)
		if err != nil {
			return err
		}
		msg.Metadata.Set(OffsetKey, strconv.FormatUint(uint64(offset), 10))
	}
	return nil
}

// Close implements message.Publisher.
func (p *Publisher) Close() error { return nil }
