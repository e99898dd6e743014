package forward_test

import (
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// inUse returns the heap and stacks that are in use.
func inUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// Guards against held runs that exceed the memory of a VM: when all engines of its streams fall
// silent, each stream has two runs.
func TestMemoryOfHeldRuns(t *testing.T) {
	const (
		streams    = 100
		atTheSize  = 230      // streams of a VM
		controlled = 32 << 20 // memory that they may take besides
	)
	synctest.Test(t, func(t *testing.T) {
		silent, other := engine("a"), engine("a")
		silent.Slots, other.Slots = streams, streams
		f := newFixture(t, silent, other)
		f.keepNoCopies()
		defer f.shutDown()
		all := f.net.Backends()
		first := upstream.List{AsOf: time.Now().Add(time.Millisecond)}
		for _, b := range all {
			if b.ID == silent.ID {
				first.Backends = append(first.Backends, b)
			}
		}
		f.fleet.Apply(first)
		var answers []*answer
		for i := range streams {
			answers = append(answers, f.send("POST", "/s/1", fmt.Sprint("r", i), fmt.Sprint("log ", i)))
		}
		time.Sleep(2 * time.Second)
		f.fleet.Apply(upstream.List{Backends: all, AsOf: time.Now().Add(time.Millisecond)})
		before := inUse()
		silent.Set(routedengine.Unresponsive)
		time.Sleep(1700 * time.Millisecond) // the second runs have been sent, and both are open
		second := int64(len(other.Runs()))
		if second < streams/2 {
			t.Fatalf("%d streams have a second run, want at least %d", second, streams/2)
		}
		perRun := (inUse() - before) / second
		t.Logf("a held run takes %d bytes, its server's part included", perRun)
		if perRun*atTheSize > controlled {
			t.Errorf("%d held runs take %d bytes, want at most %d", atTheSize, perRun*atTheSize, controlled)
		}
		for _, a := range answers {
			<-a.done
		}
	})
}
