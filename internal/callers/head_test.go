package callers

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The end of a head must be found however it is cut, or its body would be counted as head.
func TestHeadEnds(t *testing.T) {
	for _, c := range []struct {
		content string
		bytes   int
		lines   int
		ended   bool
	}{
		{content: "GET / HTTP/1.1\r\na: b\r\n\r\nbody\r\n\r\n", bytes: 24, lines: 3, ended: true},
		{content: "GET / HTTP/1.1\na: b\n\nbody", bytes: 21, lines: 3, ended: true},
		{content: "\r\n\r\nGET / HTTP/1.1\r\n\r\nbody", bytes: 22, lines: 2, ended: true},
		{content: "GET / HTTP/1.1\r\na: b\r\n", bytes: 22, lines: 2},
		{content: "GET / HTTP/1.1\r\n\ra\r\n", bytes: 20, lines: 2},
		{content: strings.Repeat("\r\n", 100), bytes: 200},
	} {
		for size := 1; size <= len(c.content); size++ {
			var s headScanner
			for rest := c.content; rest != ""; rest = rest[min(size, len(rest)):] {
				s.scan([]byte(rest[:min(size, len(rest))]))
			}
			require.Equal(t, c.bytes, s.bytes, "%q in pieces of %d", c.content, size)
			require.Equal(t, c.lines, s.lines, "%q in pieces of %d", c.content, size)
			require.Equal(t, c.ended, s.ended, "%q in pieces of %d", c.content, size)
		}
	}
}
