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
		logger.SetFormatter(&logrus.JSONFormatter{})
	default:
		return nil, eris.Errorf("log format %q: must be text or json", format)
	}
	return logger, nil
}
