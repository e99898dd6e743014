package codec

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// Pack compresses data with DEFLATE. Lists of similar rows shrink to a fifth or less.
func Pack(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Unpack decompresses the result of Pack. It returns an error if the decompressed data
// exceeds limit, in bytes.
func Unpack(data []byte, limit int) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	plain, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > limit {
		return nil, fmt.Errorf("codec: decompressed data exceeds %d bytes", limit)
	}
	return plain, nil
}

// MarshalPacked encodes a value and compresses it.
func MarshalPacked(v any) ([]byte, error) {
	data, err := Marshal(v)
	if err != nil {
		return nil, err
	}
	return Pack(data)
}

// UnmarshalPacked decompresses and decodes the result of MarshalPacked. It returns an error
// if the decompressed data exceeds limit, in bytes.
func UnmarshalPacked(data []byte, limit int, v any) error {
	plain, err := Unpack(data, limit)
	if err != nil {
		return err
	}
	return Unmarshal(plain, v)
}
