package catalog

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"io"
	"log/slog"
)

// redactedKey is printed in place of an API key.
const redactedKey = "(API key)"

// digestSecret makes digests of keys useless outside this process: short keys could otherwise be found from them by trial.
var digestSecret = func() []byte {
	secret := make([]byte, sha256.Size)
	// Read does not fail: crypto/rand ends the process instead.
	_, _ = rand.Read(secret)
	return secret
}()

// KeyDigest identifies an API key within this process; the key can't be found from it. The zero value stands for no key.
type KeyDigest struct {
	sum [sha256.Size]byte
}

// DigestKey returns the digest of a key, or the zero value if the key is empty.
func DigestKey(key string) KeyDigest {
	if key == "" {
		return KeyDigest{}
	}
	mac := hmac.New(sha256.New, digestSecret)
	_, _ = io.WriteString(mac, key)
	return KeyDigest{sum: [sha256.Size]byte(mac.Sum(nil))}
}

// IsZero reports whether there is no key.
func (k KeyDigest) IsZero() bool { return k == KeyDigest{} }

// Format implements fmt.Formatter; it prints no digest.
func (k KeyDigest) Format(state fmt.State, _ rune) { _, _ = io.WriteString(state, redactedKey) }

// LogValue implements slog.LogValuer.
func (k KeyDigest) LogValue() slog.Value { return slog.StringValue(redactedKey) }
