package streamversion

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/wal"
	"github.com/amaranthshelf/amaranthshelf/internal/wal/waltest"
)

const testDir = "versions"

// runStore starts a Store and returns a function that stops it.
func runStore(t *testing.T, fs *waltest.FS) (s *Store, stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	s = NewStore(fs, testDir, zerolog.Nop())
	go s.Run(ctx)
	synctest.Wait()
	return s, func() {
		cancel()
		time.Sleep(2 * reopenPause)
		synctest.Wait()
	}
}

func (s *Store) mustFind(t *testing.T, attempt string, want Origin) {
	t.Helper()
	if got, finding, err := s.Find(KeyOf("nelson", attempt)); finding != Found || got != want || err != nil {
		t.Errorf("%s: got %+v, finding %d, error %v, want %+v", attempt, got, finding, err, want)
	}
}

// Guards against records that are lost when all processes are killed: what was synced must be
// there after a restart, and an ambiguous attempt must still be ambiguous.
func TestRecordsSurviveARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := waltest.New()
		s, stop := runStore(t, fs)
		<-s.Put([]Record{record("a", v1, time.Minute), record("b", v2, time.Minute), record("twice", v1, time.Minute)})
		<-s.Put([]Record{record("twice", v2, time.Minute), record("short", v1, time.Second)})
		stop()
		fs.Crash(func(int) int { return 0 })
		for range 2 { // the first restart writes a checkpoint, which the second one reads
			s, stop = runStore(t, fs)
			s.mustFind(t, "a", v1)
			s.mustFind(t, "b", v2)
			if _, finding, _ := s.Find(KeyOf("nelson", "twice")); finding != Ambiguous {
				t.Errorf("an attempt with two versions: got finding %d, want Ambiguous", finding)
			}
			if _, finding, err := s.Find(KeyOf("nelson", "never")); finding != Unknown || err != nil {
				t.Errorf("an attempt that was never recorded: got finding %d, error %v, want Unknown", finding, err)
			}
			stop()
			fs.Crash(func(int) int { return 0 })
		}
	})
}

// Guards against "unknown" from a VM that has not read its records yet.
func TestUnknownBeforeLoad(t *testing.T) {
	s := NewStore(waltest.New(), testDir, zerolog.Nop())
	if _, _, err := s.Find(KeyOf("nelson", "a")); !errors.Is(err, ErrNotLoaded) {
		t.Errorf("got error %v, want ErrNotLoaded", err)
	}
	s.Put([]Record{record("a", v1, time.Minute)})
	s.mustFind(t, "a", v1)
}

// Guards against callers that wait for a disk that fails, and against records that are missing
// on disk after it works again.
func TestDiskFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := waltest.New()
		s, stop := runStore(t, fs)
		fs.FailSync(true)
		select {
		case <-s.Put([]Record{record("a", v1, time.Minute)}):
		case <-time.After(time.Second):
			t.Error("a failed sync keeps its caller waiting")
		}
		s.mustFind(t, "a", v1)
		fs.FailSync(false)
		time.Sleep(2 * reopenPause)
		stop()
		fs.Crash(func(int) int { return 0 })
		s, stop = runStore(t, fs)
		s.mustFind(t, "a", v1)
		stop()
	})
}

// Guards against a damaged file that keeps a control VM from recording anything.
func TestDamagedFile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := waltest.New()
		s, stop := runStore(t, fs)
		for i := range 5 {
			<-s.Put([]Record{record(fmt.Sprint(i), v1, time.Minute)})
		}
		stop()
		names, err := fs.List(testDir)
		if err != nil || len(names) == 0 {
			t.Fatalf("got files %v, error %v, want one at least", names, err)
		}
		fs.CorruptByte(testDir+"/"+names[0], 60)
		s, stop = runStore(t, fs)
		<-s.Put([]Record{record("new", v2, time.Minute)})
		s.mustFind(t, "new", v2)
		stop()
	})
}

// Guards against a file that grows for as long as the process runs.
func TestFileStaysSmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := waltest.New()
		s, stop := runStore(t, fs)
		records := make([]Record, 1000)
		for round := range 400 {
			for i := range records {
				records[i] = record(fmt.Sprint(round, "-", i), v1, time.Second)
			}
			<-s.Put(records)
			time.Sleep(time.Second)
		}
		stop()
		names, err := fs.List(testDir)
		size := 0
		for _, name := range names {
			data, errRead := fs.ReadFile(testDir + "/" + name)
			size, err = size+len(data), errors.Join(err, errRead)
		}
		if most := 2 * checkpointBytes; err != nil || size > most {
			t.Errorf("got %d bytes in %d files, error %v, want at most %d", size, len(names), err, most)
		}
	})
}

// slowSyncFS is a file system whose syncs do not return while blocked is set.
type slowSyncFS struct {
	*waltest.FS
	blocked chan struct{} // nil: syncs return
}

func (f *slowSyncFS) Create(name string) (wal.File, error) {
	file, err := f.FS.Create(name)
	return &slowSyncFile{file, f}, err
}

func (f *slowSyncFS) Append(name string) (wal.File, error) {
	file, err := f.FS.Append(name)
	return &slowSyncFile{file, f}, err
}

type slowSyncFile struct {
	wal.File
	fs *slowSyncFS
}

func (f *slowSyncFile) Sync() error {
	if f.fs.blocked != nil {
		<-f.fs.blocked
	}
	return f.File.Sync()
}

// Guards against records that wait for a sync of earlier ones, and are lost when the process is
// killed meanwhile.
func TestSlowSyncKeepsNoRecordWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := &slowSyncFS{FS: waltest.New()}
		s := NewStore(disk, testDir, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		synctest.Wait()
		disk.blocked = make(chan struct{})
		for i := range 5 {
			s.Put([]Record{record(fmt.Sprint(i), v1, time.Minute)})
			synctest.Wait()
		}
		restarted, stop := runStore(t, disk.FS) // what was written survives the end of the process
		for i := range 5 {
			restarted.mustFind(t, fmt.Sprint(i), v1)
		}
		stop()
		close(disk.blocked)
		cancel()
		synctest.Wait()
	})
}

// Guards against records that are acknowledged as kept and are in no file after a restart. The disk
// fails, fills up or is cut off at each of its operations in turn, and the process ends then.
func TestAcknowledgedRecordsAreOnDisk(t *testing.T) {
	survives := map[string]func(int) int{
		"none": func(int) int { return 0 },
		"half": func(n int) int { return n / 2 },
		"all":  func(n int) int { return n },
	}
	faults := map[string]func(fs *waltest.FS, op int){
		"cut off": func(fs *waltest.FS, op int) { fs.CrashAt(op) },
		"syncs fail": func(fs *waltest.FS, op int) {
			time.AfterFunc(time.Duration(op)*time.Second, func() { fs.FailSync(true) })
		},
		"fills up":    func(fs *waltest.FS, op int) { fs.LimitSpace(100 * op) },
		"fails twice": failTwice,
	}
	for fault, begin := range faults {
		for survival, keep := range survives {
			t.Run(fault+"/"+survival, func(t *testing.T) {
				for op := 1; op <= 30; op++ {
					synctest.Test(t, func(t *testing.T) { testAcknowledged(t, op, begin, keep) })
				}
			})
		}
	}
}

// failTwice makes syncs fail, work again and fail again.
func failTwice(fs *waltest.FS, op int) {
	at := time.Duration(op) * time.Second
	for i, fails := range []bool{true, false, true} {
		time.AfterFunc(at+time.Duration(i)*reopenPause*3/2, func() { fs.FailSync(fails) })
	}
}

func testAcknowledged(t *testing.T, op int, begin func(*waltest.FS, int), keep func(int) int) {
	fs := waltest.New()
	s, stop := runStore(t, fs)
	begin(fs, op)
	var kept []string
	for i := range 40 {
		attempt := fmt.Sprint(i)
		select {
		case ok := <-s.Put([]Record{record(attempt, v1, time.Hour)}):
			if ok {
				kept = append(kept, attempt)
			}
		case <-time.After(time.Second):
		}
		time.Sleep(time.Second)
	}
	fs.Crash(keep) // before stop: nothing is written on the way out
	stop()
	fs.FailSync(false)
	fs.LimitSpace(-1)
	s, stop = runStore(t, fs)
	defer stop()
	for _, attempt := range kept {
		s.mustFind(t, attempt, v1)
	}
}
