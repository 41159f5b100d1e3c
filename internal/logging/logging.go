// Package logging joins the two forms of a log line's fields. The decisions and the cluster's cores are free of I/O:
// they give a constant message with slog attributes to their caller, which writes the line with logrus.
package logging

import (
	"log/slog"

	"github.com/sirupsen/logrus"
)

// Fields converts the attributes of a log line to the fields of a logrus entry.
func Fields(attrs []slog.Attr) logrus.Fields {
	fields := make(logrus.Fields, len(attrs))
	for _, attr := range attrs {
		fields[attr.Key] = attr.Value.Any()
	}
	return fields
}
