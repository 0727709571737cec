package telemetry

import (
	"io"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// Formats of log lines.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// timestampFormat is the format of timestamps in JSON lines. It has a precision of
// milliseconds, because the log lines of one request are close together in time.
const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes log entries of the given level or a more
// severe one to w. The format is FormatText or FormatJSON.
func NewLogger(format, level string, w io.Writer) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrap(err, "log level")
	}
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(parsed)
	switch format {
	case FormatText:
		logger.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	case FormatJSON:
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timestampFormat})
	default:
		return nil, eris.Errorf("log format %q: must be text or json", format)
	}
	return logger, nil
}
