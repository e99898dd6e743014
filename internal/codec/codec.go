// Package codec encodes what VMs send one another and write to their disks, as
// CBOR. It stands apart from the transport so that the pure packages need no
// sockets.
package codec

import "github.com/fxamacker/cbor/v2"

// Decoder limits: bytes from a broken or hostile sender must not make the
// decoder build huge or deep values before its content is looked at.
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

// Marshal encodes a value.
func Marshal(v any) ([]byte, error) { return cbor.Marshal(v) }

// Unmarshal decodes a value within this package's limits.
func Unmarshal(data []byte, v any) error { return decMode.Unmarshal(data, v) }
