package handoff

import "net/http"

// Request is a caller's request that one VM offers to another. ID is unique for the VM that
// offers it.
type Request struct {
	ID      uint64      `cbor:"1,keyasint"`
	Service string      `cbor:"2,keyasint"`
	Method  string      `cbor:"3,keyasint"`
	URI     string      `cbor:"4,keyasint"`
	Host    string      `cbor:"5,keyasint"`
	Header  http.Header `cbor:"6,keyasint"` // states the time that is left
	Body    []byte      `cbor:"7,keyasint,omitempty"`
}

// OfferReply states whether the VM takes the request. It starts it with the first read.
type OfferReply struct {
	Taken bool `cbor:"1,keyasint,omitempty"`
	// StatesEnd reports that the VM states of each answer whether it is complete. VMs of
	// former builds do not.
	StatesEnd bool `cbor:"2,keyasint,omitempty"`
}

// ReadRequest asks for the answer to a request from an offset of its body on. The reader holds
// all before it.
type ReadRequest struct {
	ID     uint64 `cbor:"1,keyasint"`
	Offset int64  `cbor:"2,keyasint,omitempty"`
	// HasHead states that the reader holds the head.
	HasHead bool `cbor:"3,keyasint,omitempty"`
	// KeepMS is how long the request is kept without another read: the reader then goes on
	// elsewhere. VMs of former builds do not state it.
	KeepMS int64 `cbor:"4,keyasint,omitempty"`
}

// Piece is part of an answer.
type Piece struct {
	Known  bool        `cbor:"1,keyasint,omitempty"` // false: the VM does not have the request
	Status int         `cbor:"2,keyasint,omitempty"` // 0: there is no head yet
	Header http.Header `cbor:"3,keyasint,omitempty"` // with the head that the reader lacks
	Data   []byte      `cbor:"4,keyasint,omitempty"`
	End    bool        `cbor:"5,keyasint,omitempty"`
	// Aborted is set with End if the answer is not complete. A VM that states the end sets
	// exactly one of Aborted and Complete.
	Aborted bool `cbor:"6,keyasint,omitempty"`
	// Complete is set with End if the answer is complete.
	Complete bool `cbor:"7,keyasint,omitempty"`
}

// ReleaseRequest ends a request: its caller has the whole answer, or has left.
type ReleaseRequest struct {
	ID uint64 `cbor:"1,keyasint"`
}
