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

type rows []directory.Record

func (r rows) Len() int                                       { return len(r) }
func (r rows) HottestReported(f func(*directory.Record) bool) { r.Hottest(f) }
func (r rows) Hottest(f func(*directory.Record) bool) {
	for i := range r {
		if !f(&r[i]) {
			return
		}
	}
}

func some(n int) (out rows) {
	for i := range n {
		out = append(out, directory.Record{Key: shardmap.Key(i + 1), Group: 3, SizeKB: 7, RequestGap: recovery.Micros(i+1) * clock.Second, LastRequest: now, UpdatedAt: now,
			Copies: [directory.MaxCopies]directory.Copy{{Cache: 9, LastSeen: now, CreatedAt: now}}})
	}
	return out
}

// What was kept comes back in the next life, without copies; not in an earlier life, at another router, a day later or before it was written.
func TestKeptAndRead(t *testing.T) {
	dir := t.TempDir()
	if err := Save(dir, recovery.Save(now, self, some(300))); err != nil {
		t.Fatal(err)
	}
	k, err := Load(dir, self.ID)
	if err != nil {
		t.Fatal(err)
	}
	next := self
	next.Incarnation++
	got, err := k.Decode(now+clock.Minute, next)
	if err != nil || len(got) != 300 {
		t.Fatalf("%d rows, %v", len(got), err)
	}
	for i := range got {
		if got[i].Copies != [directory.MaxCopies]directory.Copy{} || got[i].RequestGap/clock.Second != recovery.Micros(i+1) || got[i].UpdatedAt != now {
			t.Fatalf("%+v", got[i])
		}
	}
	other := next
	other.ID++
	for _, x := range []struct {
		at   recovery.Micros
		self membership.Identity
		want error
	}{{now, self, recovery.ErrFromFuture}, {now, other, recovery.ErrOtherRouter}, {now + 1440*clock.Minute, next, recovery.ErrTooOld},
		{now - clock.Minute, next, recovery.ErrFromFuture}} {
		if got, err := k.Decode(x.at, x.self); !errors.Is(err, x.want) || got != nil {
			t.Errorf("%d rows, %v; want %v", len(got), err, x.want)
		}
	}
}

// A file that is cut anywhere, or has a byte turned, gives all that was kept or nothing; then it lies aside.
func TestTornNeverHalfRead(t *testing.T) {
	dir := t.TempDir()
	kept := recovery.Save(now, self, some(300))
	if err := Save(dir, kept); err != nil {
		t.Fatal(err)
	}
	at := all(dir, self.ID)[0]
	text, err := os.ReadFile(at)
	if err != nil {
		t.Fatal(err)
	}
	refused := 0
	try := func(b []byte) {
		if err := os.WriteFile(at, b, 0o600); err != nil {
			t.Fatal(err)
		}
		k, err := Load(dir, self.ID)
		if err == nil && !bytes.Equal(k.Records, kept.Records) {
			t.Fatal("other rows were read")
		}
		if whole := bytes.Equal(b, text); whole != (err == nil) {
			t.Fatalf("%d of %d bytes: %v", len(b), len(text), err)
		}
		if err != nil {
			refused++
			if _, err := os.Stat(at + aside); err != nil {
				t.Fatal("it does not lie aside")
			}
			_ = os.Remove(at + aside)
		}
	}
	for n := 0; n < len(text); n += 509 {
		try(text[:n])
	}
	for n := 0; n < len(text); n += 211 {
		b := bytes.Clone(text)
		b[n] ^= 0x41
		try(b)
	}
	if refused == 0 {
		t.Error("nothing was refused")
	}
	if _, err := Load(t.TempDir(), self.ID); !errors.Is(err, ErrNotFound) {
		t.Errorf("%v where nothing is", err)
	}
}

// A process that ends between writing a snapshot and taking the one before away leaves two: the newer counts. A snapshot under another
// router's name is told apart by what it says.
func TestTwoAndSwapped(t *testing.T) {
	dir := t.TempDir()
	if err := Save(dir, recovery.Save(now, self, some(3))); err != nil {
		t.Fatal(err)
	}
	old := all(dir, self.ID)[0]
	text, _ := os.ReadFile(old)
	if err := Save(dir, recovery.Save(now+clock.Second, self, some(5))); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(old, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if k, err := Load(dir, self.ID); err != nil || k.SavedAt != now+clock.Second {
		t.Errorf("of %d, %v", k.SavedAt, err)
	}
	other := self
	other.ID, other.Incarnation = 78, 200
	if err := os.WriteFile(stem(dir, other.ID)+old[len(stem(dir, self.ID)):], text, 0o600); err != nil {
		t.Fatal(err)
	}
	k, err := Load(dir, other.ID)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := k.Decode(now+clock.Second, other); !errors.Is(err, recovery.ErrOtherRouter) {
		t.Errorf("%v", err)
	}
}
