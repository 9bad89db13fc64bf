package logging

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/cockroachdb/errors"
)

// New returns a logger that writes events at or above the given level.
func New(w io.Writer, level string) (log.Interface, error) {
	l, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrapf(err, "parse log level %q", level)
	}
	return &log.Logger{Handler: logfmt.New(w), Level: l}, nil
}
