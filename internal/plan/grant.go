package plan

// How much of an allowance one VM may hold unspent.
//
// Load pattern: a hot workspace calls on many VMs at once, most of its tokens go
// early in the window, and VMs die with grants out, which then count as spent
// until the window ends. Without a bound the first VM to ask would hold the
// whole allowance: the others refuse work that was paid for, and its death takes
// the rest of the window with it. With grants of a fixed small size every
// request near the window's end would cost a commit.
//
// Policy: the unspent holding of a VM stays within 1% of the allowance and
// within a share of what is left that shrinks with the number of VMs that ask;
// waiting requests are served beyond that, since their tokens are put to work at
// once. Three VMs of eleven lost together so lose at most 3% idle plus what
// their running requests had reserved; the measured share is in
// docs/MEASUREMENTS-plans.md.
const (
	// holdDivisor: 1% of the allowance. At 0.1% a VM that serves 1% of the
	// allowance a second would ask ten times a second.
	holdDivisor = 100
	// leftDivisor: half of what is left is spread over the VMs that ask, so that
	// a VM that asks later still finds something.
	leftDivisor = 2
)

// share is what a VM that holds idle may be given ahead of need.
func share(limit, left, idle int64, heads int) int64 {
	ahead := min(limit/holdDivisor-idle, left/(leftDivisor*int64(max(heads, 1))))
	return max(ahead, 0)
}

// size is the grant for one dimension: need is for requests that wait now, want
// is need and what the VM expects to use until it asks again.
func size(limit, left, idle, need, want int64, heads int) int64 {
	want = max(want, need)
	if left <= 0 || want <= 0 {
		return 0
	}
	return min(max(need, share(limit, left, idle, heads)), want, left)
}
