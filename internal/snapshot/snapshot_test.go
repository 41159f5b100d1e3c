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

// store is a recovery.Store that returns its records in order.
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

// The next incarnation of a router must decode the saved records, without their copies. They must be rejected in the
// same incarnation, by another router, a day later, and at a time before they were saved.
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
		t.Fatalf("decoded %d records, want 300; error %v", len(got), err)
	}
	for i := range got {
		if got[i].Copies != [directory.MaxCopies]directory.Copy{} ||
			got[i].RequestGap/clock.Second != recovery.Micros(i+1) || got[i].UpdatedAt != now {
			t.Fatalf("record %d was decoded as %+v, want a request gap of %d s, the time of its update and no copies", i,
				got[i], i+1)
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
			t.Errorf("%s: %d records, want none; error %v, want %v", test.name, len(got), err, test.want)
		}
	}
}

// A file that is truncated or has a changed byte must be rejected and quarantined without being opened as a database,
// because bbolt may crash the process on a corrupted file. An intact file must yield all records.
func TestDamagedFileIsNeverRead(t *testing.T) {
	dir := t.TempDir()
	saved := recovery.Save(now, self, newStore(300))
	if err := Save(dir, saved); err != nil {
		t.Fatal(err)
	}
	file := listFiles(dir, self.ID)[0]
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	rejected := 0
	load := func(b []byte) {
		if err := os.WriteFile(file, b, 0o600); err != nil {
			t.Fatal(err)
		}
		state, err := Load(dir, self.ID)
		if err == nil && !bytes.Equal(state.Records, saved.Records) {
			t.Fatalf("Load returned %d bytes of records that differ from the %d bytes saved", len(state.Records),
				len(saved.Records))
		}
		if intact := bytes.Equal(b, content); intact != (err == nil) {
			t.Fatalf("%d of %d bytes, intact: %t; Load returned error %v", len(b), len(content), intact, err)
		}
		if err != nil {
			rejected++
			if !errors.Is(err, ErrDamaged) {
				t.Fatalf("rejected with error %v, want %v", err, ErrDamaged)
			}
			if _, err := os.Stat(file + quarantinedSuffix); err != nil {
				t.Fatal("the file was not quarantined")
			}
			_ = os.Remove(file + quarantinedSuffix)
		}
	}
	for n := 0; n < len(content); n += 509 {
		load(content[:n])
	}
	for n := 0; n < len(content); n += 211 {
		b := bytes.Clone(content)
		b[n] ^= 0x41
		load(b)
	}
	if rejected == 0 {
		t.Error("no damaged file was rejected")
	}
	if _, err := Load(t.TempDir(), self.ID); !errors.Is(err, ErrNotFound) {
		t.Errorf("empty directory: error %v, want %v", err, ErrNotFound)
	}
}

// A process that ends between writing a snapshot and removing the previous one leaves two files: Load must return the
// newer one. Decode must reject a snapshot whose file has the name of another router than its header.
func TestTwoFilesAndMisnamed(t *testing.T) {
	dir := t.TempDir()
	if err := Save(dir, recovery.Save(now, self, newStore(3))); err != nil {
		t.Fatal(err)
	}
	previous := listFiles(dir, self.ID)[0]
	content, err := os.ReadFile(previous)
	if err != nil {
		t.Fatal(err)
	}
	if err := Save(dir, recovery.Save(now+clock.Second, self, newStore(5))); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(previous, content, 0o600); err != nil {
		t.Fatal(err)
	}
	if state, err := Load(dir, self.ID); err != nil || state.SavedAt != now+clock.Second {
		t.Errorf("loaded the snapshot of time %d, want %d; error %v", state.SavedAt, now+clock.Second, err)
	}
	other := self
	other.ID, other.Incarnation = 78, 200
	misnamed := filePrefix(dir, other.ID) + previous[len(filePrefix(dir, self.ID)):]
	if err := os.WriteFile(misnamed, content, 0o600); err != nil {
		t.Fatal(err)
	}
	state, err := Load(dir, other.ID)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := state.Decode(now+clock.Second, other); !errors.Is(err, recovery.ErrOtherRouter) {
		t.Errorf("misnamed file: error %v, want %v", err, recovery.ErrOtherRouter)
	}
}
