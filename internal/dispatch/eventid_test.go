package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFollows(t *testing.T) {
	for _, tt := range []struct {
		last string
		id   string
		want bool
	}{
		{"", "1", true},
		{"1", "2", true},
		{"9", "10", true},
		{"10", "9", false},
		{"2", "2", false},
		{"2", "02", false},
		{"02", "3", true},
		{"0", "00", false},
		{"-2", "-1", true},
		{"-1", "-2", false},
		{"-1", "0", true},
		{"0", "-0", false},
		{"1", "-1", false},
		{"+1", "2", true},
		{"9223372036854775807", "9223372036854775808", true},
		{"18446744073709551615", "18446744073709551614", false},
		{"18446744073709551615", "018446744073709551616", true},
		{"18446744073709551615", "2", false},
		{"x1", "x1", false},
		{"x2", "x1", true},
		{"2", "1x", true},
		{"2", "-", true},
	} {
		require.Equal(t, tt.want, follows(tt.last, tt.id), "%q after %q", tt.id, tt.last)
	}
}
