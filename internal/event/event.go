package event

import (
	"context"
	"log/slog"
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

// Error returns the attribute that holds an error in an event.
func Error(err error) slog.Attr {
	return slog.String("Error", err.Error())
}
