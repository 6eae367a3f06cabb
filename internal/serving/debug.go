package serving

import (
	"log/slog"
	"strings"
)

// debugWriter logs lines of a library at the debug level.
type debugWriter struct {
	logger *slog.Logger
}

// Write implements io.Writer.
func (d *debugWriter) Write(line []byte) (int, error) {
	d.logger.Debug("HTTPServer", slog.String("Text", strings.TrimSpace(string(line))))
	return len(line), nil
}
