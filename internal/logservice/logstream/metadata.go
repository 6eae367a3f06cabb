package logstream

import (
	"strconv"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

// The metadata keys of messages of a log stream.
const (
	OffsetKey = "Offset"
	TimeKey   = "Time"
)

// MetadataError reports a message without valid log metadata.
type MetadataError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *MetadataError) Error() string { return "message metadata " + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *MetadataError) Unwrap() error { return e.Cause }

// Record returns the log record in a message, or MetadataError.
func Record(msg *message.Message) (logservice.Record, error) {
	offset, err := strconv.ParseUint(msg.Metadata.Get(OffsetKey), 10, 64)
	if err != nil {
		return logservice.Record{}, &MetadataError{Key: OffsetKey, Cause: err}
	}
	nanos, err := strconv.ParseInt(msg.Metadata.Get(TimeKey), 10, 64)
	if err != nil {
		return logservice.Record{}, &MetadataError{Key: TimeKey, Cause: err}
	}
	return logservice.Record{
		Offset:  logservice.Offset(offset),
		Time:    time.Unix(0, nanos),
		Payload: msg.Payload,
	}, nil
}

func setMetadata(msg *message.Message, record logservice.Record) {
	msg.Metadata.Set(OffsetKey, strconv.FormatUint(uint64(record.Offset), 10))
	msg.Metadata.Set(TimeKey, strconv.FormatInt(record.Time.UnixNano(), 10))
}
