// Package logging converts the fields of log lines. The packages that decide on routing and cluster state perform no
// I/O: they pass a constant message and slog attributes to their caller, which writes the line with logrus.
package logging

import (
	"log/slog"

	"github.com/sirupsen/logrus"
)

// Fields converts the attributes of a log line to logrus fields.
func Fields(attrs []slog.Attr) logrus.Fields {
	fields := make(logrus.Fields, len(attrs))
	for _, attr := range attrs {
		fields[attr.Key] = attr.Value.Any()
	}
	return fields
}
