package event

import (
	"context"
	"log/slog"
	"strings"
)

// Event is one kind of log line, which operators identify by its number.
type Event struct {
	Number int
	Name   string
	Level  slog.Level
	// Meaning says what happened, Action what an operator should do about it.
	Meaning string
	Action  string
}

// Log writes the event to a logger with the given attributes.
func (e Event) Log(logger *slog.Logger, attrs ...slog.Attr) {
	all := make([]slog.Attr, 0, len(attrs)+1)
	all = append(all, slog.Int("Event", e.Number))
	all = append(all, attrs...)
	logger.LogAttrs(context.Background(), e.Level, e.Name, all...)
}

// maxErrorBytes limits the text of an error in an event: it may quote what others have sent.
const maxErrorBytes = 1 << 10

// Error returns the attribute that holds an error in an event, cut off at a limit.
func Error(err error) slog.Attr {
	text := err.Error()
	if len(text) > maxErrorBytes {
		text = strings.ToValidUTF8(text[:maxErrorBytes], "") + "..."
	}
	return slog.String("Error", text)
}
