package capacity

import (
	"fmt"
	"os"
	"strings"
)

// MarkError reports a page without the marks of its generated part.
type MarkError struct {
	Path string
}

// Error implements error.
func (e *MarkError) Error() string { return fmt.Sprintf("%s has no generated part to replace", e.Path) }

// Write replaces the generated part of a page.
func (r Results) Write(path string) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	before, rest, begun := strings.Cut(string(page), BeginMark)
	_, after, ended := strings.Cut(rest, EndMark)
	if !begun || !ended {
		return &MarkError{Path: path}
	}
	return os.WriteFile(path, []byte(before+strings.TrimSuffix(r.Markdown(), "\n")+after), 0o644)
}
