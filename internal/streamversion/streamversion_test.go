package streamversion

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

var (
	v1 = Origin{Service: "models", Version: "v1"}
	v2 = Origin{Service: "models", Version: "v2"}
)

func record(attempt string, o Origin, ttl time.Duration) Record {
	return Record{Key: KeyOf("nelson", attempt), Origin: o, TTL: ttl}
}

// Guards against a stream whose version is taken from another stream's record, or from one that
// does not tell it.
func TestFind(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name    string
		records []Record
		after   time.Duration
		key     Key
		want    Finding
		origin  Origin
	}{
		{"recorded", []Record{record("a", v1, time.Minute)}, 0, KeyOf("nelson", "a"), Found, v1},
		{"recorded twice", []Record{record("a", v1, time.Minute), record("a", v1, time.Second)}, 2 * time.Second, KeyOf("nelson", "a"), Found, v1},
		{"extended", []Record{record("a", v1, time.Second), record("a", v1, time.Minute)}, 2 * time.Second, KeyOf("nelson", "a"), Found, v1},
		{"version without a name", []Record{record("a", Origin{Service: "models"}, time.Minute)}, 0, KeyOf("nelson", "a"), Found, Origin{Service: "models"}},
		{"versions that differ in case", []Record{record("a", Origin{"models", "V1"}, time.Minute), record("b", v1, time.Minute)}, 0, KeyOf("nelson", "a"), Found, Origin{"models", "V1"}},
		{"one attempt at two versions", []Record{record("a", v1, time.Minute), record("a", v2, time.Minute)}, 0, KeyOf("nelson", "a"), Ambiguous, Origin{}},
		{"and at the first again", []Record{record("a", v1, time.Minute), record("a", v2, time.Minute), record("a", v1, time.Minute)}, 0, KeyOf("nelson", "a"), Ambiguous, Origin{}},
		{"expired", []Record{record("a", v1, time.Second)}, time.Second, KeyOf("nelson", "a"), Unknown, Origin{}},
		{"another attempt", []Record{record("a", v1, time.Minute)}, 0, KeyOf("nelson", "A"), Unknown, Origin{}},
		{"another workspace", []Record{record("a", v1, time.Minute)}, 0, KeyOf("rupert", "a"), Unknown, Origin{}},
		{"workspace and attempt that join to the same text", []Record{{Key: KeyOf("ab", "c"), Origin: v1, TTL: time.Minute}}, 0, KeyOf("a", "bc"), Unknown, Origin{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := NewTable(start)
			for i := range tt.records {
				table.Put(&tt.records[i], start)
			}
			if got, finding := table.Find(tt.key, start.Add(tt.after)); finding != tt.want || got != tt.origin {
				t.Errorf("got %+v, finding %d, want those of the test case", got, finding)
			}
		})
	}
}

// Guards against memory that grows with the streams of the past.
func TestExpiredRecordsAreRemoved(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(now)
	for i := range 10_000 {
		now = now.Add(10 * time.Millisecond)
		r := record(fmt.Sprint(i), Origin{"models", fmt.Sprint("v", i/1000)}, time.Second)
		table.Put(&r, now)
	}
	if n, most := table.Len(), int((sweepInterval+time.Second)/(10*time.Millisecond)); n > most {
		t.Errorf("got %d records, want at most %d", n, most)
	}
	now = now.Add(time.Minute)
	r := record("last", v1, time.Second)
	table.Put(&r, now)
	if table.Len() != 1 || len(table.origins) != 1 {
		t.Errorf("got %d records and %d origins, want 1 of each", table.Len(), len(table.origins))
	}
}

// Guards against records that change on their way to another VM.
func TestBatch(t *testing.T) {
	records := []Record{record("a", v1, time.Second), record("b", v2, time.Minute), record("c", v1, 1001*time.Millisecond), record("d", Origin{"models", strings.Repeat("v", 300)}, time.Hour)}
	records[1].Content = 7
	b := Pack(records)
	got, err := b.Records()
	if err != nil || len(got) != len(records) || len(b.Origins) != 3 {
		t.Fatalf("got %d records of %d origins, error %v, want 4 of 3", len(got), len(b.Origins), err)
	}
	for i, r := range got {
		if r.Key != records[i].Key || r.Origin != records[i].Origin || r.Content != records[i].Content || r.TTL < records[i].TTL || r.TTL > records[i].TTL+ttlUnit {
			t.Errorf("got %+v, want %+v", r, records[i])
		}
	}
	for name, broken := range map[string]Batch{
		"keys cut short": {b.Origins, b.Keys[1:], b.Of, b.TTLs, b.Contents}, "a life missing": {b.Origins, b.Keys, b.Of, b.TTLs[1:], b.Contents}, "unknown origin": {b.Origins[:1], b.Keys, b.Of, b.TTLs, b.Contents},
		"a content missing": {b.Origins, b.Keys, b.Of, b.TTLs, b.Contents[1:]},
	} {
		if _, err := broken.Records(); err == nil {
			t.Errorf("%s: got no error", name)
		}
	}
	b.Contents = nil
	if got, err := b.Records(); err != nil || len(got) != len(records) {
		t.Errorf("got %d records of a former release, error %v, want %d", len(got), err, len(records))
	}
}

// Guards against a stream that is taken for the only one with its content, and against contents that are
// never forgotten.
func TestStreamsOfAContent(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(now)
	put := func(attempt string, content uint32, ttl time.Duration) {
		r := record(attempt, v1, ttl)
		r.Content = content
		table.Put(&r, now)
	}
	want := func(content uint32, want int) {
		t.Helper()
		if got := table.Streams(content); got != want {
			t.Errorf("got %d streams with content %d, want %d", got, content, want)
		}
	}
	put("a", 7, time.Second)
	put("a", 7, time.Minute)
	put("b", 7, time.Second)
	put("c", 0, time.Minute)
	put("d", 8, time.Second)
	want(7, 2)
	want(8, 1)
	want(9, 0)
	put("c", 7, time.Minute)
	want(7, 3)
	now = now.Add(2 * time.Second)
	put("b", 7, time.Second)
	want(7, 3)
	now = now.Add(sweepInterval)
	put("e", 10, time.Second)
	want(7, 2)
	want(8, 0)
	now = now.Add(2 * time.Minute)
	put("f", 11, time.Second)
	if len(table.streams) != 1 {
		t.Errorf("%d contents are remembered, want that of the last record", len(table.streams))
	}
}

func BenchmarkPut(b *testing.B) {
	now := time.Unix(1000, 0)
	table := NewTable(now)
	keys := make([]Record, 1<<16)
	for i := range keys {
		keys[i] = record(fmt.Sprint(i), v1, 30*time.Second)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		table.Put(&keys[i%len(keys)], now)
	}
}
