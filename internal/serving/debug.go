package serving

import (
	"log/slog"
	"strings"
)

// debugWriter logs each line written to it at debug level.
type debugWriter struct {
	logger *slog.Logger
}

// Write implements io.Writer.
func (w *debugWriter) Write(line []byte) (int, error) {
	w.logger.Debug("HTTPServer", slog.String("Text", strings.TrimSpace(string(line))))
	return len(line), nil
}
