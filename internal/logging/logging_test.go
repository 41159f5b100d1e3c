package logging

import (
	"errors"
	"log/slog"
	"reflect"
	"testing"

	"github.com/sirupsen/logrus"
)

// Fields must keep the types of the values. An error must stay an error, because logrus writes the text of errors.
func TestFields(t *testing.T) {
	err := errors.New("faulty")
	fields := Fields([]slog.Attr{slog.Int("held", 3), slog.String("class", "refresh"), slog.Any("error", err)})
	want := logrus.Fields{"held": int64(3), "class": "refresh", "error": err}
	if !reflect.DeepEqual(fields, want) {
		t.Errorf("fields %v, want %v", fields, want)
	}
	if none := Fields(nil); len(none) != 0 {
		t.Errorf("fields without attributes: %v", none)
	}
}
