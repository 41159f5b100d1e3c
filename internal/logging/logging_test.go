package logging

import (
	"errors"
	"log/slog"
	"reflect"
	"testing"

	"github.com/sirupsen/logrus"
)

// Values must keep their types, including errors, whose text logrus writes.
func TestFields(t *testing.T) {
	err := errors.New("faulty")
	fields := Fields([]slog.Attr{slog.Int("held", 3), slog.String("class", "refresh"), slog.Any("error", err)})
	want := logrus.Fields{"held": int64(3), "class": "refresh", "error": err}
	if !reflect.DeepEqual(fields, want) {
		t.Errorf("fields %v, want %v", fields, want)
	}
	if none := Fields(nil); len(none) != 0 {
		t.Errorf("fields of no attributes: %v", none)
	}
}
