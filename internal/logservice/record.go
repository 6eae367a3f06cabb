package logservice

import "time"

// Offset is the position of a record in its stream, starting at 1.
type Offset uint64

// Record is one entry of a stream, with the offset and the time that the log service assigned to it.
type Record struct {
	Offset  Offset
	Time    time.Time
	Payload []byte
}
