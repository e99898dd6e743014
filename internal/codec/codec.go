// Package codec encodes messages between VMs and data on disk as CBOR. It is separate from
// the transport: a package without I/O can import codec and does not depend on sockets.
package codec

import "github.com/fxamacker/cbor/v2"

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

// Marshal encodes a value as CBOR.
func Marshal(v any) ([]byte, error) { return cbor.Marshal(v) }

// Unmarshal decodes CBOR into v. It returns an error if the data exceeds the limits of
// this package.
func Unmarshal(data []byte, v any) error { return decMode.Unmarshal(data, v) }
