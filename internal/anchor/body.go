package anchor

import (
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
)

// Stream is the name of the log stream of anchors, which all failure domains share.
const Stream = "Anchors"

// The record kinds of the stream.
const (
	TakeKind    record.Kind = "Take"
	BarrierKind record.Kind = "Barrier"
)

// Take is the record that moves the anchors of models to a shard that has a replica of each which serves and which no
// open order can unload.
type Take struct {
	Shard string
	// Fence identifies the lease under which the holder of the shard wrote the record.
	Fence logservice.Offset
	// From maps each model to its anchor as the holder knew it, empty for none. Models whose anchor differs are skipped.
	From map[string]string
}

// Barrier is the record that invalidates later takes under older leases of a shard, which previous holders may still
// have in flight.
type Barrier struct {
	Shard string
	Fence logservice.Offset
}

// Snapshot is the record that holds the whole state, which keeps it available when older records are past retention.
type Snapshot struct {
	Through  logservice.Offset
	Anchors  map[string]string
	Barriers map[string]logservice.Offset
}
