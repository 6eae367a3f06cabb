package origin

import (
	"encoding/binary"
	"time"
)

const (
	keyBytes = 8
	// maxBatchKeys limits the streams in one batch, maxRecordBytes what is put into a record of the log beyond its first batch.
	maxBatchKeys   = 1 << 12
	maxRecordBytes = maxBatchKeys * keyBytes
)

// Batch names streams that runners of one release began.
type Batch struct {
	Service string
	Release string
	// At is the Unix time of the newest one, in milliseconds.
	At int64
	// Keys holds eight bytes for each stream.
	Keys []byte
}

func (b Batch) origin() begun {
	return begun{
		service: b.Service,
		release: b.Release,
	}
}

func (b Batch) keys() []key {
	keys := make([]key, 0, len(b.Keys)/keyBytes)
	for rest := b.Keys; len(rest) >= keyBytes; rest = rest[keyBytes:] {
		keys = append(keys, key(binary.BigEndian.Uint64(rest)))
	}
	return keys
}

// newerThan returns the batches since a time.
func newerThan(batches []Batch, since time.Time) []Batch {
	var newer []Batch
	for _, batch := range batches {
		if batch.At >= since.UnixMilli() {
			newer = append(newer, batch)
		}
	}
	return newer
}

// join joins the batches of each release whose newest streams began in the same second.
func join(batches []Batch) []Batch {
	joined := make(map[int64]pending)
	newest := make(map[int64]int64)
	for _, batch := range batches {
		second := batch.At / time.Second.Milliseconds()
		if joined[second] == nil {
			joined[second] = make(pending)
		}
		joined[second].add(batch.origin(), batch.keys()...)
		newest[second] = max(newest[second], batch.At)
	}
	var result []Batch
	for second, streams := range joined {
		result = append(result, streams.batches(newest[second])...)
	}
	return result
}

// fitRecord returns how many of the first batches go into one record or one message to another VM, at least one.
func fitRecord(batches []Batch) int {
	size := 0
	for i, batch := range batches {
		size += len(batch.Service) + len(batch.Release) + len(batch.Keys)
		if i > 0 && size > maxRecordBytes {
			return i
		}
	}
	return len(batches)
}

// pending collects the streams that are to be reported.
type pending map[begun][]byte

func (p pending) add(b begun, keys ...key) {
	for _, k := range keys {
		p[b] = binary.BigEndian.AppendUint64(p[b], uint64(k))
	}
}

// batches returns what was collected, at most maxBatchKeys streams in a batch.
func (p pending) batches(at int64) []Batch {
	var batches []Batch
	for b, keys := range p {
		for len(keys) > 0 {
			n := min(len(keys), maxBatchKeys*keyBytes)
			batches = append(batches, Batch{
				Service: b.service,
				Release: b.release,
				At:      at,
				Keys:    keys[:n],
			})
			keys = keys[n:]
		}
	}
	return batches
}
