package plan

// Bounds of the part of an allowance that one VM may hold unspent.
//
// Load pattern: a hot workspace sends to many VMs at once, and most of its tokens
// are used early in the window. VMs die while they hold grants, which then count as
// spent until the window ends. Without a bound the first VM that asks would hold
// the whole allowance: the other VMs would refuse work that was paid for, and the
// death of that VM would lose the rest of the window. With grants of a fixed small
// size every request near the end of the window would cost a commit.
//
// Policy: the unspent grants of a VM stay within 1% of the allowance, and within a
// share of what is left that shrinks with the number of VMs that ask. Waiting
// requests are granted more than that, since their tokens are used at once. If
// three VMs of eleven are lost together, at most 3% of the allowance is lost
// unspent, plus what their running requests had reserved. The measured share is in
// docs/MEASUREMENTS-plans.md.
const (
	// idleDivisor bounds a VM's unspent grants to 1% of the allowance. At 0.1% a VM
	// that serves 1% of the allowance per second would ask ten times a second.
	idleDivisor = 100
	// leftDivisor is the divisor of what is left. Half of it is shared among the
	// VMs that ask; the other half remains for VMs that ask later.
	leftDivisor = 2
)

// prefetchShare is the amount that a VM with idle unspent grants may be granted
// before it is needed. holders is the number of VMs that ask.
func prefetchShare(limit, left, idle int64, holders int) int64 {
	ahead := min(limit/idleDivisor-idle, left/(leftDivisor*int64(max(holders, 1))))
	return max(ahead, 0)
}

// grantSize is the size of a grant in one dimension. need is for requests that wait
// now, want is need and what the VM expects to use until it asks again.
func grantSize(limit, left, idle, need, want int64, holders int) int64 {
	want = max(want, need)
	if left <= 0 || want <= 0 {
		return 0
	}
	return min(max(need, prefetchShare(limit, left, idle, holders)), want, left)
}
