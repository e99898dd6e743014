package wal_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/wal"
	"github.com/amaranthshelf/amaranthshelf/internal/wal/waltest"
)

const dir = "/data/wal"

// workload appends, with a checkpoint of everything after each tenth entry, and
// returns what was acknowledged.
func workload(fs wal.FS) (acked []string, tried string) {
	l, _, err := wal.Open(fs, dir)
	if err != nil {
		return nil, ""
	}
	for i := range 24 {
		tried = fmt.Sprintf("entry-%d", i)
		if l.Append([]byte(tried)) != nil {
			return acked, tried
		}
		acked = append(acked, tried)
		if i%10 == 9 && l.Checkpoint(joined(acked)) != nil {
			return acked, ""
		}
	}
	return acked, ""
}

// joined is a checkpoint's payload.
func joined(entries []string) []byte { return []byte("=" + strings.Join(entries, "\n")) }

// contents expands checkpoints back into entries.
func contents(frames [][]byte) []string {
	var out []string
	for _, f := range frames {
		if list, ok := strings.CutPrefix(string(f), "="); ok {
			out = strings.Split(list, "\n")
			continue
		}
		out = append(out, string(f))
	}
	return out
}

// An operator's change was acknowledged, then the VM loses power. At every
// write, sync, rename and removal in turn, with none, one or all of the unsynced
// bytes on the disk: after the restart every acknowledged entry is there, in
// order, and nothing that was not appended, since Append syncs before it returns.
func TestCrashAtEveryBoundary(t *testing.T) {
	survivals := map[string]func(int) int{
		"none": func(int) int { return 0 },
		"half": func(n int) int { return n / 2 },
		"all":  func(n int) int { return n },
	}
	for name, keep := range survivals {
		t.Run(name, func(t *testing.T) {
			crashes := 0
			for op := 1; ; op++ {
				fs := waltest.New()
				fs.CrashAt(op)
				acked, tried := workload(fs)
				if !fs.Crashed() {
					break
				}
				crashes++
				fs.Crash(keep)
				checkReopened(t, fs, op, acked, tried)
			}
			if crashes < 50 {
				t.Fatalf("only %d boundaries met", crashes)
			}
		})
	}
}

func checkReopened(t *testing.T, fs *waltest.FS, op int, acked []string, tried string) {
	t.Helper()
	l, frames, err := wal.Open(fs, dir)
	if err != nil {
		t.Fatalf("crash at %d: %v", op, err)
	}
	got := contents(frames)
	want := acked
	if len(got) > len(acked) && tried != "" {
		want = append(slices.Clone(acked), tried) // written whole, never acknowledged
	}
	if !slices.Equal(got, want) {
		t.Fatalf("crash at %d: got %v, acknowledged %v", op, got, acked)
	}
	if err := l.Append([]byte("after")); err != nil {
		t.Fatalf("crash at %d: %v", op, err)
	}
}

// A sync fails once and would succeed the next time, as Linux does after it
// dropped the pages. The log must refuse all later appends: acknowledging one
// would acknowledge the lost entry before it.
func TestFailedSyncIsFinal(t *testing.T) {
	fs := waltest.New()
	l, _, err := wal.Open(fs, dir)
	if err != nil {
		t.Fatal(err)
	}
	fs.FailSync(true)
	if err := l.Append([]byte("a")); !errors.Is(err, wal.ErrUnusable) {
		t.Fatalf("got %v", err)
	}
	fs.FailSync(false)
	for _, err := range []error{l.Append([]byte("b")), l.Checkpoint([]byte("c"))} {
		if !errors.Is(err, wal.ErrUnusable) {
			t.Errorf("after a failed sync: %v", err)
		}
	}
}

// The disk is full: the append fails, nothing acknowledged is lost, and after
// space was made and the process restarted the log goes on.
func TestFullDisk(t *testing.T) {
	fs := waltest.New()
	l, _, _ := wal.Open(fs, dir)
	if err := l.Append([]byte("kept")); err != nil {
		t.Fatal(err)
	}
	fs.LimitSpace(10)
	if err := l.Append([]byte("does not fit")); !errors.Is(err, waltest.ErrFull) {
		t.Fatalf("got %v", err)
	}
	fs.LimitSpace(-1)
	_, frames, err := wal.Open(fs, dir)
	if err != nil || len(frames) != 1 || string(frames[0]) != "kept" {
		t.Fatalf("reopened: %q, %v", frames, err)
	}
}

// A byte in the middle rots: opening names file and offset instead of cutting
// the acknowledged entries behind it. A damaged last frame looks like a torn one.
func TestDamagedMiddle(t *testing.T) {
	fs := waltest.New()
	l, _, _ := wal.Open(fs, dir)
	for _, e := range []string{"one", "two", "three"} {
		if err := l.Append([]byte(e)); err != nil {
			t.Fatal(err)
		}
	}
	file := dir + "/segment-0000000000000001.log"
	for _, offset := range []int{0, 5, 17, 22, 24 + 3, 24 + 20} {
		fs.CorruptByte(file, offset)
		_, _, err := wal.Open(fs, dir)
		var damage *wal.DamageError
		if !errors.As(err, &damage) || damage.File != file || damage.Offset != int64(offset/24*24) {
			t.Errorf("offset %d: got %v", offset, err)
		}
		fs.CorruptByte(file, offset)
	}
}

// Two daemons are started on one data folder: the second says so and stops, else
// both would answer for one voter. Once the first has ended the folder is free.
func TestFolderIsLocked(t *testing.T) {
	dir := t.TempDir() + "/data/control"
	first, _, err := wal.Open(wal.OS{}, dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := wal.Open(wal.OS{}, dir); !errors.Is(err, wal.ErrInUse) {
		t.Errorf("second process: %v", err)
	}
	if err := errors.Join(first.Append([]byte("x")), first.Close()); err != nil {
		t.Fatal(err)
	}
	again, frames, err := wal.Open(wal.OS{}, dir)
	if err != nil || len(frames) != 1 {
		t.Fatalf("after the first has ended: %q, %v", frames, err)
	}
	if err := again.Close(); err != nil {
		t.Error(err)
	}
}

func FuzzOpen(f *testing.F) {
	f.Add([]byte("\xa5sh\xe1"))
	f.Fuzz(func(t *testing.T, data []byte) {
		fs := waltest.New()
		file, _ := fs.Create(dir + "/segment-0000000000000001.log")
		_, _ = file.Write(data)
		if l, _, err := wal.Open(fs, dir); err == nil && l.Append([]byte("x")) != nil {
			t.Error("opened, but takes no entries")
		}
	})
}

func BenchmarkAppend(b *testing.B) {
	l, _, err := wal.Open(wal.OS{}, b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	payload := make([]byte, 256)
	b.ReportAllocs()
	for b.Loop() {
		if err := l.Append(payload); err != nil {
			b.Fatal(err)
		}
	}
}
