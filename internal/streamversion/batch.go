package streamversion

import (
	"errors"
	"time"
)

// Batch is a list of records in its wire form: each origin is stated once.
type Batch struct {
	Origins []Origin `cbor:"1,keyasint"`
	// Keys holds the keys one after the other, and Of and TTLs the index of each one's origin
	// and its life in tenths of a second.
	Keys []byte   `cbor:"2,keyasint"`
	Of   []uint32 `cbor:"3,keyasint"`
	TTLs []uint32 `cbor:"4,keyasint"`
	// Contents holds the content of each record. A VM of a former release leaves it out.
	Contents []uint32 `cbor:"5,keyasint,omitempty"`
}

// ttlUnit is the unit of Batch.TTLs.
const ttlUnit = 100 * time.Millisecond

// errMalformedBatch means that the parts of a Batch do not fit together.
var errMalformedBatch = errors.New("streamversion: malformed batch of records")

// Pack returns the Batch of some records.
func Pack(records []Record) Batch {
	var b Batch
	indexes := map[Origin]uint32{}
	for i := range records {
		r := &records[i]
		index, ok := indexes[r.Origin]
		if !ok {
			index = uint32(len(b.Origins))
			indexes[r.Origin] = index
			b.Origins = append(b.Origins, r.Origin)
		}
		b.Keys = append(b.Keys, r.Key[:]...)
		b.Of = append(b.Of, index)
		b.TTLs = append(b.TTLs, uint32((r.TTL+ttlUnit-1)/ttlUnit))
		b.Contents = append(b.Contents, r.Content)
	}
	return b
}

// Records returns the records of a Batch.
func (b *Batch) Records() ([]Record, error) {
	n := len(b.Of)
	if len(b.TTLs) != n || len(b.Keys) != n*len(Key{}) || len(b.Contents) != n && len(b.Contents) != 0 {
		return nil, errMalformedBatch
	}
	out := make([]Record, n)
	for i := range out {
		if int(b.Of[i]) >= len(b.Origins) {
			return nil, errMalformedBatch
		}
		out[i] = Record{Key: Key(b.Keys[i*len(Key{}):]), Origin: b.Origins[b.Of[i]], TTL: time.Duration(b.TTLs[i]) * ttlUnit}
		if len(b.Contents) > 0 {
			out[i].Content = b.Contents[i]
		}
	}
	return out, nil
}
