package snapshot

import (
	"bytes"
	"errors"
	"os"
	"testing"

	"threadrun/cluster/directory"
	"threadrun/cluster/membership"
	"threadrun/cluster/recovery"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
)

const now = recovery.Micros(1_800_000_000_000_000)

var self = membership.Identity{ID: 77, Incarnation: 100}

// store is a recovery.Store with some records.
type store []directory.Record

func (s store) Len() int                                       { return len(s) }
func (s store) HottestReported(f func(*directory.Record) bool) { s.Hottest(f) }
func (s store) Hottest(f func(*directory.Record) bool) {
	for i := range s {
		if !f(&s[i]) {
			return
		}
	}
}

func newStore(records int) (s store) {
	for i := range records {
		s = append(s, directory.Record{
			Key:         shardmap.Key(i + 1),
			Group:       3,
			SizeKB:      7,
			RequestGap:  recovery.Micros(i+1) * clock.Second,
			LastRequest: now,
			UpdatedAt:   now,
			Copies:      [directory.MaxCopies]directory.Copy{{Cache: 9, LastSeen: now, CreatedAt: now}},
		})
	}
	return s
}

// Saved records must be decoded by the next incarnation, without copies, but not by an earlier incarnation, by
// another router, a day later, or before they were saved.
func TestSaveAndDecode(t *testing.T) {
	dir := t.TempDir()
	if err := Save(dir, recovery.Save(now, self, newStore(300))); err != nil {
		t.Fatal(err)
	}
	state, err := Load(dir, self.ID)
	if err != nil {
		t.Fatal(err)
	}
	next := self
	next.Incarnation++
	got, err := state.Decode(now+clock.Minute, next)
	if err != nil || len(got) != 300 {
		t.Fatalf("%d records, %v", len(got), err)
	}
	for i := range got {
		if got[i].Copies != [directory.MaxCopies]directory.Copy{} ||
			got[i].RequestGap/clock.Second != recovery.Micros(i+1) || got[i].UpdatedAt != now {
			t.Fatalf("%+v", got[i])
		}
	}
	other := next
	other.ID++
	for _, test := range []struct {
		name string
		now  recovery.Micros
		self membership.Identity
		want error
	}{
		{"same incarnation", now, self, recovery.ErrFromFuture},
		{"another router", now, other, recovery.ErrOtherRouter},
		{"a day later", now + 1440*clock.Minute, next, recovery.ErrTooOld},
		{"before it was saved", now - clock.Minute, next, recovery.ErrFromFuture},
	} {
		if got, err := state.Decode(test.now, test.self); !errors.Is(err, test.want) || got != nil {
			t.Errorf("%s: %d records, %v; want %v", test.name, len(got), err, test.want)
		}
	}
}

// A file that is truncated anywhere, or has a byte changed, must yield all records or none, and must then be
// quarantined: bbolt may crash the process on a corrupted file.
func TestDamagedFileIsNeverRead(t *testing.T) {
	dir := t.TempDir()
	saved := recovery.Save(now, self, newStore(300))
	if err := Save(dir, saved); err != nil {
		t.Fatal(err)
	}
	file := list(dir, self.ID)[0]
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	rejected := 0
	try := func(b []byte) {
		if err := os.WriteFile(file, b, 0o600); err != nil {
			t.Fatal(err)
		}
		state, err := Load(dir, self.ID)
		if err == nil && !bytes.Equal(state.Records, saved.Records) {
			t.Fatal("other records were read")
		}
		if intact := bytes.Equal(b, content); intact != (err == nil) {
			t.Fatalf("%d of %d bytes: %v", len(b), len(content), err)
		}
		if err != nil {
			rejected++
			if !errors.Is(err, ErrDamaged) {
				t.Fatalf("rejected with error %v", err)
			}
			if _, err := os.Stat(file + quarantinedSuffix); err != nil {
				t.Fatal("the file was not quarantined")
			}
			_ = os.Remove(file + quarantinedSuffix)
		}
	}
	for n := 0; n < len(content); n += 509 {
		try(content[:n])
	}
	for n := 0; n < len(content); n += 211 {
		b := bytes.Clone(content)
		b[n] ^= 0x41
		try(b)
	}
	if rejected == 0 {
		t.Error("nothing was rejected")
	}
	if _, err := Load(t.TempDir(), self.ID); !errors.Is(err, ErrNotFound) {
		t.Errorf("%v in an empty directory", err)
	}
}

// A process that ends between writing a snapshot and removing the previous one leaves two: the newer must be used.
// A snapshot under another router's name must be recognized by its content.
func TestTwoFilesAndMisnamed(t *testing.T) {
	dir := t.TempDir()
	if err := Save(dir, recovery.Save(now, self, newStore(3))); err != nil {
		t.Fatal(err)
	}
	former := list(dir, self.ID)[0]
	content, err := os.ReadFile(former)
	if err != nil {
		t.Fatal(err)
	}
	if err := Save(dir, recovery.Save(now+clock.Second, self, newStore(5))); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(former, content, 0o600); err != nil {
		t.Fatal(err)
	}
	if state, err := Load(dir, self.ID); err != nil || state.SavedAt != now+clock.Second {
		t.Errorf("of %d, %v", state.SavedAt, err)
	}
	other := self
	other.ID, other.Incarnation = 78, 200
	misnamed := filePrefix(dir, other.ID) + former[len(filePrefix(dir, self.ID)):]
	if err := os.WriteFile(misnamed, content, 0o600); err != nil {
		t.Fatal(err)
	}
	state, err := Load(dir, other.ID)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := state.Decode(now+clock.Second, other); !errors.Is(err, recovery.ErrOtherRouter) {
		t.Errorf("%v", err)
	}
}
