package call

import "time"

// Limits bound the part's memory. A claim takes 270 bytes besides its texts and
// its answer (BenchmarkClaimAndFinish); with every bound of DefaultLimits reached
// the part holds about 75 MB on each control VM.
type Limits struct {
	ClaimRetention time.Duration // a claim and its answer are kept this long after the claim
	KeyRetention   time.Duration // a used key is refused, not run, at least this long
	SealAfter      time.Duration // age after which a claim without news may be sealed
	MaxClaims      int           // kept at once
	MaxKeys        int           // digests of used keys
	MaxAnswerBytes int           // of one answer; larger ones are kept without their body
	MaxTotalBytes  int           // of all answers, running claims counted at AnswerBytes
	MaxAttempts    int           // permissions of one claim
}

// DefaultLimits returns the limits of a control VM.
//
// Retention: callers resend within seconds; ten minutes cover one that lost its
// network for a while. KeyMemory: a day covers devices that send their backlog
// the next morning. SealAfter: above the longest call (30 s) with its commit.
// MaxKeys: 24 new calls a second for a whole day, at 8 bytes each.
func DefaultLimits() Limits {
	return Limits{
		ClaimRetention: 10 * time.Minute, KeyRetention: 24 * time.Hour, SealAfter: 70 * time.Second,
		MaxClaims: 1 << 16, MaxKeys: 1 << 21, MaxAnswerBytes: 16 << 10, MaxTotalBytes: 32 << 20,
		MaxAttempts: 3,
	}
}

// workspaceShare is the part of each bound that one workspace may fill: a hot
// workspace must not close the service to all others.
const workspaceShare = 2

// clockSlack is how far a key's own time may lie ahead of the group's clock.
const clockSlack = 5 * time.Minute
