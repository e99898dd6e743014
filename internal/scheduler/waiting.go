package scheduler

import (
	"slices"
	"time"
)

// enqueue adds a stream that does not wait yet.
func (v *service) enqueue(w *waiter) {
	if v.waitingByID == nil {
		v.waitingByID = map[string]*waiter{}
	}
	v.arrived++
	w.arrival = v.arrived
	w.renewal = v.renewals.PushBack(w)
	v.waiting = append(v.waiting, w)
	v.added++
	v.setUnexamined(w, true)
	v.waitingByID[w.ID] = w
	v.waitingTokens += w.Need.Tokens()
}

func (v *service) setUnexamined(w *waiter, unexamined bool) {
	if w.unexamined == unexamined {
		return
	}
	if w.unexamined = unexamined; unexamined {
		v.unexamined++
	} else {
		v.unexamined--
	}
}

// remove removes the streams that match from those that wait.
func (v *service) remove(match func(*waiter) bool) {
	sorted := len(v.waiting) - v.added
	i := -1
	v.waiting = slices.DeleteFunc(v.waiting, func(w *waiter) bool {
		if i++; !match(w) {
			return false
		}
		if i >= sorted {
			v.added--
		}
		v.setUnexamined(w, false)
		delete(v.waitingByID, w.ID)
		v.renewals.Remove(w.renewal)
		v.waitingTokens -= w.Need.Tokens()
		return true
	})
}

// expireWaiting removes the streams whose VM no longer asks for them.
func (v *service) expireWaiting(now time.Time) {
	expired := func(w *waiter) bool { return now.Sub(w.renewedAt) > waiterTTL }
	if first := v.renewals.Front(); first != nil && expired(first.Value.(*waiter)) {
		v.remove(expired)
	}
}
