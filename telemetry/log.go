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

// timestampFormat tells milliseconds, as decisions of one request lie close
// together.
const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes lines of the format ("text" or
// "json") from the level upwards.
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
