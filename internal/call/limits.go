package call

import "time"

// Limits bound the state machine's memory. A claim takes 270 bytes in addition to
// its strings and its answer (BenchmarkClaimAndFinish). With every bound of
// DefaultLimits reached, the state machine takes about 75 MB on each control VM.
type Limits struct {
	ClaimRetention time.Duration // of a claim and its answer, from the claim on
	KeyRetention   time.Duration // minimum time for which a used key is refused
	SealAfter      time.Duration // age of the last permission after which a claim may be sealed
	MaxClaims      int           // number of claims kept
	MaxKeys        int           // number of digests of used keys
	MaxAnswerBytes int           // of one answer; a larger one is kept without its body
	MaxTotalBytes  int           // of all answers; running claims count MaxAnswerBytes each
	MaxAttempts    int           // permissions of one claim
}

// DefaultLimits returns the limits of a control VM.
//
// ClaimRetention: callers resend within seconds; ten minutes cover a caller that
// lost its network for a while. KeyRetention: a day covers devices that send their
// backlog the next morning. SealAfter is above the longest call (30 s) with its
// commit. MaxKeys allows 24 new calls per second for a day, at 8 bytes each.
func DefaultLimits() Limits {
	return Limits{
		ClaimRetention: 10 * time.Minute, KeyRetention: 24 * time.Hour, SealAfter: 70 * time.Second,
		MaxClaims: 1 << 16, MaxKeys: 1 << 21, MaxAnswerBytes: 16 << 10, MaxTotalBytes: 32 << 20,
		MaxAttempts: 3,
	}
}

// workspaceDivisor bounds the share of each limit that one workspace may use: half
// of it. Otherwise a busy workspace could block the service for all others.
const workspaceDivisor = 2

// maxKeyClockSkew is how far the time of a UUIDv7 key may be ahead of the control
// group's clock.
const maxKeyClockSkew = 5 * time.Minute
