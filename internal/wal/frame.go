package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A frame is header and payload. The header, little endian: magic (4 bytes),
// payload length (4), sequence number (8), CRC32C of length, sequence number,
// kind and payload (4), kind (1).
const (
	headerBytes = 21
	// MaxFrameBytes bounds a payload, so that a damaged length cannot make the
	// reader allocate the rest of the address space.
	MaxFrameBytes = 64 << 20
)

var magic = []byte{0xA5, 's', 'h', 0xE1}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type kind byte

const (
	kindEntry      kind = 1
	kindCheckpoint kind = 2 // replaces everything before it
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

// checksum covers a frame but for its magic and the checksum itself.
func checksum(b []byte) uint32 {
	sum := crc32.Update(0, castagnoli, b[4:16])
	return crc32.Update(sum, castagnoli, b[20:])
}

// parseFrame reads the frame at the start of data and returns its length in
// bytes; ok is false where no whole frame stands there.
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

// wholeFrameAfter reports whether a whole frame stands anywhere in data.
func wholeFrameAfter(data []byte) bool {
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

// DamageError reports a file whose middle is damaged: the entries after the
// damage were acknowledged, so that cutting them would break a promise.
type DamageError struct {
	File   string
	Offset int64 // bytes from the file's start
	Reason string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("wal: %s is damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}
