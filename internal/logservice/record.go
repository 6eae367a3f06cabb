package logservice

import "time"

// Offset is the place of a record in its stream, ascending from 1.
type Offset uint64

// Record is one entry of a stream, stamped by the log service.
type Record struct {
	Offset  Offset
	Time    time.Time
	Payload []byte
}
