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

// workload appends entries and writes a checkpoint of all of them after every tenth.
// It returns the acknowledged entries, and the entry whose append failed.
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

// joined returns the payload of a checkpoint of the entries.
func joined(entries []string) []byte { return []byte("=" + strings.Join(entries, "\n")) }

// contents returns the entries in frames and expands checkpoints.
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

// Guards against losing acknowledged entries when a VM loses power. The crash occurs at
// every write, sync, rename and removal in turn, with none, half or all of the unsynced
// bytes on the disk. After the restart the log contains every acknowledged entry in
// order and nothing that was not appended.
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
				t.Fatalf("got %d crashes, want at least 50", crashes)
			}
		})
	}
}

func checkReopened(t *testing.T, fs *waltest.FS, op int, acked []string, tried string) {
	t.Helper()
	l, frames, err := wal.Open(fs, dir)
	if err != nil {
		t.Fatalf("crash at operation %d: reopening failed: %v", op, err)
	}
	got := contents(frames)
	want := acked
	if len(got) > len(acked) && tried != "" {
		want = append(slices.Clone(acked), tried) // written completely, but not acknowledged
	}
	if !slices.Equal(got, want) {
		t.Fatalf("crash at operation %d: got %v, want the acknowledged entries %v", op, got, acked)
	}
	if err := l.Append([]byte("after")); err != nil {
		t.Fatalf("crash at operation %d: append after reopening failed: %v", op, err)
	}
}

// Guards against acknowledging a lost entry. A sync fails once and would succeed the
// next time, as on Linux after the kernel has dropped the dirty pages. The log must
// refuse all later appends, because a later entry would follow the lost one.
func TestFailedSyncIsFinal(t *testing.T) {
	fs := waltest.New()
	l, _, err := wal.Open(fs, dir)
	if err != nil {
		t.Fatal(err)
	}
	fs.FailSync(true)
	if err := l.Append([]byte("a")); !errors.Is(err, wal.ErrUnusable) {
		t.Fatalf("append with a failed sync: got %v, want ErrUnusable", err)
	}
	fs.FailSync(false)
	for _, err := range []error{l.Append([]byte("b")), l.Checkpoint([]byte("c"))} {
		if !errors.Is(err, wal.ErrUnusable) {
			t.Errorf("write after a failed sync: got %v, want ErrUnusable", err)
		}
	}
}

// Guards against losing acknowledged entries on a full disk. The append fails, and the
// log can be opened again once space was freed and the process was restarted.
func TestFullDisk(t *testing.T) {
	fs := waltest.New()
	l, _, _ := wal.Open(fs, dir)
	if err := l.Append([]byte("kept")); err != nil {
		t.Fatal(err)
	}
	fs.LimitSpace(10)
	if err := l.Append([]byte("does not fit")); !errors.Is(err, waltest.ErrFull) {
		t.Fatalf("append on a full disk: got %v, want ErrFull", err)
	}
	fs.LimitSpace(-1)
	_, frames, err := wal.Open(fs, dir)
	if err != nil || len(frames) != 1 || string(frames[0]) != "kept" {
		t.Fatalf("reopened log: got %q, %v; want the entry \"kept\"", frames, err)
	}
}

// Guards against truncating acknowledged entries after a damaged byte in the middle of
// a file. Open must return an error with file and offset. A damaged last frame cannot
// be told apart from an incomplete one.
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
			t.Errorf("damage at offset %d: got %v, want a DamageError for the frame", offset, err)
		}
		fs.CorruptByte(file, offset)
	}
}

// Guards against two daemons that act as the same voter. The second one to open the
// data directory gets ErrInUse. The directory is free once the first one has closed it.
func TestFolderIsLocked(t *testing.T) {
	dir := t.TempDir() + "/data/control"
	first, _, err := wal.Open(wal.OS{}, dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := wal.Open(wal.OS{}, dir); !errors.Is(err, wal.ErrInUse) {
		t.Errorf("second open: got %v, want ErrInUse", err)
	}
	if err := errors.Join(first.Append([]byte("x")), first.Close()); err != nil {
		t.Fatal(err)
	}
	again, frames, err := wal.Open(wal.OS{}, dir)
	if err != nil || len(frames) != 1 {
		t.Fatalf("open after the first was closed: got %q, %v; want one entry", frames, err)
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
			t.Error("log was opened but refuses an append")
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

// Guards against entries that a sync does not cover, and against unsynced ones that a new segment
// or a checkpoint leaves behind.
func TestWriteAndSync(t *testing.T) {
	fs := waltest.New()
	l, _, err := wal.Open(fs, "log")
	if err != nil {
		t.Fatal(err)
	}
	write := func(text string) {
		if err := l.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	write("a")
	write("b")
	if err := l.Sync(); err != nil {
		t.Fatal(err)
	}
	write("lost")
	fs.Crash(func(int) int { return 0 })
	l, entries, err := wal.Open(fs, "log")
	if err != nil || string(joined(contents(entries))) != "=a\nb" {
		t.Fatalf("after a crash: got entries %q, error %v, want a and b", entries, err)
	}
	write("c")
	if err := l.Checkpoint([]byte("checkpoint")); err != nil {
		t.Fatal(err)
	}
	write("d")
	if err := l.Append([]byte("e")); err != nil {
		t.Fatal(err)
	}
	fs.Crash(func(int) int { return 0 })
	if _, entries, err = wal.Open(fs, "log"); err != nil || string(joined(contents(entries))) != "=checkpoint\nd\ne" {
		t.Fatalf("after another crash: got entries %q, error %v, want the checkpoint, d and e", entries, err)
	}
}

// Guards against a checkpoint of several entries that a crash leaves in part: the former entries
// are gone, and some of those that replace them are missing.
func TestCheckpointOfSeveralEntries(t *testing.T) {
	for op := 1; ; op++ {
		fs := waltest.New()
		l, _, err := wal.Open(fs, dir)
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Append([]byte("former")); err != nil {
			t.Fatal(err)
		}
		fs.CrashAt(op)
		err = l.Checkpoint([]byte("a"), []byte("b"), []byte("c"))
		done := !fs.Crashed()
		for _, keep := range []func(int) int{nil, func(n int) int { return n / 2 }, func(n int) int { return n }} {
			fs.Crash(keep)
			_, entries, errOpen := wal.Open(fs, dir)
			got := strings.Join(contents(entries), " ")
			if errOpen != nil || got != "a b c" && (got != "former" || err == nil) {
				t.Fatalf("crash at operation %d: got entries %q, error %v, want those of the checkpoint or, if it failed, the former one", op, got, errOpen)
			}
		}
		if done {
			return
		}
	}
}
