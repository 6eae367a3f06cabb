package anchor

import (
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
)

// Stream is the log stream of anchors, shared by every failure domain.
const Stream = "Anchors"

// The kinds of record of the stream.
const (
	TakeKind    record.Kind = "Take"
	BarrierKind record.Kind = "Barrier"
)

// Take moves the anchors of models to a shard that has a certain replica of each.
type Take struct {
	Shard string
	// Fence is the offset of the lease under which the shard was held.
	Fence logservice.Offset
	// From is the anchor of each model as the taker knows it; empty for none.
	From map[string]string
}

// Barrier voids the takes that former holders of a shard may still have on their way.
type Barrier struct {
	Shard string
	Fence logservice.Offset
}

// Snapshot repeats a folded state, so that it outlives the retention of the records behind it.
type Snapshot struct {
	Through  logservice.Offset
	Anchors  map[string]string
	Barriers map[string]logservice.Offset
}
