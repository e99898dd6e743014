package call_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/call"
)

// One call's two commands, with an answer of 200 bytes, and what the part holds
// for it afterwards.
func BenchmarkClaimAndFinish(b *testing.B) {
	l := call.DefaultLimits()
	l.MaxClaims, l.MaxKeys, l.MaxTotalBytes = 1<<30, 1<<30, 1<<40
	part := call.NewStateMachine(l)
	answer := &call.Answer{Status: 201, Body: make([]byte, 200)}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ReportAllocs()
	for i := range b.N {
		ref := call.Ref{Workspace: "coop", Service: "dispatch", Key: fmt.Sprint("key-of-some-length-", i)}
		part.Execute(startMS, &call.Command{Claim: &call.Claim{Ref: ref, Claimant: "vm1#incarnation/request"}})
		part.Execute(startMS, &call.Command{Finish: &call.Finish{Ref: ref, Claimant: "vm1#incarnation/request", State: call.Done, Answer: answer}})
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "heap-B/claim")
	runtime.KeepAlive(part)
}
