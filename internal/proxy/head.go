package proxy

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

const (
	// Path is the HTTP path on which a VM takes requests of other VMs.
	Path = "/proxy"
	// contentType marks requests and responses that begin with a head; an error response of the HTTP server has another type.
	contentType = "application/vnd.cowsliparch.proxy"
	// prefixBytes is the size of the length that a head begins with.
	prefixBytes = 4
	// maxHeadBytes limits a head: the headers of a request or response with what describes it.
	maxHeadBytes = 256 << 10
)

// decoding accepts header values that aren't UTF-8, which HTTP allows.
var decoding = newDecoding()

func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// HeadTooLargeError reports a head that exceeds the limit.
type HeadTooLargeError struct {
	Bytes int
	Limit int
}

// Error implements error.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("head of %d bytes exceeds the limit of %d", e.Bytes, e.Limit)
}

// encodeHead returns a head in CBOR after its length. It fails with HeadTooLargeError.
func encodeHead(head any) ([]byte, error) {
	encoded, err := cbor.Marshal(head)
	if err != nil {
		return nil, err
	}
	if len(encoded) > maxHeadBytes {
		return nil, &HeadTooLargeError{
			Bytes: len(encoded),
			Limit: maxHeadBytes,
		}
	}
	b := make([]byte, 0, prefixBytes+len(encoded))
	b = binary.BigEndian.AppendUint32(b, uint32(len(encoded)))
	return append(b, encoded...), nil
}

// readHead reads a head and returns how many bytes it took. It calls onRead, unless that is nil, with their number before it reads them.
// It fails with HeadTooLargeError and the errors of onRead.
func readHead(r io.Reader, head any, onRead func(bytes int) error) (int, error) {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return 0, err
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length > maxHeadBytes {
		return 0, &HeadTooLargeError{
			Bytes: int(length),
			Limit: maxHeadBytes,
		}
	}
	n := prefixBytes + int(length)
	if onRead != nil {
		if err := onRead(n); err != nil {
			return 0, err
		}
	}
	encoded := make([]byte, length)
	if _, err := io.ReadFull(r, encoded); err != nil {
		return 0, err
	}
	return n, decoding.Unmarshal(encoded, head)
}
