// Package cluster keeps the VMs that route requests and the control VMs informed
// of one another. A VM is told nothing but a few control addresses, which may be
// old; everything else it learns from the control VMs that answer.
//
// Each VM sends a small notice to every control VM some times a second: that it
// is there, whether it takes callers, and, for the control VM that decides about engines
// and the next one, what it has running on each backend server. The answer brings the
// control VMs known there. One of them is asked for what has changed in the list of
// backend servers, and the one that decides for what the other VMs do.
//
// Safeguards. A VM is in the directory only while its notices come, so that one
// that died, froze or was cut off leaves it within a second and no message is
// needed for that. Every control VM hears every VM itself: no control VM's loss
// empties the directory.
//
// A control VM without a disk is an Observer: it has no vote, hears no notices of
// use, and answers callers and operators by what it asks of the others.
package cluster

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
)

// Timings.
const (
	// NoticeEvery is how often a VM sends its notice. An engine that restarts is
	// usable again once its new incarnation is known here.
	HeartbeatInterval = 400 * time.Millisecond
	// searchEvery is the same until the first list of backend servers is held: control
	// VMs and routers are started together, and a router may be early.
	searchEvery = 100 * time.Millisecond
	// urgentEvery is the same while a new version has nearly all requests, and may turn
	// out bad.
	urgentEvery = 150 * time.Millisecond
	// noticeTimeout: a control VM that does not answer by then is asked again with
	// the next notice.
	noticeTimeout = 350 * time.Millisecond
	// presentFor: two notices missed and the third due. Callers of a frozen router wait
	// for it until then.
	presentFor = 1100 * time.Millisecond
	// staleList: a list this old is asked for at every control VM. It is read each
	// 0.4 s, and told with the next notice.
	staleList = 1200 * time.Millisecond
	// sameReading is how much the ages of one reading of the list may differ.
	sameReading = 100 * time.Millisecond
	// toldControls are told of the use of engines: the control VM that decides, and the
	// one that does once that is lost. A third hears of it with the first notice that
	// finds both lost.
	toldControls = 2
	// forgetAfter is how long a control VM that was learnt is kept without a word
	// from anybody that it still is one, and how long it is known where a silent VM's
	// streams ran: callers whose connections hang come back within it.
	forgetAfter = 30 * time.Second
	// keptFor is how long the copies of a silent VM's streams are there: engines keep
	// them for some seconds.
	keptFor = 5 * time.Second
	// findTimeout bounds the question for a copy: without one the prompt is read anew,
	// which costs a second.
	findTimeout = 100 * time.Millisecond
	// deathsFor is how long a death is told on: each VM hears it several times, and
	// counts it once.
	deathsFor = 1500 * time.Millisecond
)

// Notice is what a VM says of itself.
type Heartbeat struct {
	Zone        string                 `cbor:"1,keyasint"`
	Endpoint    string                 `cbor:"2,keyasint,omitempty"` // ip:port; empty: takes none
	Ready       bool                   `cbor:"3,keyasint,omitempty"`
	UseReport   UseReport              `cbor:"4,keyasint"` // use of backend servers; empty: not for this control VM
	Deaths      []recovery.Death       `cbor:"5,keyasint,omitempty"`
	ListDigest  uint64                 `cbor:"6,keyasint,omitempty"`  // digest of the list of backend servers; 0: none is held
	ListAgeMS   int64                  `cbor:"7,keyasint,omitempty"`  // ms; how old that list is
	WantSummary bool                   `cbor:"8,keyasint,omitempty"`  // a Summary is wanted
	Dead        []string               `cbor:"9,keyasint,omitempty"`  // backend servers judged dead lately
	Runs        []forward.ResumableRun `cbor:"10,keyasint,omitempty"` // streams here with a copy
	Spent       RetrySpending          `cbor:"11,keyasint"`           // of the services' retry budgets
	Control     bool                   `cbor:"12,keyasint,omitempty"` // sent by a control VM with a disk
	// WantEntrances: the directory is wanted, by an Observer.
	WantEndpoints bool `cbor:"13,keyasint,omitempty"`
	// WantUse: the use of engines is wanted with the Summary; RoutersHeld is the digest of
	// the names of routers that are held.
	WantUse       bool   `cbor:"14,keyasint,omitempty"`
	RoutersDigest uint64 `cbor:"15,keyasint,omitempty"`
	// WantChanges: what has changed in the list since Held is wanted.
	WantChanges bool `cbor:"16,keyasint,omitempty"`
	// Rollouts is what this VM observed of the roll-outs under way.
	Rollouts []rollout.Report `cbor:"17,keyasint,omitempty"`
}

// Answer is a control VM's reply.
type HeartbeatReply struct {
	Controls []string `cbor:"1,keyasint"`
	// Encoded is a Summary, for those who want it, EncodedUse the use of engines, and
	// Own the asker's part of both. Routers are the VMs that take callers, where they
	// are not those held.
	EncodedSummary cbor.RawMessage            `cbor:"3,keyasint,omitempty"`
	OwnUse         map[string]placement.Usage `cbor:"4,keyasint,omitempty"`
	EncodedUse     cbor.RawMessage            `cbor:"9,keyasint,omitempty"`
	Routers        []string                   `cbor:"11,keyasint,omitempty"`
	// Digest and AgeMS are of the control VM's list; Changed leads to it from the one
	// held. Where it is missing and the digests differ, the list is to be fetched.
	ListDigest uint64            `cbor:"5,keyasint,omitempty"`
	ListAgeMS  int64             `cbor:"6,keyasint"`
	HasList    bool              `cbor:"7,keyasint,omitempty"`
	Changes    *PackedDifference `cbor:"15,keyasint,omitempty"`
	// Spent is what the other VMs together spent of the retry budgets, by service.
	Spent map[string]forward.RetryUsage `cbor:"10,keyasint,omitempty"`
	// Entrances are the callers' addresses of all VMs that take callers.
	Endpoints []string `cbor:"12,keyasint,omitempty"`
	// Observer: the VM that answers is an Observer, and knows nothing but Controls.
	Observer bool `cbor:"13,keyasint,omitempty"`
}
