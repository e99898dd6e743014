package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

// This file answers overload by large commands. A proposer sends the leader a command of
// megabytes in one message. The replies to heartbeats queue behind it on the leader's
// link, and the leader steps down before it has received the command.
//
// For this reason a large command is compressed once and sent in pieces, one at a time.
// At most one piece occupies the links, and the timeout applies to one piece. The command
// stays compressed in the log, which is sent to each follower.

const (
	// uploadPieceBytes is the size of a piece. Larger commands are sent in pieces.
	uploadPieceBytes = peer.PieceBytes
	// uploadTimeout is how long a leader keeps an incomplete command without a new piece.
	uploadTimeout = 5 * time.Second
	// maxUploadBytes bounds the total size of the incomplete commands on a leader.
	maxUploadBytes = 2 * maxCommandBytes
)

// upload sends a command in pieces. The reply to the last piece is the outcome.
func (r *RemoteClient) upload(ctx context.Context, vm string, q request) (reply, bool, error) {
	number := rand.Uint64()
	for offset := 0; ; offset += uploadPieceBytes {
		end := min(offset+uploadPieceBytes, len(q.Body))
		last := end == len(q.Body)
		out, ran, err := r.exchange(ctx, vm, request{
			Op: opPiece, StateMachine: q.StateMachine, ID: q.ID, Packed: q.Packed, Upload: number,
			Offset: offset, Total: len(q.Body), Piece: q.Body[offset:end],
		})
		if last || err != nil || out.Status != statusOK {
			return out, ran && last, err
		}
	}
}

// uploads holds the incomplete commands on a leader. It is safe for concurrent use.
type uploads struct {
	mu    sync.Mutex
	byKey map[uploadKey]*upload
}

// uploadKey identifies an upload. A VM may propose the same command twice at the same
// time.
type uploadKey struct {
	vm     string
	number uint64
}

type upload struct {
	data  []byte
	total int
	at    time.Time // arrival of the last piece
}

// add stores a piece. The status is statusOK, with the command once it is complete. It is
// statusWanted if the proposer must restart the upload, and statusBusy if there is no space.
func (u *uploads) add(vm string, q request, now time.Time) (command []byte, s status) {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := uploadKey{vm, q.Upload}
	if q.Offset == 0 {
		if !u.reserve(key, q.Total, now) {
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

// reserve allocates space for a command. It discards uploads that have timed out.
func (u *uploads) reserve(key uploadKey, total int, now time.Time) bool {
	held := 0
	for k, up := range u.byKey {
		if now.Sub(up.at) > uploadTimeout {
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
