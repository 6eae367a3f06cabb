package iostreams

import (
	"bytes"
	"io"
	"os"
)

// IOStreams holds the standard streams of a command.
type IOStreams struct {
	In     io.Reader
	Out    io.Writer
	ErrOut io.Writer

	outIsTerminal bool
	errIsTerminal bool
}

// System returns the standard streams of the process.
func System() *IOStreams {
	return &IOStreams{
		In:            os.Stdin,
		Out:           os.Stdout,
		ErrOut:        os.Stderr,
		outIsTerminal: isTerminal(os.Stdout),
		errIsTerminal: isTerminal(os.Stderr),
	}
}

// Test returns streams backed by the returned buffers.
func Test() (streams *IOStreams, in, out, errOut *bytes.Buffer) {
	in, out, errOut = &bytes.Buffer{}, &bytes.Buffer{}, &bytes.Buffer{}
	streams = &IOStreams{
		In:     in,
		Out:    out,
		ErrOut: errOut,
	}
	return streams, in, out, errOut
}

// ColorScheme returns the colors for standard output, enabled only if it is a terminal and NO_COLOR is unset or empty.
func (s *IOStreams) ColorScheme() *ColorScheme {
	return &ColorScheme{
		enabled: s.outIsTerminal && os.Getenv("NO_COLOR") == "",
	}
}

// IsProgressEnabled reports whether standard error is a terminal, so that progress can be shown on it.
func (s *IOStreams) IsProgressEnabled() bool { return s.errIsTerminal }

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
