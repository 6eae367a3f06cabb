package event

import (
	"context"
	"log/slog"
)

// Event is one kind of log line, known to operators by its number.
type Event struct {
	Number  int
	Name    string
	Level   slog.Level
	Meaning string
	Action  string
}

// Log writes the event with the given attributes.
func (e Event) Log(logger *slog.Logger, attrs ...slog.Attr) {
	all := make([]slog.Attr, 0, len(attrs)+1)
	all = append(all, slog.Int("Event", e.Number))
	all = append(all, attrs...)
	logger.LogAttrs(context.Background(), e.Level, e.Name, all...)
}

// Error returns the attribute under which events carry a failure.
func Error(err error) slog.Attr {
	return slog.String("Error", err.Error())
}
