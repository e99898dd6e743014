// Package codec encodes messages between VMs and data on disk as CBOR. It is separate from
// the transport: a package without I/O can import codec and does not depend on sockets.
package codec

import (
	"bytes"
	"encoding/binary"
	"math"

	"github.com/fxamacker/cbor/v2"
)

// Limits of the decoder. Data from a faulty or hostile sender must not make the decoder
// build huge or deeply nested values before the content is validated.
const (
	maxArrayElements = 1 << 20
	maxMapPairs      = 1 << 16
	maxNesting       = 16
)

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNesting,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

var encMode = func() cbor.UserBufferEncMode {
	m, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Append appends the encoding of a value, as Marshal returns it, to a buffer.
func Append(buf *bytes.Buffer, v any) error { return encMode.MarshalToBuffer(v, buf) }

// ArrayHeader returns the encoding of an array with n elements up to its first element.
func ArrayHeader(n int) []byte {
	const array, oneByte, twoBytes, fourBytes = 0x80, 24, 25, 26
	switch {
	case n < oneByte:
		return []byte{array | byte(n)}
	case n <= math.MaxUint8:
		return []byte{array | oneByte, byte(n)}
	case n <= math.MaxUint16:
		return binary.BigEndian.AppendUint16([]byte{array | twoBytes}, uint16(n))
	}
	return binary.BigEndian.AppendUint32([]byte{array | fourBytes}, uint32(n))
}

// Marshal encodes a value as CBOR.
func Marshal(v any) ([]byte, error) { return cbor.Marshal(v) }

// Unmarshal decodes CBOR into v. It returns an error if the data exceeds the limits of
// this package.
func Unmarshal(data []byte, v any) error { return decMode.Unmarshal(data, v) }
