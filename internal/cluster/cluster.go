// Package cluster exchanges state between the VMs that route requests and the
// control VMs. A VM is configured with a few control addresses, which may be
// outdated. It learns everything else from the control VMs that answer.
//
// Each VM sends a small heartbeat to every control VM several times a second. The
// heartbeat says that the VM is alive and whether it accepts callers. The control VM
// that schedules engines and its successor also receive the VM's use of each backend
// server. Each reply lists the control VMs known to its sender. One control VM is
// asked for changes of the list of backend servers, and the scheduling one for what
// the other VMs reported.
//
// Safeguards. A VM is in the directory only while its heartbeats arrive. A VM that
// died, froze or was partitioned leaves it within about a second, without any message.
// Every control VM receives the heartbeats of every VM, and therefore the loss of one
// control VM does not empty the directory.
//
// A control VM without a disk is an Observer. It has no vote and receives no reports
// of engine use. It answers callers and operators with what it fetches from the voters.
package cluster

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/capacity"
	"github.com/amaranthshelf/amaranthshelf/internal/decider"
	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/overload"
	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
)

// Timings.
const (
	// HeartbeatInterval is the time between two heartbeats of a VM. A restarted engine
	// is usable again only once its new incarnation has arrived with a heartbeat reply.
	HeartbeatInterval = 400 * time.Millisecond
	// initialHeartbeatInterval applies until the VM holds its first list of backend
	// servers. Control VMs and routers start together, and a router may be ready first.
	initialHeartbeatInterval = 100 * time.Millisecond
	// targetsWithoutList is how many control VMs are sent a heartbeat each
	// initialHeartbeatInterval. The others are sent one each HeartbeatInterval.
	targetsWithoutList = 2
	// urgentHeartbeatInterval applies while a new engine version receives nearly all
	// requests and may still prove faulty.
	urgentHeartbeatInterval = 150 * time.Millisecond
	// heartbeatTimeout bounds the wait for a reply. A control VM that misses it is
	// asked again with the next heartbeat.
	heartbeatTimeout = 350 * time.Millisecond
	// presenceTimeout is the silence after which a VM counts as gone: two heartbeats
	// are missing and the third is due. Callers of a frozen router wait this long.
	presenceTimeout = 1100 * time.Millisecond
	// expiryInterval is how often a control VM looks for silent VMs.
	expiryInterval = 50 * time.Millisecond
	// staleListAge is the age from which a VM asks every control VM for changes. The
	// list is read from the platform every 0.4 s and arrives with the next heartbeat.
	staleListAge = 1200 * time.Millisecond
	// listAgeTolerance is how much the reported ages of one read of the list may differ.
	listAgeTolerance = 100 * time.Millisecond
	// useReportTargets is how many control VMs receive reports of engine use: the one
	// that schedules and its successor. A third receives them with the first heartbeat
	// after both are lost.
	useReportTargets = 2
	// forgetAfter is how long a learned control VM is remembered without any reply that
	// names it. It is also how long the engines of a silent VM's streams are remembered:
	// callers whose connections hang reconnect within it.
	forgetAfter = 30 * time.Second
	// copyLifetime is how long the backup copies of a silent VM's streams are offered.
	// Engines keep a copy for a few seconds.
	copyLifetime = 5 * time.Second
	// deathReportTTL is how long a reported death is forwarded. Each VM receives it
	// several times and counts it once.
	deathReportTTL = 1500 * time.Millisecond
)

// Heartbeat is the periodic report of a VM about itself.
type Heartbeat struct {
	Zone        string                 `cbor:"1,keyasint"`
	Endpoint    string                 `cbor:"2,keyasint,omitempty"` // ip:port for callers; empty: accepts none
	Ready       bool                   `cbor:"3,keyasint,omitempty"`
	UseReport   UseReport              `cbor:"4,keyasint"`            // empty for control VMs that do not schedule
	Deaths      []recovery.Death       `cbor:"5,keyasint,omitempty"`  // for control VMs that keep no records of contents
	ListDigest  uint64                 `cbor:"6,keyasint,omitempty"`  // of the list of backend servers; 0: the VM holds none
	ListAgeMS   int64                  `cbor:"7,keyasint,omitempty"`  // of that list
	WantSummary bool                   `cbor:"8,keyasint,omitempty"`  // requests a Summary
	Dead        []string               `cbor:"9,keyasint,omitempty"`  // backend servers recently judged dead
	Runs        []forward.ResumableRun `cbor:"10,keyasint,omitempty"` // streams of this VM, with their engines and backup copies
	Spent       RetrySpending          `cbor:"11,keyasint"`           // of the services' retry budgets
	Control     bool                   `cbor:"12,keyasint,omitempty"` // sent by a control VM with a disk
	// WantEndpoints requests the directory. Only an Observer sets it.
	WantEndpoints bool `cbor:"13,keyasint,omitempty"`
	// WantUse requests the use of engines with the Summary. RoutersDigest is the digest
	// of the router names that this VM already holds.
	WantUse       bool   `cbor:"14,keyasint,omitempty"`
	RoutersDigest uint64 `cbor:"15,keyasint,omitempty"`
	// WantChanges requests the changes of the list since ListDigest.
	WantChanges bool `cbor:"16,keyasint,omitempty"`
	// Rollouts are this VM's observations of the roll-outs in progress.
	Rollouts []rollout.Report `cbor:"17,keyasint,omitempty"`
	// Limits are the rate limits that this VM knows differently than the last Summary.
	Limits []ServerLimit `cbor:"18,keyasint,omitempty"`
	// SentElsewhere counts, by server id, the requests that this process sent under a rate
	// limit without a permit of the receiver.
	SentElsewhere map[string]uint64 `cbor:"19,keyasint,omitempty"`
	// Leaving are the backend servers that leave by their own statement and that the last
	// Summary did not name.
	Leaving []string `cbor:"20,keyasint,omitempty"`
	// SkipRouters asks for no names of routers, although those with RoutersDigest may have
	// changed since.
	SkipRouters bool `cbor:"21,keyasint,omitempty"`
	// ControlsDigest is the digest of the Controls in the receiver's last reply; 0: none.
	ControlsDigest uint64 `cbor:"22,keyasint,omitempty"`
	// Contents are the records of suspect contents that the receiver may not know.
	// WantContents asks for those of the receiver, unless their version is ContentsVersion.
	Contents        []ContentReport `cbor:"28,keyasint,omitempty"`
	ContentsVersion uint64          `cbor:"29,keyasint,omitempty"`
	WantContents    bool            `cbor:"30,keyasint,omitempty"`
	// Lost are the services of which the sender reaches no server. Hears are those of the lost
	// ones, here or by the last Summary, of which it has just heard a server.
	Lost  []string `cbor:"31,keyasint,omitempty"`
	Hears []string `cbor:"32,keyasint,omitempty"`
	// KeepsVersions is sent by a control VM that knows the versions of services in the group's
	// log.
	KeepsVersions bool `cbor:"33,keyasint,omitempty"`
	// Capacity is the size of this VM and Load the share in use, in thousandths; 0: unknown.
	Capacity *capacity.Size `cbor:"24,keyasint,omitempty"`
	Load     uint16         `cbor:"25,keyasint,omitempty"`
	// Term is the newest term that the sending control VM knows; nil: it states no terms.
	Term *decider.Term `cbor:"23,keyasint,omitempty"`
	// HolderHeardMS is the time in milliseconds since the sender itself heard the holder of
	// Term, plus 1; 0: the holder is the sender or is silent.
	HolderHeardMS int64 `cbor:"27,keyasint,omitempty"`
}

// HeartbeatReply is a control VM's reply to a Heartbeat.
type HeartbeatReply struct {
	// Controls are the ids of the control VMs known to the sender. They are omitted if
	// ControlsUnchanged is set: the receiver has stated their digest.
	Controls          []string `cbor:"1,keyasint"`
	ControlsUnchanged bool     `cbor:"16,keyasint,omitempty"`
	// EncodedSummary is the requested Summary and EncodedUse the requested use of
	// engines. OwnUse is the receiver's own share of both. Routers are the VMs that
	// accept callers; it is empty if the receiver already holds these names, or skips them.
	EncodedSummary cbor.RawMessage            `cbor:"3,keyasint,omitempty"`
	OwnUse         map[string]placement.Usage `cbor:"4,keyasint,omitempty"`
	EncodedUse     cbor.RawMessage            `cbor:"9,keyasint,omitempty"`
	Routers        []string                   `cbor:"11,keyasint,omitempty"`
	// ListDigest and ListAgeMS describe the control VM's list, and Changes leads to it
	// from the receiver's list. If Changes is missing and the digests differ, the
	// receiver fetches the whole list.
	ListDigest uint64            `cbor:"5,keyasint,omitempty"`
	ListAgeMS  int64             `cbor:"6,keyasint"`
	HasList    bool              `cbor:"7,keyasint,omitempty"`
	Changes    *PackedDifference `cbor:"15,keyasint,omitempty"`
	// Spent is what all other VMs spent of the retry budgets, by service.
	Spent map[string]forward.RetryUsage `cbor:"10,keyasint,omitempty"`
	// Endpoints are the addresses of all VMs that accept callers.
	Endpoints []string `cbor:"12,keyasint,omitempty"`
	// EndpointsHeld reports that the sender does not know yet which VMs are cordoned, and
	// Endpoints are missing.
	EndpointsHeld bool `cbor:"22,keyasint,omitempty"`
	// Observer reports that the sender is an Observer, whose reply holds only Controls.
	Observer bool `cbor:"13,keyasint,omitempty"`
	// Weights are the weights of the Endpoints; empty: all are equal. Zones are their zones;
	// nil: callers' zones make no difference.
	Weights []uint16       `cbor:"19,keyasint,omitempty"`
	Zones   *EndpointZones `cbor:"21,keyasint,omitempty"`
	// Balance is sent with the Summary while VMs are weighted.
	Balance *Balance `cbor:"20,keyasint,omitempty"`
	// ContentsVersion is the version of the sender's records of suspect contents; 0: it keeps
	// none. Contents are missing if the receiver has stated that version.
	ContentsVersion uint64          `cbor:"28,keyasint,omitempty"`
	Contents        []ContentReport `cbor:"29,keyasint,omitempty"`
	// Levels are the refusal levels by service if the sender decides about streams.
	Levels map[string]overload.Level `cbor:"18,keyasint,omitempty"`
	// Term is the newest term that the sender knows; nil: it states no terms.
	Term *decider.Term `cbor:"17,keyasint,omitempty"`
	// HolderHeardMS is as in Heartbeat.
	HolderHeardMS int64 `cbor:"27,keyasint,omitempty"`
}
