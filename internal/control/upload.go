package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

// The load pattern. A proposer sends the leader a command of megabytes in one message.
// The heartbeats' answers wait behind it on the leader's link, and the leader steps
// down before it has the command.
//
// So a large command is packed, once, and travels in pieces, one at a time: at most one
// piece of it is on the links, and its time limit is one piece's. It stays packed in the
// log, which goes to each follower.

const (
	// uploadPieceBytes: a larger command goes in pieces of this size.
	uploadPieceBytes = peer.PieceBytes
	// uploadLife is how long a leader keeps a command whose next piece does not come.
	uploadLife = 5 * time.Second
	// maxUploadBytes bounds the commands that a leader holds in part.
	maxUploadBytes = 2 * maxCommandBytes
)

// upload sends a command piece by piece; the answer to the last one is the outcome.
func (r *RemoteClient) upload(ctx context.Context, vm string, q request) (reply, bool, error) {
	number := rand.Uint64()
	for offset := 0; ; offset += uploadPieceBytes {
		end := min(offset+uploadPieceBytes, len(q.Body))
		last := end == len(q.Body)
		out, ran, err := r.exchange(ctx, vm, request{
			Op: opPiece, Part: q.Part, ID: q.ID, Packed: q.Packed, Upload: number,
			Offset: offset, Total: len(q.Body), Piece: q.Body[offset:end],
		})
		if last || err != nil || out.Status != statusOK {
			return out, ran && last, err
		}
	}
}

// uploads are the commands that a leader holds in part. Safe for concurrent use.
type uploads struct {
	mu    sync.Mutex
	byKey map[uploadKey]*upload
}

// uploadKey names an upload: a VM may propose one command twice at once.
type uploadKey struct {
	vm     string
	number uint64
}

type upload struct {
	data  []byte
	total int
	at    time.Time // of the last piece
}

// add takes a piece. The status is statusOK, with the command if it is whole now;
// statusWanted if the proposer must begin anew, statusBusy if there is no room.
func (u *uploads) add(vm string, q request, now time.Time) (command []byte, s status) {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := uploadKey{vm, q.Upload}
	if q.Offset == 0 {
		if !u.begin(key, q.Total, now) {
			return nil, statusBusy
		}
	}
	up := u.byKey[key]
	if up == nil || q.Offset != len(up.data) || q.Offset+len(q.Piece) > up.total || len(q.Piece) == 0 {
		return nil, statusWanted
	}
	up.data, up.at = append(up.data, q.Piece...), now
	if len(up.data) < up.total {
		return nil, statusOK
	}
	delete(u.byKey, key)
	return up.data, statusOK
}

// begin makes room for a command, in place of those whose proposers have gone.
func (u *uploads) begin(key uploadKey, total int, now time.Time) bool {
	held := 0
	for k, up := range u.byKey {
		if now.Sub(up.at) > uploadLife {
			delete(u.byKey, k)
			continue
		}
		held += up.total
	}
	if total <= 0 || held+total > maxUploadBytes {
		return false
	}
	if u.byKey == nil {
		u.byKey = map[uploadKey]*upload{}
	}
	u.byKey[key] = &upload{total: total, at: now}
	return true
}
