package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A frame consists of a header and a payload. The header is little endian and contains
// the magic (4 bytes), the payload length (4), the sequence number (8), the CRC32C of
// length, sequence number, kind and payload (4), and the kind (1).
const (
	headerBytes = 21
	// MaxFrameBytes bounds the payload of a frame. A damaged length field therefore
	// cannot make the reader allocate an arbitrary amount of memory.
	MaxFrameBytes = 64 << 20
)

var magic = []byte{0xA5, 's', 'h', 0xE1}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type kind byte

const (
	kindEntry      kind = 1
	kindCheckpoint kind = 2 // replaces all frames before it but the parts directly before
	// kindCheckpointPart belongs to the checkpoint that follows, and counts for nothing without.
	kindCheckpointPart kind = 3
)

type frame struct {
	seq     uint64
	kind    kind
	payload []byte
}

func appendFrame(dst []byte, f frame) []byte {
	start := len(dst)
	dst = append(dst, magic...)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(f.payload)))
	dst = binary.LittleEndian.AppendUint64(dst, f.seq)
	dst = binary.LittleEndian.AppendUint32(dst, 0)
	dst = append(dst, byte(f.kind))
	dst = append(dst, f.payload...)
	binary.LittleEndian.PutUint32(dst[start+16:], checksum(dst[start:]))
	return dst
}

// checksum computes the checksum of an encoded frame, which covers everything except
// the magic and the checksum itself.
func checksum(b []byte) uint32 {
	sum := crc32.Update(0, castagnoli, b[4:16])
	return crc32.Update(sum, castagnoli, b[20:])
}

// parseFrame decodes the frame at the start of data and returns its length in bytes.
// ok is false if data does not start with a complete, undamaged frame.
func parseFrame(data []byte) (f frame, size int, ok bool) {
	if len(data) < headerBytes || !bytes.Equal(data[:4], magic) {
		return frame{}, 0, false
	}
	length := binary.LittleEndian.Uint32(data[4:])
	if length > MaxFrameBytes || int(length) > len(data)-headerBytes {
		return frame{}, 0, false
	}
	size = headerBytes + int(length)
	if binary.LittleEndian.Uint32(data[16:]) != checksum(data[:size]) {
		return frame{}, 0, false
	}
	return frame{
		seq: binary.LittleEndian.Uint64(data[8:]), kind: kind(data[20]), payload: data[headerBytes:size],
	}, size, true
}

// containsFrame reports whether data contains a complete frame at any offset.
func containsFrame(data []byte) bool {
	for {
		i := bytes.Index(data, magic)
		if i < 0 {
			return false
		}
		data = data[i:]
		if _, _, ok := parseFrame(data); ok {
			return true
		}
		data = data[1:]
	}
}

// DamageError reports a damaged or missing file whose data may have been acknowledged.
// Such a file is not truncated, because that would lose acknowledged entries.
type DamageError struct {
	File   string
	Offset int64 // bytes from the file's start
	Reason string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("wal: %s is damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}
