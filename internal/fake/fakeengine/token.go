package fakeengine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Token returns the token at a position of the response to a prompt, which is the same on every engine.
func Token(prompt string, position int) string {
	h := xxhash.Sum64String(prompt + "#" + strconv.Itoa(position))
	return "t" + strconv.FormatUint(h%100000, 10) + " "
}

// Text returns the complete response to a prompt.
func Text(prompt string, tokens int) string {
	text := ""
	for i := range tokens {
		text += Token(prompt, i)
	}
	return text
}
